package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against ejecting targets for faults of the service, an account or a network
 * path, and against missing a target that fails real requests.
 */
class PooledOutlierDetectorTests {

	private static final int HOSTS = 8;

	private final List<Target> targets = HealthFixtures.targets(10, 4);

	private final PooledOutlierDetector detector = new PooledOutlierDetector();

	private long now;

	// Sends one report of each host with the outcomes that the source returns. A round
	// lasts one interval of 500 ms: 8 hosts at 62 ms and 4 ms.
	private void round(OutcomeSource source) {
		for (int host = 0; host < HOSTS; host++) {
			for (Target target : this.targets) {
				PeerMessage.AccountEvidence[] accounts = { source.outcomes(host, target.id(), "large"),
						source.outcomes(host, target.id(), "small") };
				observe(host, target, HealthFixtures.evidence(target.id(), accounts));
			}
			this.now += 500 / HOSTS;
		}
		this.now += 4;
	}

	private void observe(int host, Target target, PeerMessage.TargetEvidence evidence) {
		this.detector.observe(new OutlierDetector.Observation(target, "p" + host, (host % 2 == 0) ? "pdx-a" : "sea-a",
				evidence, false, this.now));
	}

	private void rounds(int count, OutcomeSource source) {
		for (int i = 0; i < count; i++) {
			round(source);
		}
	}

	private List<String> unhealthy() {
		return this.targets.stream().map(Target::id).filter((id) -> this.detector.assess(id).unhealthy()).toList();
	}

	private static PeerMessage.AccountEvidence allSuccessful(String account) {
		return HealthFixtures.account(account, 2, 0);
	}

	private static PeerMessage.TargetEvidence latencies(Target target, int bucket) {
		List<Integer> counts = new ArrayList<>(Collections.nCopies(TargetOutcomeCounter.LATENCY_BUCKETS, 0));
		counts.set(bucket, 2);
		return new PeerMessage.TargetEvidence(target.id(), List.of(allSuccessful("large")), counts, 0, false);
	}

	/**
	 * Guards against detecting the relapse of a readmitted target as slowly as a first
	 * failure, and against applying the lower threshold to other targets.
	 */
	@Nested
	class Relapse {

		private static final OutcomeSource ALL_SUCCESSFUL = (host, target, account) -> allSuccessful(account);

		private void failures(int count) {
			observe(0, PooledOutlierDetectorTests.this.targets.get(3),
					HealthFixtures.evidence("t3", HealthFixtures.account("large", 0, count)));
		}

		@Test
		void isFoundWithFourFailuresLongAfterReadmission() {
			rounds(20, ALL_SUCCESSFUL);
			PooledOutlierDetectorTests.this.detector.readmitted("t3");
			rounds(40, ALL_SUCCESSFUL);
			failures(4);
			assertThat(unhealthy()).containsExactly("t3");
		}

		@Test
		void isNotFoundWithThreeFailures() {
			rounds(20, ALL_SUCCESSFUL);
			PooledOutlierDetectorTests.this.detector.readmitted("t3");
			rounds(40, ALL_SUCCESSFUL);
			failures(3);
			assertThat(unhealthy()).isEmpty();
			assertThat(PooledOutlierDetectorTests.this.detector.nearThreshold("t3")).isTrue();
		}

		@Test
		void isNotAssumedOfATargetThatWasNotEjected() {
			rounds(60, ALL_SUCCESSFUL);
			failures(4);
			assertThat(unhealthy()).isEmpty();
		}

	}

	@Nested
	class OverdueRequests {

		private void overdue(int host, int change, boolean warmingUp) {
			PooledOutlierDetectorTests.this.detector.observe(new OutlierDetector.Observation(
					PooledOutlierDetectorTests.this.targets.get(3), "p" + host, (host % 2 == 0) ? "pdx-a" : "sea-a",
					HealthFixtures.evidence("t3", HealthFixtures.overdue("large", 0, change)), warmingUp,
					PooledOutlierDetectorTests.this.now));
		}

		/** Guards against detecting a stalled target only after the request timeout. */
		@Test
		void countAsFailures() {
			rounds(20, (host, target, account) -> allSuccessful(account));
			for (int host = 0; host < 5; host++) {
				overdue(host, 1, false);
			}
			assertThat(unhealthy()).containsExactly("t3");
		}

		/**
		 * Guards against ejecting a target after a short pause in which no request is
		 * lost.
		 */
		@Test
		void areSubtractedAgainOnceTheyAreAnswered() {
			rounds(20, (host, target, account) -> allSuccessful(account));
			for (int host = 0; host < 3; host++) {
				overdue(host, 1, false);
			}
			for (int host = 0; host < 3; host++) {
				overdue(host, -1, false);
			}
			rounds(1, (host, target, account) -> allSuccessful(account));
			assertThat(PooledOutlierDetectorTests.this.detector.assess("t3").severity()).isZero();
		}

		/** Guards against ejecting targets that are slow only because they warm up. */
		@Test
		void doNotCountWhileTheTargetWarmsUp() {
			rounds(20, (host, target, account) -> allSuccessful(account));
			for (int host = 0; host < 8; host++) {
				overdue(host, 1, true);
			}
			assertThat(unhealthy()).isEmpty();
		}

