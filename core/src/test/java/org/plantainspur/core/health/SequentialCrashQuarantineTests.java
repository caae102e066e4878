package org.plantainspur.core.health;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.testing.ConcurrentCalls;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

class SequentialCrashQuarantineTests {

	private final ManualClock clock = new ManualClock();

	private final AtomicLong ids = new AtomicLong();

	private final SequentialCrashQuarantine quarantine = newHost();

	private SequentialCrashQuarantine newHost() {
		return new SequentialCrashQuarantine(this.clock, this.ids::incrementAndGet);
	}

	// Runs a request that crashes its target after 200 ms.
	private void crash(String fingerprint, String targetId) {
		long sentMs = this.clock.millis();
		this.clock.advance(200);
		this.quarantine.recordCrash(fingerprint, targetId, sentMs);
	}

	private void crashThreeTargets(String fingerprint) {
		crash(fingerprint, "t1");
		crash(fingerprint, "t2");
		crash(fingerprint, "t3");
	}

	private boolean isQuarantined(String fingerprint) {
		return this.quarantine.quarantined(fingerprint);
	}

	/** Guards against a request that crashes one target after another. */
	@Nested
	class RepeatedCrashes {

		@Test
		void ofThreeTargetsQuarantineTheRequest() {
			crash("poison", "t1");
			crash("poison", "t2");
			assertThat(isQuarantined("poison")).isFalse();
			crash("poison", "t3");
			assertThat(isQuarantined("poison")).isTrue();
			assertThat(isQuarantined("another")).isFalse();
		}

		/**
		 * Guards against a host that is cut off, whose lost connections look like
		 * crashes.
		 */
		@Test
		void areDiscardedIfConnectionsWereLostForAnotherReason() {
			long cutMs = SequentialCrashQuarantineTests.this.clock.millis();
			crashThreeTargets("harmless");
			assertThat(isQuarantined("harmless")).isTrue();
			SequentialCrashQuarantineTests.this.quarantine.discardSince(cutMs);
			assertThat(isQuarantined("harmless")).isFalse();
			assertThat(SequentialCrashQuarantineTests.this.quarantine.isEmpty()).isTrue();
		}

		@Test
		void ofOneTargetThatStartsAgainCountToo() {
			for (int i = 0; i < 3; i++) {
				crash("poison", "t1");
				SequentialCrashQuarantineTests.this.clock.advance(3_000);
			}
			assertThat(isQuarantined("poison")).isTrue();
		}

		@Test
		void letOneAttemptThroughAtGrowingIntervals() {
			crashThreeTargets("poison");
			int attempts = 0;
			for (int second = 0; second < 150; second++) {
				SequentialCrashQuarantineTests.this.clock.advance(1_000);
				if (!isQuarantined("poison")) {
					attempts++;
					assertThat(isQuarantined("poison")).as("while the outcome is unknown").isTrue();
					crash("poison", "t4");
				}
			}
			assertThat(attempts).isEqualTo(3);
		}

		@Test
		void letOneThreadThrough() throws Exception {
			crashThreeTargets("poison");
			SequentialCrashQuarantineTests.this.clock.advance(SequentialCrashQuarantine.INITIAL_QUARANTINE_MS);
			AtomicInteger attempts = new AtomicInteger();
			ConcurrentCalls.onEachThread(8, () -> isQuarantined("poison") ? 0 : attempts.incrementAndGet());
			assertThat(attempts).hasValue(1);
		}

	}

	/**
	 * Guards against requests that are refused although others crashed the targets, or
	 * although no target crashed.
	 */
	@Nested
	class OtherCauses {

		@Test
		void targetsThatFailTogetherCountOnce() {
			long sentMs = SequentialCrashQuarantineTests.this.clock.millis();
			SequentialCrashQuarantineTests.this.clock.advance(50);
			for (int target = 0; target < 6; target++) {
				SequentialCrashQuarantineTests.this.quarantine.recordCrash("popular", "t" + target, sentMs);
				SequentialCrashQuarantineTests.this.clock.advance(1);
			}
			assertThat(isQuarantined("popular")).isFalse();
		}

		@Test
		void aLostConnectionToATargetThatAnswersAfterItDoesNotCount() {
			crashThreeTargets("unlucky");
			assertThat(isQuarantined("unlucky")).isTrue();
			SequentialCrashQuarantineTests.this.clock.advance(300);
			SequentialCrashQuarantineTests.this.quarantine.recordResponse("t3",
					SequentialCrashQuarantineTests.this.clock.millis());
			assertThat(isQuarantined("unlucky")).isFalse();
		}

