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
 * Guards against evidence that counts for longer, or for more, than it proves.
 */
class QuorumCurrencyRuleTests {

	private static final long NEVER = Long.MIN_VALUE;

	private final ManualClock clock = new ManualClock().advance(100_000);

	private static Member member(String host, String process, String region) {
		return Member.builder(host, process).region(region).peerAddress(host + ":1").build();
	}

	private static Configuration of(Member... members) {
		Configuration configuration = Configuration.empty();
		for (Member member : members) {
			long sequence = configuration.sequence() + 1;
			configuration = configuration
				.apply(new ChangeEntry(sequence, "c" + sequence, new Change.MemberJoined(member)));
		}
		return configuration;
	}

	private static HeardMember heard(long asked, long sequence, long read) {
		return new HeardMember(asked, asked + 1, "p", sequence, read, List.of());
	}

	private boolean current(QuorumCurrencyRule rule) {
		return rule.check() instanceof CurrencyRule.Currency.Current;
	}

	@Nested
	class NewProcess {

		@Test
		void isNotEstablishedByAReadFromBeforeItsStart() {
			Configuration configuration = of(member("a", "old", "n"), member("b", "p", "n"), member("c", "p", "n"));
			QuorumCurrencyRule rule = new QuorumCurrencyRule(QuorumCurrencyRuleTests.this.clock,
					member("a", "new", "n"), "n");
			rule.update(configuration, NEVER, Map.of("b", heard(100_000, 3, 99_000)));
			assertThat(rule.established()).isFalse();
			assertThat(current(rule)).isFalse();
		}

		@Test
		void doesNotCountItselfTowardTheMajority() {
			Configuration configuration = of(member("a", "old", "n"), member("b", "p", "n"), member("c", "p", "n"));
			QuorumCurrencyRule rule = new QuorumCurrencyRule(QuorumCurrencyRuleTests.this.clock,
					member("a", "new", "n"), "n");
			rule.update(configuration, NEVER, Map.of("b", heard(100_000, 3, NEVER)));
			assertThat(current(rule)).as("one other of three").isFalse();
			rule.update(configuration, NEVER, Map.of("b", heard(100_000, 3, NEVER), "c", heard(100_000, -1, NEVER)));
			assertThat(current(rule)).as("the second one is not established").isFalse();
			rule.update(configuration, NEVER, Map.of("b", heard(100_000, 3, NEVER), "c", heard(100_000, 3, NEVER)));
			assertThat(current(rule)).as("two others of three").isTrue();
		}

	}

	@Nested
	class Evidence {

		@Test
		void ofAPeerEndsTheTimeoutAfterItsReadBegan() {
			Member self = member("a", "p", "n");
			QuorumCurrencyRule rule = new QuorumCurrencyRule(QuorumCurrencyRuleTests.this.clock, self, "n");
			Configuration configuration = of(self, member("b", "p", "n"), member("c", "p", "n"));
			rule.update(configuration, NEVER, Map.of("b", heard(101_000, 3, 100_000)));
			QuorumCurrencyRuleTests.this.clock.advance(3000);
			assertThat(current(rule)).isTrue();
			QuorumCurrencyRuleTests.this.clock.advance(1001);
			assertThat(current(rule)).isFalse();
		}

		@Test
		void ofHalfCountsOnlyWithThePlatformsRegion() {
			Member self = member("a", "p", "n");
			Configuration configuration = of(self, member("b", "p", "n"), member("c", "p", "s"), member("d", "p", "s"));
			QuorumCurrencyRule rule = new QuorumCurrencyRule(QuorumCurrencyRuleTests.this.clock, self, "n");
			rule.update(configuration, 100_000, Map.of());
			QuorumCurrencyRuleTests.this.clock.advance(4000);
			rule.update(configuration, 100_000, Map.of("c", heard(104_000, 4, NEVER)));
			assertThat(current(rule)).as("half with half of the platform's region").isFalse();
			rule.update(configuration, 100_000, Map.of("b", heard(104_000, 4, NEVER)));
			assertThat(current(rule)).as("half with all of the platform's region").isTrue();
		}

	}

	@Nested
	class ReplacedProcess {

		@Test
		void isNotCurrentWhateverItReads() {
			Member self = member("a", "p", "n");
			QuorumCurrencyRule rule = new QuorumCurrencyRule(QuorumCurrencyRuleTests.this.clock, self, "n");
			rule.update(of(self), 100_000, Map.of());
			assertThat(current(rule)).isTrue();
			rule.update(of(self, member("a", "newer", "n")), 100_000, Map.of());
			assertThat(current(rule)).isFalse();
		}

	}

}
