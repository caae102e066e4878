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
 * Guards against ejecting targets for faults that are not theirs, and against not seeing
 * a target that fails real work.
 */
class PooledHealthJudgeTests {

	private static final int HOSTS = 8;

	private final List<Target> targets = HealthFixtures.targets(10, 4);

	private final PooledHealthJudge judge = new PooledHealthJudge();

	private long now;

	// One report of each host with the outcomes that the rule gives.
	private void round(Rule rule) {
		for (int host = 0; host < HOSTS; host++) {
			for (Target target : this.targets) {
				PeerMessage.AccountEvidence[] accounts = { rule.outcomes(host, target.id(), "large"),
						rule.outcomes(host, target.id(), "small") };
				observe(host, target, HealthFixtures.evidence(target.id(), accounts));
			}
			this.now += 500 / HOSTS;
		}
		this.now += 4;
	}

	private void observe(int host, Target target, PeerMessage.TargetEvidence evidence) {
		this.judge.observe(new HealthJudge.Observation(target, "p" + host, (host % 2 == 0) ? "pdx-a" : "sea-a",
				evidence, false, this.now));
	}

	private void rounds(int count, Rule rule) {
		for (int i = 0; i < count; i++) {
			round(rule);
		}
	}

	private List<String> sick() {
		return this.targets.stream().map(Target::id).filter((id) -> this.judge.assess(id).sick()).toList();
	}

	private static PeerMessage.AccountEvidence good(String account) {
		return HealthFixtures.account(account, 2, 0);
	}

	private static PeerMessage.TargetEvidence latencies(Target target, int bucket) {
		List<Integer> counts = new ArrayList<>(Collections.nCopies(TargetTally.LATENCY_BUCKETS, 0));
		counts.set(bucket, 2);
		return new PeerMessage.TargetEvidence(target.id(), List.of(good("large")), counts, 0, false);
	}

	@Nested
	class Relapse {

		private static final Rule GOOD = (host, target, account) -> good(account);

		private void failures(int count) {
			observe(0, PooledHealthJudgeTests.this.targets.get(3),
					HealthFixtures.evidence("t3", HealthFixtures.account("large", 0, count)));
		}

		@Test
		void isFoundWithFourFailuresLongAfterTheReturn() {
			rounds(20, GOOD);
			PooledHealthJudgeTests.this.judge.readmitted("t3");
			rounds(40, GOOD);
			failures(4);
			assertThat(sick()).containsExactly("t3");
		}

		@Test
		void isNotFoundWithThreeFailures() {
			rounds(20, GOOD);
			PooledHealthJudgeTests.this.judge.readmitted("t3");
			rounds(40, GOOD);
			failures(3);
			assertThat(sick()).isEmpty();
			assertThat(PooledHealthJudgeTests.this.judge.suspects("t3")).isTrue();
		}

		@Test
		void needsTheFullEvidenceOfATargetThatWasNotEjected() {
			rounds(60, GOOD);
			failures(4);
			assertThat(sick()).isEmpty();
		}

	}

	@Nested
	class Overdue {

		private void overdue(int host, int change, boolean cold) {
			PooledHealthJudgeTests.this.judge.observe(new HealthJudge.Observation(
					PooledHealthJudgeTests.this.targets.get(3), "p" + host, (host % 2 == 0) ? "pdx-a" : "sea-a",
					HealthFixtures.evidence("t3", HealthFixtures.overdue("large", 0, change)), cold,
					PooledHealthJudgeTests.this.now));
		}

		/** Guards against a stalling target that is found only after the timeout. */
		@Test
		void requestsCountLikeFailures() {
			rounds(20, (host, target, account) -> good(account));
			for (int host = 0; host < 5; host++) {
				overdue(host, 1, false);
			}
			assertThat(sick()).containsExactly("t3");
		}

		/** Guards against a false ejection after a pause in which no request is lost. */
		@Test
		void requestsThatGetTheirAnswersAreTakenBack() {
			rounds(20, (host, target, account) -> good(account));
			for (int host = 0; host < 3; host++) {
				overdue(host, 1, false);
			}
			for (int host = 0; host < 3; host++) {
				overdue(host, -1, false);
			}
			rounds(1, (host, target, account) -> good(account));
			assertThat(PooledHealthJudgeTests.this.judge.assess("t3").sickness()).isZero();
		}

		/** Guards against the ejection of targets that start cold. */
		@Test
		void requestsOfAColdTargetDoNotCount() {
			rounds(20, (host, target, account) -> good(account));
			for (int host = 0; host < 8; host++) {
				overdue(host, 1, true);
			}
			assertThat(sick()).isEmpty();
		}

