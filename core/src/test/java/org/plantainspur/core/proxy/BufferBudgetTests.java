package org.plantainspur.core.proxy;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BufferBudgetTests {

	private static final int CAPACITY = 16 << 20;

	private static final int CHUNK = 16 << 10;

	private final BufferBudget budget = new BufferBudget(CAPACITY);

	// Grows a body until it is refused, and returns its size.
	private long grow(int chunks) {
		long held = 0;
		for (int i = 0; i < chunks && this.budget.tryTake(CHUNK, held + CHUNK); i++) {
			held += CHUNK;
		}
		return held;
	}

	/**
	 * Guards against targets that send without end and use up the memory of the host:
	 * other requests must still be served beside them.
	 */
	@Nested
	class EndlessBodies {

		@Test
		void oneBodyTakesAtMostHalf() {
			assertThat(grow(Integer.MAX_VALUE)).isEqualTo(CAPACITY / 2);
		}

		@Test
		void smallBodiesAreAdmittedBesideTwentyEndlessOnes() {
			long[] held = new long[20];
			boolean grew = true;
			while (grew) {
				grew = false;
				for (int i = 0; i < held.length; i++) {
					if (BufferBudgetTests.this.budget.tryTake(CHUNK, held[i] + CHUNK)) {
						held[i] += CHUNK;
						grew = true;
					}
				}
			}
			for (int i = 0; i < 10; i++) {
				assertThat(BufferBudgetTests.this.budget.tryTake(BufferBudget.SMALL_BODY_BYTES,
						BufferBudget.SMALL_BODY_BYTES))
					.isTrue();
			}
		}

	}

	/** Guards against a budget that leaks, or that is exceeded by concurrent bodies. */
	@Nested
	class Accounting {

		@Test
		void releasedBytesAreAvailableAgain() {
			long held = grow(Integer.MAX_VALUE);
			BufferBudgetTests.this.budget.release(held);
			assertThat(BufferBudgetTests.this.budget.usedBytes()).isZero();
			assertThat(grow(Integer.MAX_VALUE)).isEqualTo(held);
		}

		@Test
		void smallBodiesTogetherDoNotExceedTheCapacity() {
			int admitted = 0;
			while (BufferBudgetTests.this.budget.tryTake(CHUNK, CHUNK)) {
				admitted++;
			}
			assertThat(admitted).isEqualTo(CAPACITY / CHUNK);
		}

		@Test
		void concurrentBodiesDoNotExceedTheCapacity() throws InterruptedException {
			AtomicLong taken = new AtomicLong();
			ExecutorService threads = Executors.newFixedThreadPool(4);
			for (int i = 0; i < 4; i++) {
				threads.execute(() -> {
					while (BufferBudgetTests.this.budget.tryTake(1_000, 1_000)) {
						taken.addAndGet(1_000);
					}
				});
			}
			threads.shutdown();
			assertThat(threads.awaitTermination(30, TimeUnit.SECONDS)).isTrue();
			assertThat(taken.get()).isEqualTo(BufferBudgetTests.this.budget.usedBytes())
				.isBetween(CAPACITY - 1_000L, (long) CAPACITY);
		}

	}

}
