package org.plantainspur.core.health;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against sending a report for each of several requests for the same service and
 * against unbounded memory.
 */
class PendingReportRequestsTests {

	private final PendingReportRequests pending = new PendingReportRequests();

	@Nested
	class Requests {

		@Test
		void listEachServiceOnceAndAreCleared() {
			PendingReportRequestsTests.this.pending.add("booking");
			PendingReportRequestsTests.this.pending.add("booking");
			assertThat(PendingReportRequestsTests.this.pending.take()).containsExactly("booking");
			assertThat(PendingReportRequestsTests.this.pending.take()).isEmpty();
		}

		@Test
		void areBounded() {
			for (int i = 0; i < 10_000; i++) {
				PendingReportRequestsTests.this.pending.add("s" + i);
			}
			assertThat(PendingReportRequestsTests.this.pending.take()).hasSize(4096);
		}

	}

}
