package org.plantainspur.core.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two threads that both dispatch a request with the same idempotency key.
 */
@Timeout(60)
class ConcurrentIdempotencyRegistryTests {

	private static final int THREADS = 8;

	private static final int KEYS = 500;

	private static final String ACCOUNT = "harbor-clinic";

	private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);

	private final ManualClock clock = new ManualClock().advance(7_000_000);

	private final LocalIdempotencyRegistry registry = LocalIdempotencyRegistry.builder("pdx-7", "p1")
		.clock(this.clock)
		.build();

	private final CyclicBarrier barrier = new CyclicBarrier(THREADS);

	private final AtomicInteger dispatched = new AtomicInteger();

	private final AtomicInteger openRecords = new AtomicInteger();

	private final AtomicInteger maximumOpenRecords = new AtomicInteger();

	@AfterEach
	void stopThreads() {
		this.threads.shutdownNow();
	}

	private List<String> keys() {
		List<String> keys = new ArrayList<>();
		for (int i = 0; i < KEYS; i++) {
			keys.add(this.registry.issueToken(ACCOUNT) + "." + i);
		}
		return keys;
	}

	// Calls the work for each key on all threads, which start each key together.
	private void onAllThreads(List<String> keys, Consumer<String> work) throws Exception {
		List<CompletableFuture<Void>> futures = new ArrayList<>();
		for (int i = 0; i < THREADS; i++) {
			futures.add(CompletableFuture.runAsync(() -> keys.forEach((key) -> {
				awaitBarrier();
				work.accept(key);
			}), this.threads));
		}
		CompletableFuture.allOf(futures.toArray(new CompletableFuture<?>[0])).get(40, TimeUnit.SECONDS);
	}

	private void awaitBarrier() {
		try {
			this.barrier.await(20, TimeUnit.SECONDS);
		}
		catch (Exception ex) {
			throw new IllegalStateException("a thread did not reach the barrier within 20 s", ex);
		}
	}

	private void register(String key, Consumer<IdempotencyRegistry.OpenRecord> closeRecord) {
		if (this.registry.register(ACCOUNT, key,
				"f") instanceof IdempotencyRegistry.DispatchDecision.Dispatch dispatch) {
			this.dispatched.incrementAndGet();
			this.maximumOpenRecords.accumulateAndGet(this.openRecords.incrementAndGet(), Math::max);
			this.openRecords.decrementAndGet();
			closeRecord.accept(dispatch.openRecord());
		}
	}

	@Nested
	class SameKey {

		@Test
		void isDispatchedByOneThread() throws Exception {
			CallerAnswer answer = new CallerAnswer.Answered(200, Headers.empty(), new byte[0]);
			onAllThreads(keys(), (key) -> register(key, (record) -> record.complete(answer)));
			assertThat(ConcurrentIdempotencyRegistryTests.this.dispatched).hasValue(KEYS);
			assertThat(ConcurrentIdempotencyRegistryTests.this.registry.running()).isZero();
			assertThat(ConcurrentIdempotencyRegistryTests.this.registry.records()).isEqualTo(KEYS);
		}

		@Test
		void isNotDispatchedByTwoThreadsAtOnceAfterRefusalsAsNotRun() throws Exception {
			CallerAnswer.Refused refusal = Problem.notRun(Problem.Code.NO_CAPACITY, "none").toRefusal();
			onAllThreads(keys(), (key) -> {
				for (int attempt = 0; attempt < 5; attempt++) {
					register(key, (record) -> record.removeAsNotRun(refusal));
				}
				awaitBarrier();
			});
			assertThat(ConcurrentIdempotencyRegistryTests.this.maximumOpenRecords).hasValue(1);
			assertThat(ConcurrentIdempotencyRegistryTests.this.registry.running()).isZero();
			assertThat(ConcurrentIdempotencyRegistryTests.this.registry.records()).isZero();
		}

	}

}
