package org.plantainspur.core.rate;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

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
		return builder(clock).build();
	}

	private SharedRateLimiter.Builder builder(Clock clock) {
		return SharedRateLimiter.builder(this.self)
			.clock(clock)
			.view(this.view)
			.currency(this.currency::get)
			.homeHosts(new RendezvousHomeHosts())
			.progress((holder, sequence) -> this.released.get() || holder.processId().equals("p3"))
			.link((member, message, timeout) -> {
				this.asked.add(new CompletableFuture<>());
				return this.asked.get(this.asked.size() - 1);
			});
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

		private final List<Long> waits = new ArrayList<>();

		private RateLimiter.RateDecision acquire(LoanWait wait) {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(SharedRateLimiterTests.this.other));
			return builder(SharedRateLimiterTests.this.clock).loanWait(wait)
				.build()
				.acquire(ACCOUNT, SharedRateLimiterTests.this.clock.millis() + 5000);
		}

		private boolean pass(long millis) {
			this.waits.add(millis);
			SharedRateLimiterTests.this.clock.advance(millis);
			return true;
		}

		@Test
		void loanDoesNotEndTheWait() {
			assertThat(acquire((loan, millis) -> {
				SharedRateLimiterTests.this.asked.get(0).complete(new PeerMessage.Lent(1000));
				assertThat(loan).as("the wait that a loan must end").isDone();
				return pass(0);
			})).isEqualTo(new RateLimiter.RateDecision.Granted());
			assertThat(this.waits).hasSize(1);
		}

		@Test
		void waitEndsTooEarlyOrTooLate() {
			assertThat(acquire((loan, millis) -> pass(millis))).isInstanceOf(RateLimiter.RateDecision.Limited.class);
			assertThat(this.waits.stream().mapToLong(Long::longValue).sum()).isEqualTo(200);
		}

		@Test
		void interruptedRequestGoesOnWaiting() {
			assertThat(acquire((loan, millis) -> {
				pass(0);
				return false;
			})).isInstanceOf(RateLimiter.RateDecision.Limited.class);
			assertThat(this.waits).hasSize(1);
		}

		// The longest wait is longer than the time limit of the test, so only the loan
		// can
		// end it.
		@Test
		@Timeout(60)
		void loanDoesNotWakeTheParkedThread() throws Exception {
			CompletableFuture<Void> loan = new CompletableFuture<>();
			CompletableFuture<Boolean> wait = CompletableFuture
				.supplyAsync(() -> LoanWait.PARKED.await(loan, Long.MAX_VALUE));
			loan.complete(null);
			assertThat(wait.get(30, TimeUnit.SECONDS)).isTrue();
		}

		@Test
		@Timeout(60)
		void parkedThreadWakesTooEarlyOrNever() {
			long started = System.nanoTime();
			assertThat(LoanWait.PARKED.await(new CompletableFuture<>(), 200)).isTrue();
			assertThat(System.nanoTime() - started).isGreaterThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(200));
		}

	}

	@Nested
	class FreshProcess {

		private final Member moved = Member.builder("pdx-2", "p3").peerAddress("127.0.0.1:9").build();

		private long millisUntilGranted(SharedRateLimiter limiter) {
			for (long waited = 0; waited < 10_000; waited++) {
				if (limiter.arrive(ACCOUNT)) {
					return waited;
				}
				SharedRateLimiterTests.this.clock.advance(1);
			}
			return Long.MAX_VALUE;
		}

		@Test
		void firstMemberOfAnEmptyFleetWaitsForFencing() {
			SharedRateLimiter limiter = limiter(SharedRateLimiterTests.this.clock);
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(SharedRateLimiterTests.this.self));
			assertThat(millisUntilGranted(limiter)).isEqualTo(ShareHistory.LOAN_OUT_MILLIS + 1);
		}

		@Test
		void silentMemberMayStillHoldAShare() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(SharedRateLimiterTests.this.other));
			append(new Change.MemberJoined(SharedRateLimiterTests.this.self));
			assertThat(millisUntilGranted(limiter(SharedRateLimiterTests.this.clock)))
				.isEqualTo(ShareHistory.TAKEOVER_MILLIS + 1);
		}

		@Test
		void removedMemberThatIsNotFencedMayStillHoldAShare() {
			SharedRateLimiterTests.this.released.set(true);
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(SharedRateLimiterTests.this.other));
			append(new Change.MembersRemoved(List.of(SharedRateLimiterTests.this.other)));
			append(new Change.MemberJoined(SharedRateLimiterTests.this.self));
			assertThat(millisUntilGranted(limiter(SharedRateLimiterTests.this.clock)))
				.isEqualTo(ShareHistory.TAKEOVER_MILLIS + 1);
		}

		@Test
		void processAtAnotherAddressProvesNothing() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(SharedRateLimiterTests.this.other));
			append(new Change.MemberJoined(SharedRateLimiterTests.this.self));
			SharedRateLimiter limiter = limiter(SharedRateLimiterTests.this.clock);
			append(new Change.MemberJoined(this.moved));
			assertThat(millisUntilGranted(limiter)).isGreaterThanOrEqualTo(ShareHistory.TAKEOVER_MILLIS);
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
