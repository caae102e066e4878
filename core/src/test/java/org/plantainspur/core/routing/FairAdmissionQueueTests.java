package org.plantainspur.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.time.Clock;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against one account that takes the capacity or the memory that others need, and
 * against requests that wait although they cannot be served in time.
 */
class FairAdmissionQueueTests {

	private static final ClientAccount LARGE = new ClientAccount("large", 60, 60);

	private static final ClientAccount SMALL = new ClientAccount("small", 20, 20);

	private final ExecutorService threads = Executors.newCachedThreadPool();

	@AfterEach
	void stopThreads() {
		this.threads.shutdownNow();
	}

	private static AdmissionQueue.Permit permit(AdmissionQueue.Admission admission) {
		assertThat(admission).isInstanceOf(AdmissionQueue.Admission.Admitted.class);
		return ((AdmissionQueue.Admission.Admitted) admission).permit();
	}

	private CompletableFuture<AdmissionQueue.Admission> startWaiting(FairAdmissionQueue queue, ClientAccount account,
			long deadline, int expectedWaiting) throws InterruptedException {
		CompletableFuture<AdmissionQueue.Admission> admission = CompletableFuture
			.supplyAsync(() -> queue.admit("booking", account, deadline), this.threads);
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (queue.waiting("booking") < expectedWaiting && System.nanoTime() < end) {
			Thread.sleep(1);
		}
		assertThat(queue.waiting("booking")).isEqualTo(expectedWaiting);
		return admission;
	}

	@Nested
	class Order {

		@Test
		void servesEachAccountInProportionToItsRate() {
			FairQueue<String> queue = new FairQueue<>();
			Map<String, Integer> served = new HashMap<>();
			for (int i = 0; i < 8000; i++) {
				for (int copies = 0; copies < 5; copies++) {
					queue.add(SMALL, "small");
				}
				queue.add(LARGE, "large");
				served.merge(queue.poll(), 1, Integer::sum);
			}
			assertThat(served.get("large") / 8000.0).isBetween(0.73, 0.77);
		}

		@Test
		void boundsTheWaitingRequestsOfOneAccount() {
			FairQueue<String> queue = new FairQueue<>();
			for (int i = 0; i < 1000; i++) {
				queue.add(SMALL, "small");
			}
			assertThat(queue.size()).isEqualTo(FairQueue.MAX_PER_ACCOUNT);
			assertThat(queue.add(LARGE, "large")).isNotNull();
		}

		@Test
		void doesNotPreferOpenRoutes() {
			FairQueue<String> queue = new FairQueue<>();
			for (int i = 0; i < 10; i++) {
				queue.add(new ClientAccount("open", Double.MAX_VALUE, Double.MAX_VALUE), "open");
			}
			queue.add(SMALL, "small");
			queue.poll();
			assertThat(queue.poll()).isEqualTo("small");
		}

	}

	@Nested
	@Timeout(30)
	class Waiting {

		@Test
		void endsWhenAPermitIsClosed() throws Exception {
			FairAdmissionQueue queue = new FairAdmissionQueue(Clock.system(), (service, inUse) -> 1);
			AdmissionQueue.Permit running = permit(queue.admit("booking", LARGE, Long.MAX_VALUE));
			CompletableFuture<AdmissionQueue.Admission> next = startWaiting(queue, SMALL, Long.MAX_VALUE, 1);
			running.close();
			running.close();
			AdmissionQueue.Permit second = permit(next.get(10, TimeUnit.SECONDS));
			CompletableFuture<AdmissionQueue.Admission> third = startWaiting(queue, SMALL, Long.MAX_VALUE, 1);
			assertThat(third).as("a permit closed twice must not admit twice").isNotDone();
			second.close();
			permit(third.get(10, TimeUnit.SECONDS)).close();
		}

		@Test
		void endsWhenTheLimitRises() throws Exception {
			AtomicInteger limit = new AtomicInteger(1);
			FairAdmissionQueue queue = new FairAdmissionQueue(Clock.system(), (service, inUse) -> limit.get());
			permit(queue.admit("booking", LARGE, Long.MAX_VALUE));
			CompletableFuture<AdmissionQueue.Admission> next = startWaiting(queue, SMALL, Long.MAX_VALUE, 1);
			limit.set(2);
			permit(next.get(10, TimeUnit.SECONDS));
		}

		@Test
		void endsAtTheDeadline() throws Exception {
			ManualClock clock = new ManualClock();
			FairAdmissionQueue queue = new FairAdmissionQueue(clock, (service, inUse) -> 1);
			permit(queue.admit("booking", LARGE, 1000));
			CompletableFuture<AdmissionQueue.Admission> next = startWaiting(queue, SMALL, 500, 1);
			clock.advance(500);
			assertThat(next.get(10, TimeUnit.SECONDS)).isInstanceOf(AdmissionQueue.Admission.Rejected.class);
			assertThat(queue.waiting("booking")).isZero();
		}

		@Test
		void isRejectedAtOnceIfTheDeadlineCannotBeMet() {
			ManualClock clock = new ManualClock();
			FairAdmissionQueue queue = new FairAdmissionQueue(clock, (service, inUse) -> 1);
			AdmissionQueue.Permit slow = permit(queue.admit("booking", LARGE, 10_000));
			clock.advance(1000);
			slow.close();
			permit(queue.admit("booking", LARGE, 10_000));
			assertThat(queue.admit("booking", SMALL, 1500)).isInstanceOf(AdmissionQueue.Admission.Rejected.class);
		}

		@Test
		void isNotRejectedAfterAStall() {
			ManualClock clock = new ManualClock();
			FairAdmissionQueue queue = new FairAdmissionQueue(clock, (service, inUse) -> 1);
			AdmissionQueue.Permit stalled = permit(queue.admit("booking", LARGE, 30_000));
			clock.advance(30_000);
			stalled.close();
			permit(queue.admit("booking", SMALL, 30_100)).close();
		}

		@Test
		void admitsNoMoreThanTheLimitUnderContention() throws Exception {
			FairAdmissionQueue queue = new FairAdmissionQueue(Clock.system(), (service, inUse) -> 3);
			AtomicInteger running = new AtomicInteger();
			AtomicInteger maxRunning = new AtomicInteger();
			List<CompletableFuture<Void>> all = new ArrayList<>();
			for (int i = 0; i < 16; i++) {
				ClientAccount account = (i % 2 == 0) ? LARGE : SMALL;
				all.add(CompletableFuture.runAsync(() -> {
					for (int n = 0; n < 200; n++) {
						AdmissionQueue.Permit permit = permit(queue.admit("booking", account, Long.MAX_VALUE));
						maxRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
						running.decrementAndGet();
						permit.close();
					}
				}, FairAdmissionQueueTests.this.threads));
			}
			CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0])).get(20, TimeUnit.SECONDS);
			assertThat(maxRunning.get()).isBetween(1, 3);
			assertThat(queue.waiting("booking")).isZero();
		}

	}

}
