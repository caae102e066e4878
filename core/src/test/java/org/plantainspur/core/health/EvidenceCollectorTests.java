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
 * Guards against evidence that is not reported or is reported twice, and against requests
 * that are counted as overdue although no target is at fault.
 */
class EvidenceCollectorTests {

	private static final long TYPICAL_LATENCY_MILLIS = 200;

	private final ManualClock clock = new ManualClock();

	private final Target target = HealthFixtures.target(0, 4);

	private final EvidenceCollector collector = new EvidenceCollector(this.clock,
			new CrashQuarantine(this.clock, (suspect) -> {
			}), (id) -> 0);

	private void recordOutcome(OutcomeRecorder.Kind kind, long latency) {
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

		/** The running time above which a request is overdue. */
		private static final long LIMIT_MILLIS = (long) (OverdueLimit.MEAN_MULTIPLE * TYPICAL_LATENCY_MILLIS);

		@BeforeEach
		void recordTypicalLatencies() {
			for (int i = 0; i < OverdueLimit.MIN_ANSWERS; i++) {
				recordOutcome(OutcomeRecorder.Kind.SUCCESS, TYPICAL_LATENCY_MILLIS);
			}
			drain();
		}

		private OutcomeRecorder.InFlightDispatch startDispatch() {
			return EvidenceCollectorTests.this.collector.dispatchStarted(EvidenceCollectorTests.this.target, "a");
		}

		/** Guards against detecting a stalled target only after the request timeout. */
		@Test
		void areReportedBeforeTheyEnd() {
			startDispatch();
			EvidenceCollectorTests.this.clock.advance(LIMIT_MILLIS);
			assertThat(drain()).isEmpty();
			EvidenceCollectorTests.this.clock.advance(1);
			assertThat(drain()).containsExactly(HealthFixtures.overdue("a", 0, 1));
		}

		@Test
		void areReportedOnce() {
			startDispatch();
			EvidenceCollectorTests.this.clock.advance(LIMIT_MILLIS + 1);
			drain();
			EvidenceCollectorTests.this.clock.advance(LIMIT_MILLIS);
			assertThat(drain()).isEmpty();
		}

		/** Guards against a request that counts both as overdue and as timed out. */
		@Test
		void areReplacedByTheirOutcome() {
			OutcomeRecorder.InFlightDispatch dispatch = startDispatch();
			EvidenceCollectorTests.this.clock.advance(LIMIT_MILLIS + 1);
			drain();
			dispatch.close();
			recordOutcome(OutcomeRecorder.Kind.TIMEOUT, LIMIT_MILLIS + 1);
			assertThat(drain()).containsExactly(new PeerMessage.AccountEvidence("a", 0, 0, 1, 0, 0, -1));
			assertThat(drain()).isEmpty();
		}

		/** Guards against counting a short pause of a fast target as failures. */
		@Test
		void areNoneWithinAShortPauseOfAFastService() {
			for (int i = 0; i < 1000; i++) {
				recordOutcome(OutcomeRecorder.Kind.SUCCESS, 2);
			}
			drain();
			startDispatch();
			EvidenceCollectorTests.this.clock.advance(OverdueLimit.MIN_MILLIS);
			assertThat(drain()).isEmpty();
		}

		/**
		 * Guards against counting requests as failures when the whole service is slow.
		 */
		@Test
		void areNoneOnceTheWholeServiceIsSlower() {
			for (int i = 0; i < 200; i++) {
				recordOutcome(OutcomeRecorder.Kind.SUCCESS, 10 * TYPICAL_LATENCY_MILLIS);
			}
			drain();
			startDispatch();
			EvidenceCollectorTests.this.clock.advance(2 * LIMIT_MILLIS);
			assertThat(drain()).isEmpty();
		}

	}

	@Nested
	class TooFewAnswers {

		@Test
		void makeNoRequestOverdue() {
			EvidenceCollectorTests.this.collector.dispatchStarted(EvidenceCollectorTests.this.target, "a");
			EvidenceCollectorTests.this.clock.advance(1_000_000);
			assertThat(drain()).isEmpty();
		}

	}

}
