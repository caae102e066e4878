package org.plantainspur.core.fleet;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.health.RequestCrash;

import static org.assertj.core.api.Assertions.assertThat;

class RepeatedReportsTests {

	private final RepeatedReports<RequestCrash> reports = new RepeatedReports<>(RequestCrash::id,
			RequestCrash::fingerprint);

	private static RequestCrash crash(long id) {
		return crash(id, "f" + id);
	}

	private static RequestCrash crash(long id, String fingerprint) {
		return new RequestCrash(fingerprint, id, 1_300, 1_100);
	}

	/**
	 * Guards against reports that are repeated to other failure domains with each digest:
	 * these bytes are billed.
	 */
	@Nested
	class EachReport {

		@Test
		void isSentTwice() {
			List<RequestCrash> crashes = List.of(crash(1), crash(2));
			assertThat(RepeatedReportsTests.this.reports.take(crashes)).isEqualTo(crashes);
			assertThat(RepeatedReportsTests.this.reports.take(crashes)).isEqualTo(crashes);
			assertThat(RepeatedReportsTests.this.reports.take(crashes)).isEmpty();
		}

		@Test
		void ofAnotherDomainIsNotSent() {
			RepeatedReportsTests.this.reports.addReceived(List.of(crash(1)));
			assertThat(RepeatedReportsTests.this.reports.take(List.of(crash(1), crash(2)))).containsExactly(crash(2));
		}

		@Test
		void isSentThoughAnotherOneWasSentBefore() {
			RepeatedReportsTests.this.reports.take(List.of(crash(1)));
			RepeatedReportsTests.this.reports.take(List.of(crash(1)));
			assertThat(RepeatedReportsTests.this.reports.take(List.of(crash(1), crash(2)))).containsExactly(crash(2));
		}

		/** Guards against a limit that is raised and lowered again unnoticed. */
		@Test
		void isSentAgainWhenItsContentChangesAndChangesBack() {
			for (String content : List.of("first", "second", "first")) {
				List<RequestCrash> current = List.of(crash(1, content));
				assertThat(RepeatedReportsTests.this.reports.take(current)).isEqualTo(current);
				assertThat(RepeatedReportsTests.this.reports.take(current)).isEqualTo(current);
				assertThat(RepeatedReportsTests.this.reports.take(current)).isEmpty();
			}
		}

	}

}
