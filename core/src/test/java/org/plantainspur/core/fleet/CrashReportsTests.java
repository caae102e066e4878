package org.plantainspur.core.fleet;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.health.RequestCrash;

import static org.assertj.core.api.Assertions.assertThat;

class CrashReportsTests {

	private final CrashReports reports = new CrashReports();

	private static RequestCrash crash(long id) {
		return new RequestCrash("f" + id, id, 1_300, 1_100);
	}

	/**
	 * Guards against reports that are repeated to other failure domains with each digest:
	 * these bytes are billed.
	 */
	@Nested
	class EachCrash {

		@Test
		void isSentTwice() {
			List<RequestCrash> crashes = List.of(crash(1), crash(2));
			assertThat(CrashReportsTests.this.reports.take(crashes)).isEqualTo(crashes);
			assertThat(CrashReportsTests.this.reports.take(crashes)).isEqualTo(crashes);
			assertThat(CrashReportsTests.this.reports.take(crashes)).isEmpty();
		}

		@Test
		void ofAnotherDomainIsNotSent() {
			CrashReportsTests.this.reports.addReceived(List.of(crash(1)));
			assertThat(CrashReportsTests.this.reports.take(List.of(crash(1), crash(2)))).containsExactly(crash(2));
		}

		@Test
		void isSentThoughAnotherOneWasSentBefore() {
			CrashReportsTests.this.reports.take(List.of(crash(1)));
			CrashReportsTests.this.reports.take(List.of(crash(1)));
			assertThat(CrashReportsTests.this.reports.take(List.of(crash(1), crash(2)))).containsExactly(crash(2));
		}

	}

}
