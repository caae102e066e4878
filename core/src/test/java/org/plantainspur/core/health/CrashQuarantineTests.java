package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that crashes one target after another, and against counting
 * those crashes as evidence against the targets.
 */
class CrashQuarantineTests {

	private final ManualClock clock = new ManualClock();

	private final List<PeerMessage.Suspect> broadcastCrashes = new ArrayList<>();

	private final CrashQuarantine quarantine = new CrashQuarantine(this.clock, this.broadcastCrashes::add);

	private final EvidenceCollector collector = new EvidenceCollector(this.clock, this.quarantine, (id) -> 0);

	private final OutcomeRecorder recorder = new CompositeOutcomeRecorder(this.quarantine, this.collector);

	private void recordOutcome(int target, String fingerprint, OutcomeRecorder.Kind kind) {
		Target on = HealthFixtures.target(target, 4);
		this.recorder.record(new OutcomeRecorder.Outcome(on, "large", fingerprint, kind, 20));
	}

	private int unanswered() {
		return this.collector.drain(HealthFixtures.SERVICE)
			.stream()
			.flatMap((target) -> target.accounts().stream())
			.mapToInt(PeerMessage.AccountEvidence::unanswered)
			.sum();
	}

	@Nested
	class Crashes {

		@Test
		void ofTwoTargetsQuarantineTheRequest() {
			recordOutcome(1, "poison", OutcomeRecorder.Kind.RESET);
			assertThat(CrashQuarantineTests.this.quarantine.quarantined("poison")).isFalse();
			recordOutcome(2, "poison", OutcomeRecorder.Kind.RESET);
			assertThat(CrashQuarantineTests.this.quarantine.quarantined("poison")).isTrue();
			assertThat(CrashQuarantineTests.this.broadcastCrashes).hasSize(2);
		}

		@Test
		void seenByOtherHostsCount() {
			recordOutcome(1, "poison", OutcomeRecorder.Kind.RESET);
			CrashQuarantineTests.this.quarantine.recordCrash(new PeerMessage.Suspect("poison", "t2"));
			assertThat(CrashQuarantineTests.this.quarantine.quarantined("poison")).isTrue();
		}

		@Test
		void ofOneTargetTwiceDoNotQuarantineTheRequest() {
			recordOutcome(1, "unlucky", OutcomeRecorder.Kind.RESET);
			recordOutcome(1, "unlucky", OutcomeRecorder.Kind.RESET);
			assertThat(CrashQuarantineTests.this.quarantine.quarantined("unlucky")).isFalse();
		}

		@Test
		void areForgottenWhenTheRequestSucceeds() {
			recordOutcome(1, "popular", OutcomeRecorder.Kind.RESET);
			recordOutcome(3, "popular", OutcomeRecorder.Kind.SUCCESS);
			recordOutcome(2, "popular", OutcomeRecorder.Kind.RESET);
			assertThat(CrashQuarantineTests.this.quarantine.quarantined("popular")).isFalse();
		}

		@Test
		void quarantineForTenMinutes() {
			recordOutcome(1, "poison", OutcomeRecorder.Kind.RESET);
			recordOutcome(2, "poison", OutcomeRecorder.Kind.RESET);
			CrashQuarantineTests.this.clock.advance(599_999);
			assertThat(CrashQuarantineTests.this.quarantine.quarantined("poison")).isTrue();
			CrashQuarantineTests.this.clock.advance(1);
			assertThat(CrashQuarantineTests.this.quarantine.quarantined("poison")).isFalse();
		}

		@Test
		void ofManyRequestsAreBounded() {
			for (int i = 0; i < 20_000; i++) {
				CrashQuarantineTests.this.quarantine.recordCrash(new PeerMessage.Suspect("f" + i, "t1"));
			}
			assertThat(CrashQuarantineTests.this.quarantine.recentCrashes(50_000)).hasSize(10_000);
		}

	}

	@Nested
	class Evidence {

		@Test
		void ofAQuarantinedRequestIsNotReported() {
			recordOutcome(1, "poison", OutcomeRecorder.Kind.RESET);
			recordOutcome(2, "poison", OutcomeRecorder.Kind.RESET);
			CrashQuarantineTests.this.clock.advance(1000);
			assertThat(unanswered()).isZero();
		}

		@Test
		void ofOtherResetsIsReportedOnceTheHoldEnds() {
			recordOutcome(1, "single", OutcomeRecorder.Kind.RESET);
			assertThat(unanswered()).isZero();
			CrashQuarantineTests.this.clock.advance(1000);
			assertThat(unanswered()).isEqualTo(1);
		}

		@Test
		void isReportedOnce() {
			recordOutcome(1, "a", OutcomeRecorder.Kind.FAILURE);
			assertThat(CrashQuarantineTests.this.collector.drain(HealthFixtures.SERVICE).get(0).accounts())
				.containsExactly(HealthFixtures.account("large", 0, 1));
			assertThat(CrashQuarantineTests.this.collector.drain(HealthFixtures.SERVICE).get(0).accounts()).isEmpty();
		}

	}

}