		/**
		 * Guards against ejecting a target because the network path of some hosts fails.
		 */
		@Test
		void ofAFewHostsSuggestAPathFault() {
			rounds(20, (host, target, account) -> allSuccessful(account));
			rounds(4, (host, target, account) -> (target.equals("t3") && host < 2)
					? HealthFixtures.overdue(account, 0, 2) : allSuccessful(account));
			assertThat(unhealthy()).isEmpty();
		}

	}

	/** Guards against missing a target that fails or is slow. */
	@Nested
	class Unhealthy {

		@Test
		void aTargetThatFailsHalfIsFoundWithinTwoSeconds() {
			rounds(20, (host, target, account) -> allSuccessful(account));
			rounds(4, (host, target, account) -> target.equals("t3") ? HealthFixtures.account(account, 1, 1)
					: allSuccessful(account));
			assertThat(unhealthy()).containsExactly("t3");
		}

		@Test
		void aTargetThatNeverAnswersIsFound() {
			rounds(20, (host, target, account) -> allSuccessful(account));
			rounds(4, (host, target, account) -> target.equals("t3") ? HealthFixtures.unanswered(account, 0, 2)
					: allSuccessful(account));
			assertThat(unhealthy()).containsExactly("t3");
		}

		@Test
		void aTargetThatIsMuchSlowerThanItsSiblingsIsFound() {
			for (int i = 0; i < 30; i++) {
				boolean started = i >= 20;
				for (int host = 0; host < HOSTS; host++) {
					for (Target target : PooledOutlierDetectorTests.this.targets) {
						int bucket = (started && target.id().equals("t3")) ? 11 : 6;
						observe(host, target, latencies(target, bucket));
					}
					PooledOutlierDetectorTests.this.now += 500 / HOSTS;
				}
			}
			assertThat(unhealthy()).containsExactly("t3");
		}

	}

	/** Guards against ejecting a target for a fault that is not its own. */
	@Nested
	class NoTargetIsUnhealthy {

		@Test
		void ifTheRequestsOfOneAccountFailOnEveryTarget() {
			rounds(20, (host, target, account) -> allSuccessful(account));
			rounds(60, (host, target, account) -> account.equals("small") ? HealthFixtures.account(account, 0, 2)
					: allSuccessful(account));
			assertThat(unhealthy()).isEmpty();
		}

		@Test
		void ifAnAccountThatUsesOnlyOneTargetFails() {
			rounds(20, (host, target, account) -> allSuccessful(account));
			rounds(20, (host, target, account) -> (target.equals("t3") && host == 0)
					? HealthFixtures.account("unknown", 0, 3) : allSuccessful("large"));
			assertThat(unhealthy()).isEmpty();
		}

		@Test
		void ifHalfOfTheRequestsFailOnEveryTarget() {
			rounds(20, (host, target, account) -> allSuccessful(account));
			rounds(60, (host, target, account) -> HealthFixtures.account(account, 1, 1));
			assertThat(unhealthy()).isEmpty();
		}

		@Test
		void ifEveryTargetIsSlow() {
			for (int i = 0; i < 60; i++) {
				for (int host = 0; host < HOSTS; host++) {
					for (Target target : PooledOutlierDetectorTests.this.targets) {
						observe(host, target, latencies(target, (i >= 20) ? 12 : 6));
					}
					PooledOutlierDetectorTests.this.now += 500 / HOSTS;
				}
			}
			assertThat(unhealthy()).isEmpty();
		}

		@Test
		void ifOneFailureDomainCannotUseATarget() {
			rounds(20, (host, target, account) -> allSuccessful(account));
			rounds(60, (host, target, account) -> (target.equals("t3") && host % 2 == 0)
					? HealthFixtures.account(account, 0, 2) : allSuccessful(account));
			assertThat(unhealthy()).isEmpty();
			assertThat(PooledOutlierDetectorTests.this.detector.assess("t3").avoidedBy()).containsExactly("pdx-a");
		}

		@Test
		void ifAFewHostsInEachFailureDomainCannotReachATarget() {
			rounds(20, (host, target, account) -> allSuccessful(account));
			rounds(60, (host, target, account) -> (target.equals("t3") && host < 2)
					? HealthFixtures.unanswered(account, 0, 2) : allSuccessful(account));
			assertThat(unhealthy()).isEmpty();
		}

		@Test
		void ifATargetShedsLoad() {
			rounds(40, (host, target, account) -> target.equals("t3")
					? new PeerMessage.AccountEvidence(account, 1, 0, 0, 0, 5, 0) : allSuccessful(account));
			assertThat(unhealthy()).isEmpty();
		}

		@Test
		void ifTargetsFailSingleRequestsAtRandom() {
			List<String> order = new ArrayList<>();
			for (int i = 0; i < 400; i++) {
				order.add("t" + (i % 10));
			}
			Collections.shuffle(order, new Random(20261204));
			for (String failingTargetId : order) {
				round((host, target,
						account) -> (host == 0 && account.equals("large") && target.equals(failingTargetId))
								? HealthFixtures.account(account, 1, 1) : allSuccessful(account));
				assertThat(unhealthy()).isEmpty();
			}
		}

	}

	interface OutcomeSource {

		PeerMessage.AccountEvidence outcomes(int host, String target, String account);

	}

}
