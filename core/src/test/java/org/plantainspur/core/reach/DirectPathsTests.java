package org.plantainspur.core.reach;

import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.target.ConnectFailure;
import org.plantainspur.core.target.TargetProcess;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against wrong conclusions from connects that fail: whose fault it is, and when a
 * path may be used again.
 */
class DirectPathsTests {

	private final ReachFixture fleet = new ReachFixture(4, "s", "t", "u");

	private final DirectPaths paths = this.fleet.paths;

	private void fail(String... ids) {
		for (String id : ids) {
			this.fleet.fail(id, ConnectFailure.REFUSED);
		}
	}

	private void connect(String id) {
		this.paths.recordConnected(this.fleet.process(id));
	}

	@Nested
	class CutOff {

		@Test
		void afterTargetsOfSeveralServicesHaveFailed() {
			fail("s1", "s2", "t1");
			assertThat(DirectPathsTests.this.paths.isCutOff()).isTrue();
			assertThat(DirectPathsTests.this.paths.reach(Set.of()).state()).isEqualTo(HostReach.State.CUT_OFF);
		}

		@Test
		void notWhenOneServiceFailsAsAWhole() {
			fail("s1", "s2", "s3", "s4");
			assertThat(DirectPathsTests.this.paths.isCutOff()).isFalse();
			assertThat(DirectPathsTests.this.paths.isOpen(DirectPathsTests.this.fleet.process("t1"))).isTrue();
		}

		/** Guards against reads of the store for each target that fails by itself. */
		@Test
		void fromOneServiceNeedsAllItsTargets() {
			fail("s1", "s2", "s3");
			assertThat(DirectPathsTests.this.paths.hasLostService()).isFalse();
			fail("s4");
			assertThat(DirectPathsTests.this.paths.hasLostService()).isTrue();
			connect("s2");
			assertThat(DirectPathsTests.this.paths.hasLostService()).isFalse();
		}

		@Test
		void notWhileOtherTargetsAnswer() {
			fail("s1", "s2");
			DirectPathsTests.this.fleet.clock.advance(1);
			DirectPathsTests.this.paths.recordAnswered(DirectPathsTests.this.fleet.process("u1"));
			DirectPathsTests.this.fleet.clock.advance(1);
			fail("t1");
			assertThat(DirectPathsTests.this.paths.isCutOff()).isFalse();
		}

		@Test
		void notByFailuresThatAreFarApart() {
			fail("s1", "s2");
			DirectPathsTests.this.fleet.clock.advance(DirectPaths.FAILURE_VALID_MS);
			fail("t1");
			assertThat(DirectPathsTests.this.paths.isCutOff()).isFalse();
		}

		@Test
		void endsWithTheFirstConnectSoThatOtherTargetsAreTriedAgain() {
			fail("s1", "s2", "t1");
			DirectPathsTests.this.fleet.clock.advance(5_000);
			connect("s2");
			assertThat(DirectPathsTests.this.paths.isCutOff()).isFalse();
			assertThat(DirectPathsTests.this.paths.isOpen(DirectPathsTests.this.fleet.process("s1"))).isTrue();
			fail("s1");
			assertThat(DirectPathsTests.this.paths.isOpen(DirectPathsTests.this.fleet.process("s1"))).isFalse();
			assertThat(DirectPathsTests.this.paths.isOpen(DirectPathsTests.this.fleet.process("t1"))).isTrue();
		}

		@Test
		void withASingleTargetOfASingleService() {
			ReachFixture single = new ReachFixture(1, "s");
			single.fail("s1", ConnectFailure.SILENT);
			assertThat(single.paths.isCutOff()).isTrue();
		}

	}

	@Nested
	class PathThatComesAndGoes {

		@Test
		void isNotUsedAgainBeforeItHasBeenStable() {
			for (int i = 0; i < 4; i++) {
				fail("s1");
				DirectPathsTests.this.fleet.clock.advance(1_000);
				connect("s1");
				if (i > 0) {
					assertThat(DirectPathsTests.this.paths.isOpen(DirectPathsTests.this.fleet.process("s1"))).isFalse();
				}
				DirectPathsTests.this.fleet.clock.advance(500);
				connect("s1");
				DirectPathsTests.this.fleet.clock.advance(500);
			}
			DirectPathsTests.this.fleet.clock.advance(4 * PathState.FIRST_HOLD_MS);
			connect("s1");
			assertThat(DirectPathsTests.this.paths.isOpen(DirectPathsTests.this.fleet.process("s1"))).isTrue();
		}

		@Test
		void keepsAllTargetsRelayedIfTheHostIsCutOffByTurns() {
			int changes = 0;
			boolean cutOff = false;
			for (int i = 0; i < 20; i++) {
				fail("s1", "t1", "u1", "s2", "t2");
				DirectPathsTests.this.fleet.clock.advance(1_000);
				connect("s1");
				connect("t1");
				changes += (DirectPathsTests.this.paths.isCutOff() != cutOff) ? 1 : 0;
				cutOff = DirectPathsTests.this.paths.isCutOff();
				DirectPathsTests.this.fleet.clock.advance(1_000);
			}
			assertThat(changes).isLessThanOrEqualTo(2);
		}

	}

