package org.plantainspur.core.routing;

import java.util.ArrayList;
import java.util.List;
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

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against permits beyond the limit, permits that are lost, and waiting requests
 * that are neither admitted nor rejected, while deadlines pass.
 */
@Timeout(60)
class ConcurrentAdmissionTests {

	private static final int THREADS = 8;

	private static final int LIMIT = 3;

	private static final int REQUESTS = 300;

	private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);

	private final Clock clock = Clock.system();

	private final FairAdmissionQueue queue = new FairAdmissionQueue(this.clock, (service, inUse) -> LIMIT);

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicInteger maxRunning = new AtomicInteger();

	private final AtomicInteger admitted = new AtomicInteger();

	private final AtomicInteger rejected = new AtomicInteger();

	@AfterEach
	void stopThreads() {
		this.threads.shutdownNow();
	}

	private void request(int thread, int number) {
		ClientAccount account = new ClientAccount("account-" + thread % 3, 10 * (1 + thread % 3), 10);
		long deadline = this.clock.millis() + 1 + (thread * 7 + number) % 9;
		if (this.queue.admit("booking", account, deadline) instanceof AdmissionQueue.Admission.Admitted admission) {
			this.admitted.incrementAndGet();
			this.maxRunning.accumulateAndGet(this.running.incrementAndGet(), Math::max);
			hold((thread + number) % 3);
			this.running.decrementAndGet();
			admission.permit().close();
		}
		else {
			this.rejected.incrementAndGet();
		}
	}

	private static void hold(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void runAll() throws Exception {
		List<CompletableFuture<Void>> all = new ArrayList<>();
		for (int i = 0; i < THREADS; i++) {
			int thread = i;
			all.add(CompletableFuture.runAsync(() -> {
				for (int n = 0; n < REQUESTS; n++) {
					request(thread, n);
				}
			}, this.threads));
		}
		CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0])).get(40, TimeUnit.SECONDS);
	}

	@Nested
	class ExpiringDeadlines {

		@Test
		void keepTheLimitAndLeaveNoRequestUnanswered() throws Exception {
			runAll();
			assertThat(ConcurrentAdmissionTests.this.maxRunning.get()).isBetween(1, LIMIT);
			assertThat(ConcurrentAdmissionTests.this.admitted.get() + ConcurrentAdmissionTests.this.rejected.get())
				.isEqualTo(THREADS * REQUESTS);
			assertThat(ConcurrentAdmissionTests.this.queue.waiting("booking")).isZero();
			for (int i = 0; i < LIMIT; i++) {
				assertThat(ConcurrentAdmissionTests.this.queue.admit("booking", new ClientAccount("late", 10, 10),
						Long.MAX_VALUE))
					.isInstanceOf(AdmissionQueue.Admission.Admitted.class);
			}
		}

	}

}
