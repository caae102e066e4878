package org.plantainspur.core.currency;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a host that serves with an outdated configuration because the rule
 * accepts evidence for too long, evidence from before its process started, or too few
 * members.
 */
class QuorumCurrencyRuleTests {

	private static final long NEVER = Long.MIN_VALUE;

	private final ManualClock clock = new ManualClock().advance(100_000);

	private static Member member(String host, String process, String region) {
		return Member.builder(host, process).region(region).peerAddress(host + ":1").build();
	}

	private static Configuration withMembers(Member... members) {
		Configuration configuration = Configuration.empty();
		for (Member member : members) {
			long sequence = configuration.sequence() + 1;
			configuration = configuration
				.apply(new ChangeEntry(sequence, "c" + sequence, new Change.MemberJoined(member)));
		}
		return configuration;
	}

	private static HeartbeatResponse response(long sent, long sequence, long platformRead) {
		return new HeartbeatResponse(sent, sent + 1, "p", sequence, platformRead, List.of());
	}

	private boolean isCurrent(QuorumCurrencyRule rule) {
		return rule.check() instanceof CurrencyRule.Currency.Current;
	}

	@Nested
	class NewProcess {

		@Test
		void isNotEstablishedByAReadFromBeforeItsStart() {
			Configuration configuration = withMembers(member("a", "old", "n"), member("b", "p", "n"),
					member("c", "p", "n"));
			QuorumCurrencyRule rule = new QuorumCurrencyRule(QuorumCurrencyRuleTests.this.clock,
					member("a", "new", "n"), "n");
			rule.update(configuration, NEVER, Map.of("b", response(100_000, 3, 99_000)));
			assertThat(rule.isEstablished()).isFalse();
			assertThat(isCurrent(rule)).isFalse();
		}

		@Test
		void doesNotCountItselfTowardTheMajority() {
			Configuration configuration = withMembers(member("a", "old", "n"), member("b", "p", "n"),
					member("c", "p", "n"));
			QuorumCurrencyRule rule = new QuorumCurrencyRule(QuorumCurrencyRuleTests.this.clock,
					member("a", "new", "n"), "n");
			rule.update(configuration, NEVER, Map.of("b", response(100_000, 3, NEVER)));
			assertThat(isCurrent(rule)).as("one other of three").isFalse();
			rule.update(configuration, NEVER,
					Map.of("b", response(100_000, 3, NEVER), "c", response(100_000, -1, NEVER)));
			assertThat(isCurrent(rule)).as("the second one is not established").isFalse();
			rule.update(configuration, NEVER,
					Map.of("b", response(100_000, 3, NEVER), "c", response(100_000, 3, NEVER)));
			assertThat(isCurrent(rule)).as("two others of three").isTrue();
		}

	}

	@Nested
	class Evidence {

		@Test
		void ofAPeersReadExpires3SecondsAfterTheReadBegan() {
			Member self = member("a", "p", "n");
			QuorumCurrencyRule rule = new QuorumCurrencyRule(QuorumCurrencyRuleTests.this.clock, self, "n");
			Configuration configuration = withMembers(self, member("b", "p", "n"), member("c", "p", "n"));
			rule.update(configuration, NEVER, Map.of("b", response(101_000, 3, 100_000)));
			QuorumCurrencyRuleTests.this.clock.advance(3000);
			assertThat(isCurrent(rule)).isTrue();
			QuorumCurrencyRuleTests.this.clock.advance(1001);
			assertThat(isCurrent(rule)).isFalse();
		}

		@Test
		void ofHalfTheMembersNeedsAMajorityInThePlatformsRegion() {
			Member self = member("a", "p", "n");
			Configuration configuration = withMembers(self, member("b", "p", "n"), member("c", "p", "s"),
					member("d", "p", "s"));
			QuorumCurrencyRule rule = new QuorumCurrencyRule(QuorumCurrencyRuleTests.this.clock, self, "n");
			rule.update(configuration, 100_000, Map.of());
			QuorumCurrencyRuleTests.this.clock.advance(4000);
			rule.update(configuration, 100_000, Map.of("c", response(104_000, 4, NEVER)));
			assertThat(isCurrent(rule)).as("half of the members with half of the platform's region").isFalse();
			rule.update(configuration, 100_000, Map.of("b", response(104_000, 4, NEVER)));
			assertThat(isCurrent(rule)).as("half of the members with all of the platform's region").isTrue();
		}

	}

	@Nested
	class ReplacedProcess {

		@Test
		void isNotCurrentWhateverItReads() {
			Member self = member("a", "p", "n");
			QuorumCurrencyRule rule = new QuorumCurrencyRule(QuorumCurrencyRuleTests.this.clock, self, "n");
			rule.update(withMembers(self), 100_000, Map.of());
			assertThat(isCurrent(rule)).isTrue();
			rule.update(withMembers(self, member("a", "newer", "n")), 100_000, Map.of());
			assertThat(isCurrent(rule)).isFalse();
		}

	}

}