	@Nested
	class OpenConnections {

		/**
		 * Guards against requests that wait on one silent connection after the other for
		 * as long as no connect has failed.
		 */
		@Test
		void areNotUsedAfterAnAttemptWithoutAResponse() {
			TargetProcess target = DirectPathsTests.this.fleet.process("s1");
			long sentMs = DirectPathsTests.this.fleet.clock.millis();
			DirectPathsTests.this.fleet.clock.advance(2_000);
			assertThat(DirectPathsTests.this.paths.connectionsProvenSinceMs(target)).isEqualTo(PathState.NEVER);
			DirectPathsTests.this.paths.recordUnanswered(target, sentMs);
			assertThat(DirectPathsTests.this.paths.connectionsProvenSinceMs(target)).isEqualTo(sentMs);
			assertThat(DirectPathsTests.this.paths.connectionsProvenSinceMs(DirectPathsTests.this.fleet.process("s2")))
				.isEqualTo(PathState.NEVER);
		}

		@Test
		void liveOnWhereConnectsAreRefused() {
			fail("s1");
			assertThat(DirectPathsTests.this.paths.connectionsProvenSinceMs(DirectPathsTests.this.fleet.process("s1")))
				.isEqualTo(PathState.NEVER);
		}

		@Test
		void mustHaveAnsweredSinceConnectsGetNoAnswer() {
			DirectPathsTests.this.fleet.fail("s1", ConnectFailure.SILENT);
			assertThat(DirectPathsTests.this.paths.connectionsProvenSinceMs(DirectPathsTests.this.fleet.process("s1")))
				.isEqualTo(DirectPathsTests.this.fleet.clock.millis());
		}

	}

	/** Guards against detours after a cut, by connects that began during it. */
	@Nested
	class ConnectThatBeganDuringTheCut {

		@Test
		void doesNotCloseAPathThatHasOpenedSince() {
			fail("s1", "s2", "t1");
			long startedMs = DirectPathsTests.this.fleet.clock.millis();
			DirectPathsTests.this.fleet.clock.advance(100);
			connect("s1");
			DirectPathsTests.this.fleet.clock.advance(300);
			for (String id : new String[] { "s1", "s2" }) {
				TargetProcess process = DirectPathsTests.this.fleet.process(id);
				DirectPathsTests.this.paths.recordFailed(process, ConnectFailure.SILENT, startedMs);
				assertThat(DirectPathsTests.this.paths.isOpen(process)).as(id).isTrue();
			}
		}

	}

	@Nested
	class PathsThatClosedTogether {

		@Test
		void areTriedTogetherWhenOneOpens() {
			DirectPathsTests.this.paths.recordAnswered(DirectPathsTests.this.fleet.process("u1"));
			fail("s1", "s2");
			DirectPathsTests.this.fleet.clock.advance(PathState.RELAPSE_MS);
			DirectPathsTests.this.paths.recordAnswered(DirectPathsTests.this.fleet.process("u1"));
			fail("t1");
			connect("s1");
			assertThat(DirectPathsTests.this.paths.isOpen(DirectPathsTests.this.fleet.process("s2"))).isTrue();
			assertThat(DirectPathsTests.this.paths.isOpen(DirectPathsTests.this.fleet.process("t1"))).isFalse();
		}

	}

	@Nested
	class Report {

		/**
		 * Guards against a target that counts as down though this host is served by it.
		 */
		@Test
		void namesTargetsThatOthersDoNotReach() {
			DirectPathsTests.this.paths.recordAnswered(DirectPathsTests.this.fleet.process("s1"));
			connect("s2");
			fail("s2");
			assertThat(DirectPathsTests.this.paths.reach(Set.of("s1", "s2", "s3", "gone")).reachedTargets())
				.containsExactly("s1");
			DirectPathsTests.this.fleet.clock.advance(DirectPaths.REACHED_VALID_MS);
			assertThat(DirectPathsTests.this.paths.reach(Set.of("s1")).reachedTargets()).isEmpty();
		}

		@Test
		void isEmptyOnAHostWithoutClosedPathsAndSigns() {
			assertThat(DirectPathsTests.this.paths.reach(Set.of())).isEqualTo(HostReach.NONE);
		}

		@Test
		void doesNotClaimToReachTargetsWhosePathsHaveClosedSince() {
			DirectPathsTests.this.paths.recordAnswered(DirectPathsTests.this.fleet.process("u1"));
			fail("u1");
			assertThat(DirectPathsTests.this.paths.reach(Set.of()).state()).isEqualTo(HostReach.State.UNKNOWN);
		}

		@Test
		void namesTheClosedTargets() {
			DirectPathsTests.this.paths.recordAnswered(DirectPathsTests.this.fleet.process("u1"));
			fail("s1");
			HostReach reach = DirectPathsTests.this.paths.reach(Set.of());
			assertThat(reach.state()).isEqualTo(HostReach.State.CONNECTED);
			assertThat(reach.closedTargets()).containsExactly("s1");
		}

	}

}
