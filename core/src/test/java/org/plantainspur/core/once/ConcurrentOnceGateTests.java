package org.plantainspur.core.once;

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
 * Guards against two threads that both dispatch the request of one key.
 */
@Timeout(60)
class ConcurrentOnceGateTests {

	private static final int THREADS = 8;

	private static final int KEYS = 500;

	private static final String ACCOUNT = "harbor-clinic";

	private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);

	private final ManualClock clock = new ManualClock().advance(7_000_000);

	private final ProcessOnceGate gate = ProcessOnceGate.builder("pdx-7", "p1").clock(this.clock).build();

	private final CyclicBarrier step = new CyclicBarrier(THREADS);

	private final AtomicInteger dispatched = new AtomicInteger();

	private final AtomicInteger open = new AtomicInteger();

	private final AtomicInteger mostOpen = new AtomicInteger();

	@AfterEach
	void stopThreads() {
		this.threads.shutdownNow();
	}

	private List<String> keys() {
		List<String> keys = new ArrayList<>();
		for (int i = 0; i < KEYS; i++) {
			keys.add(this.gate.mint(ACCOUNT) + "." + i);
		}
		return keys;
	}

	// All threads enter each key at the same moment.
	private void together(List<String> keys, Consumer<String> work) throws Exception {
		List<CompletableFuture<Void>> all = new ArrayList<>();
		for (int i = 0; i < THREADS; i++) {
			all.add(CompletableFuture.runAsync(() -> keys.forEach((key) -> {
				meet();
				work.accept(key);
			}), this.threads));
		}
		CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0])).get(40, TimeUnit.SECONDS);
	}

	private void meet() {
		try {
			this.step.await(20, TimeUnit.SECONDS);
		}
		catch (Exception ex) {
			throw new IllegalStateException("a thread did not arrive", ex);
		}
	}

	private void enter(String key, Consumer<OnceGate.Ticket> end) {
		if (this.gate.enter(ACCOUNT, key, "f") instanceof OnceGate.OnceDecision.Dispatch dispatch) {
			this.dispatched.incrementAndGet();
			this.mostOpen.accumulateAndGet(this.open.incrementAndGet(), Math::max);
			this.open.decrementAndGet();
			end.accept(dispatch.ticket());
		}
	}

	@Nested
	class SameKey {

		@Test
		void moreThanOneThreadDispatches() throws Exception {
			CallerAnswer answer = new CallerAnswer.Answered(200, Headers.empty(), new byte[0]);
			together(keys(), (key) -> enter(key, (ticket) -> ticket.answered(answer)));
			assertThat(ConcurrentOnceGateTests.this.dispatched).hasValue(KEYS);
			assertThat(ConcurrentOnceGateTests.this.gate.running()).isZero();
			assertThat(ConcurrentOnceGateTests.this.gate.records()).isEqualTo(KEYS);
		}

		@Test
		void repeatsAfterRefusalsThatSayNotRunOverlap() throws Exception {
			CallerAnswer.Refused refusal = Problem.notRun(Problem.Code.NO_CAPACITY, "none").refuse();
			together(keys(), (key) -> {
				for (int n = 0; n < 5; n++) {
					enter(key, (ticket) -> ticket.notRun(refusal));
				}
				meet();
			});
			assertThat(ConcurrentOnceGateTests.this.mostOpen).hasValue(1);
			assertThat(ConcurrentOnceGateTests.this.gate.running()).isZero();
			assertThat(ConcurrentOnceGateTests.this.gate.records()).isZero();
		}

	}

}