		@Test
		void anAnswerOfATargetThatHasStartedAgainDoesNotRefuteItsCrash() {
			crashThreeTargets("poison");
			SequentialCrashQuarantineTests.this.clock.advance(3_000);
			SequentialCrashQuarantineTests.this.quarantine.recordResponse("t3",
					SequentialCrashQuarantineTests.this.clock.millis());
			assertThat(isQuarantined("poison")).isTrue();
		}

		@Test
		void aRequestThatATargetCompletesIsNotSuspectAnyMore() {
			crash("popular", "t1");
			crash("popular", "t2");
			SequentialCrashQuarantineTests.this.quarantine.recordCompletion("popular");
			assertThat(SequentialCrashQuarantineTests.this.quarantine.isEmpty()).isTrue();
			crash("popular", "t3");
			assertThat(isQuarantined("popular")).isFalse();
		}

	}

	/** Guards against a request that crashes targets through each host anew. */
	@Nested
	class Reports {

		private final SequentialCrashQuarantine other = newHost();

		private void exchange() {
			this.other.receive(SequentialCrashQuarantineTests.this.quarantine.reports());
		}

		@Test
		void quarantineTheRequestOnOtherHosts() {
			crashThreeTargets("poison");
			SequentialCrashQuarantineTests.this.clock.advance(SequentialCrashQuarantine.REFUTATION_MS);
			exchange();
			exchange();
			assertThat(this.other.quarantined("poison")).isTrue();
			assertThat(this.other.reports()).hasSize(3);
		}

		@Test
		void addUpWithTheCrashesThatTheOtherHostSaw() {
			crash("poison", "t1");
			crash("poison", "t2");
			SequentialCrashQuarantineTests.this.clock.advance(SequentialCrashQuarantine.REFUTATION_MS);
			exchange();
			assertThat(this.other.quarantined("poison")).isFalse();
			this.other.recordCrash("poison", "t3", SequentialCrashQuarantineTests.this.clock.millis());
			assertThat(this.other.quarantined("poison")).isTrue();
		}

		@Test
		void reachAHostThatStartsLater() {
			crashThreeTargets("poison");
			SequentialCrashQuarantineTests.this.clock.advance(60_000);
			exchange();
			SequentialCrashQuarantineTests.this.clock.advance(60_000);
			assertThat(this.other.isEmpty()).isFalse();
		}

		@Test
		void leaveOutCrashesThatMayStillBeRefutedAndOldOnes() {
			crash("single", "t1");
			assertThat(SequentialCrashQuarantineTests.this.quarantine.reports()).isEmpty();
			SequentialCrashQuarantineTests.this.clock.advance(SequentialCrashQuarantine.REFUTATION_MS);
			assertThat(SequentialCrashQuarantineTests.this.quarantine.reports()).hasSize(1);
			SequentialCrashQuarantineTests.this.clock.advance(SequentialCrashQuarantine.REPORT_MS);
			assertThat(SequentialCrashQuarantineTests.this.quarantine.reports()).isEmpty();
		}

		@Test
		void andMemoryAreBounded() {
			for (int i = 0; i < 1_000; i++) {
				SequentialCrashQuarantineTests.this.quarantine
					.receive(List.of(new RequestCrash("f" + i, i, 1_300, 1_100)));
			}
			assertThat(SequentialCrashQuarantineTests.this.quarantine.reports())
				.hasSize(SequentialCrashQuarantine.MAX_REPORTED);
			assertThat(SequentialCrashQuarantineTests.this.quarantine.size())
				.isEqualTo(SequentialCrashQuarantine.MAX_SUSPICIONS);
		}

		@Test
		void forgetExpiredCrashes() {
			crash("single", "t1");
			crashThreeTargets("poison");
			SequentialCrashQuarantineTests.this.clock.advance(SequentialCrashQuarantine.SINGLE_CRASH_LIFETIME_MS);
			SequentialCrashQuarantineTests.this.quarantine.reports();
			assertThat(SequentialCrashQuarantineTests.this.quarantine.size()).isEqualTo(1);
			SequentialCrashQuarantineTests.this.clock.advance(SequentialCrashQuarantine.LIFETIME_MS);
			SequentialCrashQuarantineTests.this.quarantine.reports();
			assertThat(SequentialCrashQuarantineTests.this.quarantine.isEmpty()).isTrue();
		}

	}

}
