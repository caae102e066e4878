package org.plantainspur.core.health;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against one report for each request and against memory without bound.
 */
class RequestedReportsTests {

	private final RequestedReports requested = new RequestedReports();

	@Nested
	class Taken {

		@Test
		void holdEachServiceOnceAndAreForgotten() {
			RequestedReportsTests.this.requested.add("booking");
			RequestedReportsTests.this.requested.add("booking");
			assertThat(RequestedReportsTests.this.requested.take()).containsExactly("booking");
			assertThat(RequestedReportsTests.this.requested.take()).isEmpty();
		}

		@Test
		void areBounded() {
			for (int i = 0; i < 10_000; i++) {
				RequestedReportsTests.this.requested.add("s" + i);
			}
			assertThat(RequestedReportsTests.this.requested.take()).hasSize(4096);
		}

	}

}
