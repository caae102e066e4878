package org.plantainspur.gateway.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class JsonLineLogTests {

	@Nested
	class Lines {

		@Test
		void aLineIsOneJsonObjectWithTypedValues() throws Exception {
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			CountDownLatch flushed = new CountDownLatch(1);
			JsonLineLog log = new JsonLineLog(new OutputStream() {

				@Override
				public void write(int value) {
					out.write(value);
				}

				@Override
				public void flush() {
					flushed.countDown();
				}

			}, () -> 17).start();
			log.event("request", "id", "a\"b\n", "status", 200, "kept", true);
			assertThat(flushed.await(2, TimeUnit.SECONDS)).isTrue();
			assertThat(out.toString(StandardCharsets.UTF_8))
				.isEqualTo("{\"ts\":17,\"event\":\"request\",\"id\":\"a\\\"b\\n\",\"status\":200,\"kept\":true}\n");
		}

	}

	@Nested
	class Overload {

		@Test
		void aBlockedOutputNeverBlocksCallersAndDroppedLinesAreCounted() throws Exception {
			CountDownLatch release = new CountDownLatch(1);
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			JsonLineLog log = new JsonLineLog(new OutputStream() {

				@Override
				public void write(int value) throws IOException {
					write(new byte[] { (byte) value }, 0, 1);
				}

				@Override
				public void write(byte[] bytes, int offset, int length) throws IOException {
					try {
						release.await();
					}
					catch (InterruptedException ex) {
						throw new IOException(ex);
					}
					out.write(bytes, offset, length);
				}

			}, () -> 0).start();
			for (int i = 0; i < 2_000; i++) {
				log.event("request", "number", i);
			}
			release.countDown();
			await(() -> lines(out) >= 512);
			log.event("last");
			await(() -> out.toString(StandardCharsets.UTF_8).contains("\"last\""));
			assertThat(lines(out)).as("lines that were written").isLessThan(1_000);
			// The number of dropped lines is in the line that is written next.
			assertThat(lines(out) + dropped(out)).as("written lines and lines counted as dropped").isEqualTo(2_001);
		}

		private static void await(BooleanSupplier condition) throws InterruptedException {
			for (int i = 0; i < 500 && !condition.getAsBoolean(); i++) {
				Thread.sleep(10);
			}
			assertThat(condition.getAsBoolean()).isTrue();
		}

		private static long lines(ByteArrayOutputStream out) {
			return out.toString(StandardCharsets.UTF_8).lines().count();
		}

		private static long dropped(ByteArrayOutputStream out) {
			Matcher counted = Pattern.compile("\"linesDropped\":(\\d+)").matcher(out.toString(StandardCharsets.UTF_8));
			return counted.results().mapToLong((found) -> Long.parseLong(found.group(1))).sum();
		}

	}

	@Nested
	class Metrics {

		@Test
		void countersAndQuantilesAreWrittenAsText() {
			GatewayMetrics metrics = new GatewayMetrics();
			metrics.count("requests_total", "answered");
			metrics.count("requests_total", "answered");
			metrics.recordLatency("mill", 100);
			assertThat(metrics.text()).contains("plantainspur_requests_total{kind=\"answered\"} 2\n")
				.contains("plantainspur_request_ms{account=\"mill\",quantile=\"0.5\"} 100\n")
				.contains("plantainspur_request_ms_count{account=\"mill\"} 1\n");
		}

		@Test
		void accountsBeyondTheLimitShareOneHistogram() {
			GatewayMetrics metrics = new GatewayMetrics();
			for (int i = 0; i < 500; i++) {
				metrics.recordLatency("account-" + i, 1);
			}
			assertThat(metrics.text().lines().filter((line) -> line.contains("_count")))
				.hasSizeLessThanOrEqualTo(GatewayMetrics.MAX_ACCOUNTS + 1);
			assertThat(metrics.text()).contains("account=\"other\"");
		}

	}

}
