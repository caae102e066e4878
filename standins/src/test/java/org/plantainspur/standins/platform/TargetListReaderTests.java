package org.plantainspur.standins.platform;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.adapters.platform.PlatformClient;
import org.plantainspur.adapters.platform.TargetListReader;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.routing.TargetDirectory;
import org.plantainspur.standins.TestHttpClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against a host that downloads and decodes an unchanged target list again, or
 * keeps an outdated one.
 */
class TargetListReaderTests {

	private PlatformStandIn platform;

	private PlatformClient client;

	private TargetListReader reader;

	private TestHttpClient http;

	@BeforeEach
	void start() throws Exception {
		this.platform = new PlatformStandIn(0);
		String address = "127.0.0.1:" + this.platform.port();
		this.http = new TestHttpClient(address);
		this.client = new PlatformClient("http://" + address, 2000);
		this.reader = new TargetListReader(this.client);
		putHostList("live");
	}

	@AfterEach
	void stop() throws Exception {
		this.client.close();
		this.platform.close();
	}

	private void putHostList(String state) throws Exception {
		this.http.put("/hosts", "{\"hosts\": [{\"id\": \"t1\", \"kind\": \"target\", \"service\": \"booking\","
				+ " \"address\": \"127.0.0.1:1\", \"state\": \"" + state + "\"}]}");
	}

	private Target singleTarget(TargetDirectory directory) {
		assertThat(directory.targets("booking")).hasSize(1);
		return directory.targets("booking").get(0);
	}

	@Nested
	class UnchangedList {

		@Test
		void isNotDecodedAgain() throws Exception {
			TargetDirectory first = TargetListReaderTests.this.reader.read();
			assertThat(TargetListReaderTests.this.reader.read()).isSameAs(first);
		}

		@Test
		void isSentWithoutABody() throws Exception {
			HttpResponse<String> fullResponse = TargetListReaderTests.this.http.get("/hosts");
			String entityTag = fullResponse.headers().firstValue("ETag").orElseThrow();
			HttpResponse<String> conditionalResponse = TargetListReaderTests.this.http.send("GET", "/hosts", "",
					Map.of("If-None-Match", entityTag), 2000);
			assertThat(conditionalResponse.statusCode()).isEqualTo(304);
			assertThat(conditionalResponse.body()).isEmpty();
		}

	}

	@Nested
	class ChangedList {

		@Test
		void isRead() throws Exception {
			assertThat(singleTarget(TargetListReaderTests.this.reader.read()).leaving()).isFalse();
			putHostList("leaving");
			assertThat(singleTarget(TargetListReaderTests.this.reader.read()).leaving()).isTrue();
		}

		@Test
		void isReadAfterAnOutage() throws Exception {
			TargetListReaderTests.this.reader.read();
			TargetListReaderTests.this.http.put("/.control/faults", "{\"unavailable\": \"closed\"}");
			assertThatThrownBy(TargetListReaderTests.this.reader::read).isInstanceOf(IOException.class);
			putHostList("leaving");
			TargetListReaderTests.this.http.put("/.control/faults", "{}");
			assertThat(singleTarget(TargetListReaderTests.this.reader.read()).leaving()).isTrue();
		}

	}

}
