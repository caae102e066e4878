package org.plantainspur.core.health;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against evidence that a host has but does not report, or reports twice.
 */
class EvidenceCollectorTests {

	private static final long USUAL_MILLIS = 200;

	private final ManualClock clock = new ManualClock();

	private final Target target = HealthFixtures.target(0, 4);

	private final EvidenceCollector collector = new EvidenceCollector(this.clock,
			new CrashQuarantine(this.clock, (suspect) -> {
			}), (id) -> 0);

	private void ends(OutcomeRecorder.Kind kind, long latency) {
		this.collector.record(new OutcomeRecorder.Outcome(this.target, "a", "r", kind, latency));
	}

	private List<PeerMessage.AccountEvidence> drain() {
		return this.collector.drain(HealthFixtures.SERVICE)
			.stream()
			.flatMap((evidence) -> evidence.accounts().stream())
			.toList();
	}

	@Nested
	class OverdueRequests {

		private static final long LIMIT_MILLIS = (long) (OverdueLimit.MEAN_MULTIPLE * USUAL_MILLIS);

		@BeforeEach
		void learnTheUsualLatency() {
			for (int i = 0; i < OverdueLimit.LEAST_ANSWERS; i++) {
				ends(OutcomeRecorder.Kind.SUCCESS, USUAL_MILLIS);
			}
			drain();
		}

		private OutcomeRecorder.Running begins() {
			return EvidenceCollectorTests.this.collector.began(EvidenceCollectorTests.this.target, "a");
		}

		/** Guards against a target that stalls and is found only after the timeout. */
		@Test
		void areReportedBeforeTheyEnd() {
			begins();
			EvidenceCollectorTests.this.clock.advance(LIMIT_MILLIS);
			assertThat(drain()).isEmpty();
			EvidenceCollectorTests.this.clock.advance(1);
			assertThat(drain()).containsExactly(HealthFixtures.overdue("a", 0, 1));
		}

		@Test
		void areReportedOnce() {
			begins();
			EvidenceCollectorTests.this.clock.advance(LIMIT_MILLIS + 1);
			drain();
			EvidenceCollectorTests.this.clock.advance(LIMIT_MILLIS);
			assertThat(drain()).isEmpty();
		}

		/** Guards against a timeout that counts twice. */
		@Test
		void areReplacedByTheirOutcome() {
			OutcomeRecorder.Running running = begins();
			EvidenceCollectorTests.this.clock.advance(LIMIT_MILLIS + 1);
			drain();
			running.close();
			ends(OutcomeRecorder.Kind.TIMEOUT, LIMIT_MILLIS + 1);
			assertThat(drain()).containsExactly(new PeerMessage.AccountEvidence("a", 0, 0, 1, 0, 0, -1));
			assertThat(drain()).isEmpty();
		}

		/** Guards against a short pause of a fast target that counts as failures. */
		@Test
		void areNoneWithinAShortPauseOfAFastService() {
			for (int i = 0; i < 1000; i++) {
				ends(OutcomeRecorder.Kind.SUCCESS, 2);
			}
			drain();
			begins();
			EvidenceCollectorTests.this.clock.advance(OverdueLimit.LEAST_MILLIS);
			assertThat(drain()).isEmpty();
		}

		/** Guards against slow work of the whole service that counts as failures. */
		@Test
		void areNoneOnceTheWholeServiceIsSlower() {
			for (int i = 0; i < 200; i++) {
				ends(OutcomeRecorder.Kind.SUCCESS, 10 * USUAL_MILLIS);
			}
			drain();
			begins();
			EvidenceCollectorTests.this.clock.advance(2 * LIMIT_MILLIS);
			assertThat(drain()).isEmpty();
		}

	}

	@Nested
	class UnknownLatency {

		@Test
		void makesNoRequestOverdue() {
			EvidenceCollectorTests.this.collector.began(EvidenceCollectorTests.this.target, "a");
			EvidenceCollectorTests.this.clock.advance(1_000_000);
			assertThat(drain()).isEmpty();
		}

	}

}