		/** Guards against holding a cut path against a target. */
		@Test
		void requestsOfAFewHostsSuggestACutPath() {
			rounds(20, (host, target, account) -> good(account));
			rounds(4, (host, target, account) -> (target.equals("t3") && host < 2)
					? HealthFixtures.overdue(account, 0, 2) : good(account));
			assertThat(sick()).isEmpty();
		}

	}

	@Nested
	class Sick {

		@Test
		void aTargetThatFailsHalfIsFoundWithinTwoSeconds() {
			rounds(20, (host, target, account) -> good(account));
			rounds(4, (host, target, account) -> target.equals("t3") ? HealthFixtures.account(account, 1, 1)
					: good(account));
			assertThat(sick()).containsExactly("t3");
		}

		@Test
		void aTargetThatAnswersNobodyIsFound() {
			rounds(20, (host, target, account) -> good(account));
			rounds(4, (host, target, account) -> target.equals("t3") ? HealthFixtures.unanswered(account, 0, 2)
					: good(account));
			assertThat(sick()).containsExactly("t3");
		}

		@Test
		void aTargetThatIsMuchSlowerThanItsSiblingsIsFound() {
			for (int i = 0; i < 30; i++) {
				boolean started = i >= 20;
				for (int host = 0; host < HOSTS; host++) {
					for (Target target : PooledHealthJudgeTests.this.targets) {
						int bucket = (started && target.id().equals("t3")) ? 11 : 6;
						observe(host, target, latencies(target, bucket));
					}
					PooledHealthJudgeTests.this.now += 500 / HOSTS;
				}
			}
			assertThat(sick()).containsExactly("t3");
		}

	}

	@Nested
	class NotSick {

		@Test
		void requestsOfOneAccountThatFailOnAllSiblings() {
			rounds(20, (host, target, account) -> good(account));
			rounds(60, (host, target, account) -> account.equals("small") ? HealthFixtures.account(account, 0, 2)
					: good(account));
			assertThat(sick()).isEmpty();
		}

		@Test
		void failuresOfAnAccountThatOnlyThisTargetServes() {
			rounds(20, (host, target, account) -> good(account));
			rounds(20, (host, target, account) -> (target.equals("t3") && host == 0)
					? HealthFixtures.account("unknown", 0, 3) : good("large"));
			assertThat(sick()).isEmpty();
		}

		@Test
		void aServiceOfWhichHalfFailsEverywhere() {
			rounds(20, (host, target, account) -> good(account));
			rounds(60, (host, target, account) -> HealthFixtures.account(account, 1, 1));
			assertThat(sick()).isEmpty();
		}

		@Test
		void aServiceThatIsSlowEverywhere() {
			for (int i = 0; i < 60; i++) {
				for (int host = 0; host < HOSTS; host++) {
					for (Target target : PooledHealthJudgeTests.this.targets) {
						observe(host, target, latencies(target, (i >= 20) ? 12 : 6));
					}
					PooledHealthJudgeTests.this.now += 500 / HOSTS;
				}
			}
			assertThat(sick()).isEmpty();
		}

		@Test
		void aTargetThatOneGroupOfHostsCannotUse() {
			rounds(20, (host, target, account) -> good(account));
			rounds(60, (host, target, account) -> (target.equals("t3") && host % 2 == 0)
					? HealthFixtures.account(account, 0, 2) : good(account));
			assertThat(sick()).isEmpty();
			assertThat(PooledHealthJudgeTests.this.judge.assess("t3").avoidedBy()).containsExactly("pdx-a");
		}

		@Test
		void aTargetThatAFewHostsInEachGroupCannotReach() {
			rounds(20, (host, target, account) -> good(account));
			rounds(60, (host, target, account) -> (target.equals("t3") && host < 2)
					? HealthFixtures.unanswered(account, 0, 2) : good(account));
			assertThat(sick()).isEmpty();
		}

		@Test
		void aTargetThatShedsLoad() {
			rounds(40, (host, target, account) -> target.equals("t3")
					? new PeerMessage.AccountEvidence(account, 1, 0, 0, 0, 5, 0) : good(account));
			assertThat(sick()).isEmpty();
		}

		@Test
		void aTargetThatFailsOneRequestNowAndThen() {
			List<String> order = new ArrayList<>();
			for (int i = 0; i < 400; i++) {
				order.add("t" + (i % 10));
			}
			Collections.shuffle(order, new Random(20261204));
			for (String unlucky : order) {
				round((host, target, account) -> (host == 0 && account.equals("large") && target.equals(unlucky))
						? HealthFixtures.account(account, 1, 1) : good(account));
				assertThat(sick()).isEmpty();
			}
		}

	}

	interface Rule {

		PeerMessage.AccountEvidence outcomes(int host, String target, String account);

	}

}
