package org.plantainspur.core.rate;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
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
import org.plantainspur.core.membership.RendezvousHostAssignment;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against lost updates when several threads take, lend and borrow tokens of one
 * account: tokens that are granted twice, and tokens that nobody can take.
 */
@Timeout(60)
class ConcurrentLimitTests {

	private static final int THREADS = 8;

	private static final int ROUNDS = 20;

	private static final ClientAccount ACCOUNT = new ClientAccount("harbor-clinic", 1000, 1000);

	private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);

	private final ManualClock clock = new ManualClock();

	private final ConfigurationView view = new ConfigurationView();

	private final AtomicLong granted = new AtomicLong();

	private final AtomicLong lentMilliTokens = new AtomicLong();

	private final AtomicLong borrowedMilliTokens = new AtomicLong();

	@AfterEach
	void stopThreads() {
		this.threads.shutdownNow();
	}

	private void append(Change change) {
		Configuration present = this.view.current();
		this.view.advance(present.apply(new ChangeEntry(present.sequence() + 1, "c", change)));
	}

	private SharedRateLimiter limiter(Member self, long maxLoanMilliTokens) {
		return SharedRateLimiter.builder(self)
			.clock(this.clock)
			.view(this.view)
			.currency(() -> new CurrencyRule.Currency.Current())
			.homeHosts(new RendezvousHostAssignment())
			.progress((holder, sequence) -> false)
			.link((member, message, timeout) -> {
				long given = Math.min(maxLoanMilliTokens, ((PeerMessage.Borrow) message).milliTokens());
				this.borrowedMilliTokens.addAndGet(given);
				return CompletableFuture.completedFuture(new PeerMessage.Lent(given));
			})
			.build();
	}

	private void runOnAllThreads(Runnable work) throws Exception {
		CyclicBarrier start = new CyclicBarrier(THREADS);
		List<CompletableFuture<Void>> all = new ArrayList<>();
		for (int i = 0; i < THREADS; i++) {
			all.add(CompletableFuture.runAsync(() -> {
				try {
					start.await(20, TimeUnit.SECONDS);
				}
				catch (Exception ex) {
					throw new IllegalStateException("not all " + THREADS + " threads started within 20 s", ex);
				}
				work.run();
			}, this.threads));
		}
		CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0])).get(30, TimeUnit.SECONDS);
	}

	private void take(SharedRateLimiter limiter, int times) {
		for (int n = 0; n < times; n++) {
			if (limiter.countAndTryTake(ACCOUNT)) {
				this.granted.incrementAndGet();
			}
		}
	}

	private void lend(SharedRateLimiter limiter, int times) {
		for (int n = 0; n < times; n++) {
			this.lentMilliTokens
				.addAndGet(limiter.lend(new PeerMessage.Borrow("pdx-2", ACCOUNT.id(), 700)).milliTokens());
		}
	}

	@Nested
	class SingleHomeHost {

		private final SharedRateLimiter limiter = limiter(Member.builder("pdx-1", "p1").build(), 0);

		private void join() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(Member.builder("pdx-1", "p1").build()));
			ConcurrentLimitTests.this.clock.advance(10_000);
		}

		private long spentMilliTokens() {
			return ConcurrentLimitTests.this.granted.get() * 1000 + ConcurrentLimitTests.this.lentMilliTokens.get();
		}

		@Test
		void grantsAndLoansAddUpToTheBurst() throws Exception {
			join();
			runOnAllThreads(() -> {
				take(this.limiter, 100);
				lend(this.limiter, 100);
			});
			assertThat(spentMilliTokens()).isLessThanOrEqualTo(1_000_000);
			take(this.limiter, 1000);
			assertThat(spentMilliTokens()).isBetween(999_001L, 1_000_000L);
		}

		@Test
		void refillDuringConcurrentUseStaysWithinTheRate() throws Exception {
			join();
			for (int round = 0; round < ROUNDS; round++) {
				runOnAllThreads(() -> {
					take(this.limiter, 100);
					lend(this.limiter, 100);
					ConcurrentLimitTests.this.clock.advance(1);
				});
				assertThat(spentMilliTokens()).isLessThanOrEqualTo(1_000_000 + (round + 1) * THREADS * 1000L);
			}
		}

		@Test
		void droppingIdleStateGivesNoTokenTwice() throws Exception {
			join();
			take(this.limiter, 1);
			for (int round = 0; round < ROUNDS; round++) {
				ConcurrentLimitTests.this.granted.set(0);
				ConcurrentLimitTests.this.clock.advance(120_000);
				runOnAllThreads(() -> {
					this.limiter.dropIdle();
					take(this.limiter, 200);
					this.limiter.dropIdle();
				});
				assertThat(ConcurrentLimitTests.this.granted.get()).isEqualTo(1000);
			}
		}

	}

	@Nested
	class Borrower {

		@Test
		void grantsStayWithinTheLoans() throws Exception {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(Member.builder("pdx-2", "p2").build()));
			SharedRateLimiter limiter = limiter(Member.builder("pdx-1", "p1").build(), 20_000);
			for (int round = 0; round < ROUNDS; round++) {
				runOnAllThreads(() -> take(limiter, 100));
				assertThat(ConcurrentLimitTests.this.granted.get() * 1000)
					.isLessThanOrEqualTo(ConcurrentLimitTests.this.borrowedMilliTokens.get());
				ConcurrentLimitTests.this.clock.advance(60);
			}
			assertThat(ConcurrentLimitTests.this.granted.get()).isPositive();
		}

	}

}
