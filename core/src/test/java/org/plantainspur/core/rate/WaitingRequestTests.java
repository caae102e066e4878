package org.plantainspur.core.rate;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.peer.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are not woken when a loan arrives, that wait longer than
 * 200 ms or after an interrupt, or that give up too early.
 */
class WaitingRequestTests extends SharedRateLimiterFixture {

	@Nested
	class WaitingRequest {

		private final List<Long> waits = new ArrayList<>();

		private RateLimiter.RateDecision acquire(LoanWait wait) {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(WaitingRequestTests.this.other));
			return builder(WaitingRequestTests.this.clock).loanWait(wait)
				.build()
				.acquire(ACCOUNT, WaitingRequestTests.this.clock.millis() + 5000);
		}

		private boolean advanceClock(long millis) {
			this.waits.add(millis);
			WaitingRequestTests.this.clock.advance(millis);
			return true;
		}

		@Test
		void isGrantedWhenALoanArrives() {
			assertThat(acquire((loan, millis) -> {
				WaitingRequestTests.this.loanReplies.get(0).complete(new PeerMessage.Lent(1000));
				assertThat(loan).as("the wait that a loan must end").isDone();
				return advanceClock(0);
			})).isEqualTo(new RateLimiter.RateDecision.Granted());
			assertThat(this.waits).hasSize(1);
		}

		@Test
		void isLimitedAfterTheMaximumWait() {
			assertThat(acquire((loan, millis) -> advanceClock(millis)))
				.isInstanceOf(RateLimiter.RateDecision.Limited.class);
			assertThat(this.waits.stream().mapToLong(Long::longValue).sum()).isEqualTo(200);
		}

		@Test
		void stopsWaitingIfInterrupted() {
			assertThat(acquire((loan, millis) -> {
				advanceClock(0);
				return false;
			})).isInstanceOf(RateLimiter.RateDecision.Limited.class);
			assertThat(this.waits).hasSize(1);
		}

		// The maximum wait exceeds the time limit of the test, so only the loan can end
		// the wait.
		@Test
		@Timeout(60)
		void parkedThreadIsWokenByALoan() throws Exception {
			CompletableFuture<Void> loan = new CompletableFuture<>();
			CompletableFuture<Boolean> wait = CompletableFuture
				.supplyAsync(() -> LoanWait.PARKED.await(loan, Long.MAX_VALUE));
			loan.complete(null);
			assertThat(wait.get(30, TimeUnit.SECONDS)).isTrue();
		}

		@Test
		@Timeout(60)
		void parkedThreadWakesAfterTheTimeLimit() {
			long started = System.nanoTime();
			assertThat(LoanWait.PARKED.await(new CompletableFuture<>(), 200)).isTrue();
			assertThat(System.nanoTime() - started).isGreaterThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(200));
		}

	}

}
