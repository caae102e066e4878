package org.plantainspur.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

class RepeatingStoreTests {

	private static final long WAIT_MS = 1_300;

	private final ChangeDelayBudget budget = ChangeDelayBudget.builder().build();

	private final ManualClock clock = new ManualClock();

	private final ManualScheduler scheduler = new ManualScheduler(this.clock);

	private int repetitions;

	private final FakePooledStore pooled = new FakePooledStore();

	private final RepeatingStore store = new RepeatingStore(this.pooled, this.clock, this.scheduler, this.budget,
			new RetrySchedule(this.clock, this.scheduler, this.budget), () -> this.repetitions++);

	private final List<StoreResult> results = new ArrayList<>();

	private static StoreVersion version(long number) {
		return new StoreVersion(1, number);
	}

	private static StoreResult rows(long version, StoredRow... rows) {
		return new StoreResult.Rows(List.of(rows), version(version), false);
	}

	private void runFor(long milliseconds) {
		this.scheduler.runFor(milliseconds);
	}

	private void readChanges(String table, long after) {
		this.store.changes(table, version(after), WAIT_MS).thenAccept(this.results::add);
	}

	/** Guards against a host that waits for an answer that cannot come any more. */
	@Nested
	class LateAnswer {

		@Test
		void isAskedForAgainOnANewConnectionWithoutAWait() {
			readChanges("op", 5);
			runFor(WAIT_MS + RepeatingStoreTests.this.budget.answerGraceMs());
			assertThat(RepeatingStoreTests.this.pooled.calls).extracting(Call::name)
				.containsExactly("pooled op 5 1300", "new op 5 0");
			RepeatingStoreTests.this.pooled.calls.get(1).answer().complete(rows(5));
			runFor(0);
			assertThat(RepeatingStoreTests.this.results).containsExactly(rows(5));
			assertThat(RepeatingStoreTests.this.repetitions).isEqualTo(1);
		}

		@Test
		void letsReadsOnOtherOldConnectionsBeRepeatedOnceItIsReplaced() {
			readChanges("op", 5);
			runFor(700);
			readChanges("servers", 5);
			runFor(WAIT_MS + RepeatingStoreTests.this.budget.answerGraceMs() - 700);
			RepeatingStoreTests.this.pooled.calls.get(2).answer().complete(rows(5));
			runFor(0);
			assertThat(RepeatingStoreTests.this.pooled.calls).extracting(Call::name)
				.containsExactly("pooled op 5 1300", "pooled servers 5 1300", "new op 5 0", "pooled servers 5 0");
			assertThat(RepeatingStoreTests.this.pooled.idleClosed).isEqualTo(1);
		}

		@Test
		void thatComesFirstIsUsed() {
			readChanges("op", 5);
			runFor(WAIT_MS + RepeatingStoreTests.this.budget.answerGraceMs());
			RepeatingStoreTests.this.pooled.calls.get(0).answer().complete(rows(6));
			RepeatingStoreTests.this.pooled.calls.get(1).answer().complete(rows(7));
			runFor(0);
			assertThat(RepeatingStoreTests.this.results).containsExactly(rows(6));
		}

		@Test
		void isAFailureOnlyWhenAllAttemptsHaveFailed() {
			readChanges("op", 5);
			runFor(WAIT_MS + RepeatingStoreTests.this.budget.answerGraceMs());
			RepeatingStoreTests.this.pooled.calls.get(1).answer().complete(new StoreResult.Unavailable("refused"));
			runFor(0);
			assertThat(RepeatingStoreTests.this.results).isEmpty();
			RepeatingStoreTests.this.pooled.calls.get(0).answer().complete(new StoreResult.Unavailable("reset"));
			runFor(0);
			assertThat(RepeatingStoreTests.this.results).containsExactly(new StoreResult.Unavailable("reset"));
		}

		@Test
		void endsTheReadInBoundedTime() {
			readChanges("op", 5);
			runFor(WAIT_MS + 3 * RepeatingStoreTests.this.budget.retryIntervalMs(1));
			assertThat(RepeatingStoreTests.this.results).singleElement().isInstanceOf(StoreResult.Unavailable.class);
		}

	}

	/** Guards against a lost answer that brought changes, while other answers arrive. */
	@Nested
	class AnswerOfAnotherTable {

		private void answerTargets(StoreResult answer) {
			readChanges("op", 5);
			readChanges("servers", 5);
			RepeatingStoreTests.this.pooled.calls.get(1).answer().complete(answer);
			runFor(RepeatingStoreTests.this.budget.answerGraceMs());
		}

		@Test
		void atALaterVersionLeadsToARepeatedRead() {
			answerTargets(rows(6));
			assertThat(RepeatingStoreTests.this.pooled.calls).extracting(Call::name).endsWith("new op 5 0");
		}

		@Test
		void whoseRowsAccountForTheVersionLeadsToNone() {
			answerTargets(rows(6, new StoredRow("i-1", new byte[0], 6, false)));
			assertThat(RepeatingStoreTests.this.pooled.calls).hasSize(2);
		}

	}

	/** Guards against calls, which are billed, that a slow store does not need. */
	@Nested
	class SlowStore {

		@Test
		void isNotCalledAgainOnceItsTimeIsKnown() {
			RepeatingStoreTests.this.store.list("op", "").thenAccept(RepeatingStoreTests.this.results::add);
			runFor(110);
			RepeatingStoreTests.this.pooled.calls.get(0).answer().complete(rows(5));
			runFor(0);
			RepeatingStoreTests.this.store.list("op", "").thenAccept(RepeatingStoreTests.this.results::add);
			runFor(RepeatingStoreTests.this.budget.answerGraceMs() + 50);
			assertThat(RepeatingStoreTests.this.pooled.calls).hasSize(2);
		}

	}

	private record Call(String name, CompletableFuture<StoreResult> answer) {
	}

	private static final class FakePooledStore implements PooledStore {

		private final List<Call> calls = new ArrayList<>();

		private int idleClosed;

		private CompletionStage<StoreResult> call(String name) {
			Call call = new Call(name, new CompletableFuture<>());
			this.calls.add(call);
			return call.answer();
		}

		@Override
		public CompletionStage<StoreResult> list(String table, String from) {
			return call("pooled " + table);
		}

		@Override
		public CompletionStage<StoreResult> changes(String table, StoreVersion after, long waitMs) {
			return call("pooled " + table + " " + after.number() + " " + waitMs);
		}

		@Override
		public CompletionStage<StoreResult> put(String table, String key, byte[] value) {
			return call("put " + table);
		}

		@Override
		public TableReader onNewConnections() {
			return new TableReader() {

				@Override
				public CompletionStage<StoreResult> list(String table, String from) {
					return call("new " + table);
				}

				@Override
				public CompletionStage<StoreResult> changes(String table, StoreVersion after, long waitMs) {
					return call("new " + table + " " + after.number() + " " + waitMs);
				}

			};
		}

		@Override
		public void closeIdleConnections() {
			this.idleClosed++;
		}

	}

}
