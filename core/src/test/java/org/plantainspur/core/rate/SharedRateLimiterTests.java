package org.plantainspur.core.rate;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.RendezvousHomeHosts;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;
import org.plantainspur.core.time.HandClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against shares that start too early, loans from hosts that may not lend, and
 * waiting requests that are not woken.
 */
class SharedRateLimiterTests {

	private static final ClientAccount ACCOUNT = new ClientAccount("harbor-clinic", 1000, 3);

	private final HandClock clock = new HandClock();

	private final ConfigurationView view = new ConfigurationView();

	private final Member self = Member.builder("pdx-1", "p1").build();

	private final Member other = Member.builder("pdx-2", "p2").build();

	private final List<CompletableFuture<PeerMessage>> asked = new CopyOnWriteArrayList<>();

	private final AtomicReference<Boolean> released = new AtomicReference<>(false);

	private final AtomicReference<CurrencyRule.Currency> currency = new AtomicReference<>(
			new CurrencyRule.Currency.Current());

	private SharedRateLimiter limiter(Clock clock) {
		return SharedRateLimiter.builder(this.self)
			.clock(clock)
			.view(this.view)
			.currency(this.currency::get)
			.homeHosts(new RendezvousHomeHosts())
			.progress((holder, sequence) -> this.released.get())
			.link((member, message, timeout) -> {
				this.asked.add(new CompletableFuture<>());
				return this.asked.get(this.asked.size() - 1);
			})
			.build();
	}

	private void append(Change change) {
		Configuration present = this.view.current();
		this.view.advance(present.apply(new ChangeEntry(present.sequence() + 1, "c", change)));
	}

	@Nested
	class GainedShare {

		private final SharedRateLimiter limiter = limiter(SharedRateLimiterTests.this.clock);

		private void gain() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(SharedRateLimiterTests.this.other));
			SharedRateLimiterTests.this.clock.advance(10_000);
			append(new Change.MemberJoined(SharedRateLimiterTests.this.self));
			append(new Change.MembersRemoved(List.of(SharedRateLimiterTests.this.other)));
			assertThat(this.limiter.arrive(ACCOUNT)).isFalse();
		}

		private long millisUntilGranted() {
			for (long waited = 0; waited < 10_000; waited++) {
				if (this.limiter.take(ACCOUNT)) {
					return waited;
				}
				SharedRateLimiterTests.this.clock.advance(1);
			}
			return Long.MAX_VALUE;
		}

		@Test
		void startsBeforeTheSilentEarlierHolderIsFenced() {
			gain();
			assertThat(millisUntilGranted()).isEqualTo(ShareHistory.TAKEOVER_MILLIS + 1);
		}

		@Test
		void startsBeforeLoansOfTheReleasedHolderHaveEnded() {
			SharedRateLimiterTests.this.released.set(true);
			gain();
			assertThat(millisUntilGranted()).isEqualTo(ShareHistory.LOAN_OUT_MILLIS + 1);
		}

		@Test
		void unrelatedChangeDelaysTheStart() {
			SharedRateLimiterTests.this.released.set(true);
			gain();
			SharedRateLimiterTests.this.clock.advance(300);
			append(new Change.PutAccount(new ClientAccount("tidewater", 5, 5)));
			assertThat(millisUntilGranted()).isEqualTo(ShareHistory.LOAN_OUT_MILLIS - 300 + 1);
		}

	}

	@Nested
	class Lender {

		private final SharedRateLimiter limiter = limiter(SharedRateLimiterTests.this.clock);

		private long lend() {
			return this.limiter.lend(new PeerMessage.Borrow("pdx-2", ACCOUNT.id(), 2000)).milliTokens();
		}

		@Test
		void fencedOrResignedHostLends() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(SharedRateLimiterTests.this.self));
			SharedRateLimiterTests.this.clock.advance(10_000);
			SharedRateLimiterTests.this.currency.set(new CurrencyRule.Currency.Stale("cut off"));
			assertThat(lend()).isZero();
			SharedRateLimiterTests.this.currency.set(new CurrencyRule.Currency.Current());
			assertThat(lend()).isEqualTo(2000);
			SharedRateLimiterTests.this.clock.advance(5000);
			this.limiter.resign();
			assertThat(lend()).isZero();
		}

	}

	@Nested
	class IdleState {

		@Test
		void droppedStateGivesItsTokensAgain() {
			SharedRateLimiter limiter = limiter(SharedRateLimiterTests.this.clock);
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(SharedRateLimiterTests.this.self));
			SharedRateLimiterTests.this.clock.advance(10_000);
			assertThat(limiter.arrive(ACCOUNT)).isTrue();
			limiter.dropIdle();
			assertThat(limiter.accounts()).isEqualTo(1);
			SharedRateLimiterTests.this.clock.advance(61_000);
			limiter.dropIdle();
			assertThat(limiter.accounts()).isZero();
			assertThat(List.of(limiter.arrive(ACCOUNT), limiter.arrive(ACCOUNT), limiter.arrive(ACCOUNT),
					limiter.arrive(ACCOUNT)))
				.containsExactly(true, true, true, false);
		}

	}

	@Nested
	class WaitingRequest {

		@Test
		void loanDoesNotWakeTheRequest() throws Exception {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(SharedRateLimiterTests.this.other));
			Clock system = Clock.system();
			SharedRateLimiter limiter = limiter(system);
			CompletableFuture<RateLimiter.RateDecision> decision = CompletableFuture
				.supplyAsync(() -> limiter.acquire(ACCOUNT, system.millis() + 5000));
			for (int i = 0; i < 5000 && SharedRateLimiterTests.this.asked.isEmpty(); i++) {
				Thread.sleep(1);
			}
			SharedRateLimiterTests.this.asked.get(0).complete(new PeerMessage.Lent(1000));
			assertThat(decision.get()).isEqualTo(new RateLimiter.RateDecision.Granted());
			long started = system.millis();
			assertThat(limiter.acquire(ACCOUNT, started + 5000)).isInstanceOf(RateLimiter.RateDecision.Limited.class);
			assertThat(system.millis() - started).isBetween(200L, 1500L);
		}

	}

	@Nested
	class Restart {

		@Test
		void newProcessIsNotToldApartFromTheOld() {
			Member old = Member.builder("pdx-1", "p0").build();
			assertThat(Set.of(old, SharedRateLimiterTests.this.self)).hasSize(2);
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(old));
			SharedRateLimiter limiter = limiter(SharedRateLimiterTests.this.clock);
			SharedRateLimiterTests.this.clock.advance(10_000);
			assertThat(limiter.arrive(ACCOUNT)).isFalse();
			append(new Change.MemberJoined(SharedRateLimiterTests.this.self));
			SharedRateLimiterTests.this.clock.advance(ShareHistory.LOAN_OUT_MILLIS - 1);
			assertThat(limiter.arrive(ACCOUNT)).isFalse();
		}

	}

}
