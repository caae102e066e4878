package org.plantainspur.adapters.http;

import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.util.concurrent.TimeoutException;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against callers that occupy a thread by sending their body slowly, and against
 * small bodies that are refused because the reading thread was delayed.
 */
class BodyReaderTests {

	private final ManualClock clock = new ManualClock();

	private final BodyReader reader = new BodyReader(this.clock, 256);

	private InputStream delayed(int length, long millisPerRead) {
		return new ByteArrayInputStream(new byte[length]) {

			@Override
			public synchronized int read(byte[] buffer, int offset, int maximum) {
				BodyReaderTests.this.clock.advance(millisPerRead);
				return super.read(buffer, offset, Math.min(maximum, 10));
			}

		};
	}

	@Nested
	class SmallBody {

		@Test
		void isReadDespiteADelayOfTheThread() throws Exception {
			assertThat(BodyReaderTests.this.reader.read(delayed(2, 400), 100)).hasSize(2);
		}

	}

	@Nested
	class SlowBody {

		@Test
		void timesOut() {
			assertThatExceptionOfType(TimeoutException.class)
				.isThrownBy(() -> BodyReaderTests.this.reader.read(delayed(1000, 100), 1000))
				.withMessageContaining("256 bytes per second");
		}

	}

	@Nested
	class LongBody {

		@Test
		void isReadUpToTheLimit() throws Exception {
			assertThat(BodyReaderTests.this.reader.read(delayed(1000, 1), 900)).hasSize(900);
		}

	}

}
