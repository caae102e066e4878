package org.plantainspur.core.store;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import org.plantainspur.core.time.Clock;

/**
 * Repeats reads of the store on new connections when their answers are late, and uses the
 * first answer. An answer is late some time after it was due, or after another answer has
 * shown that the store holds changes which it should have brought. All reads that are
 * late take turns, and once a repeated one is answered, the others are repeated at once:
 * the connections that were open before may all be silent. Used by one thread.
 */
public final class RepeatingStore implements Store {

	private final PooledStore store;

	private final Clock clock;

	private final Scheduler scheduler;

	private final ChangeDelayBudget budget;

	private final RetrySchedule retries;

	private final Runnable repeatListener;

	private final Set<Read> pending = new LinkedHashSet<>();

	/** The time that the last answer took beyond the wait of its call. */
	private long lastAnswerMs;

	/**
	 * Creates a store that repeats the reads of another one.
	 * @param store the store to read from
	 * @param clock the host's clock
	 * @param scheduler runs all steps
	 * @param budget the time after which an answer is late
	 * @param retries spaces the repeated reads
	 * @param repeatListener runs each time a read is repeated
	 */
	public RepeatingStore(PooledStore store, Clock clock, Scheduler scheduler, ChangeDelayBudget budget,
			RetrySchedule retries, Runnable repeatListener) {
		this.store = store;
		this.clock = clock;
		this.scheduler = scheduler;
		this.budget = budget;
		this.retries = retries;
		this.repeatListener = repeatListener;
	}

	@Override
	public CompletionStage<StoreResult> list(String table, String from) {
		return new Read(0, StoreVersion.NONE, (reader) -> reader.list(table, from),
				(reader) -> reader.list(table, from))
			.begin();
	}

	@Override
	public CompletionStage<StoreResult> changes(String table, StoreVersion after, long waitMs) {
		// A repeated read does not wait, so that its answer shows at once that the store
		// can be reached.
		return new Read(waitMs, after, (reader) -> reader.changes(table, after, waitMs),
				(reader) -> reader.changes(table, after, 0))
			.begin();
	}

	@Override
	public CompletionStage<StoreResult> put(String table, String key, byte[] value) {
		return this.store.put(table, key, value);
	}

	// A store that is slow answers all calls late; they need not be repeated.
	private long graceMs() {
		return Math.min(this.budget.retryIntervalMs(1), Math.max(this.budget.answerGraceMs(), 2 * this.lastAnswerMs));
	}

	// All connections may be silent that were open when the late answer was due. The one
	// on which it has come carries the next read.
	private void repeatReadsSentBefore(long sentMs) {
		for (Read read : List.copyOf(this.pending)) {
			if (read.lastAttemptMs < sentMs) {
				read.repeat(false);
			}
		}
	}

	private void repeatReadsBehind(StoreVersion version) {
		for (Read read : List.copyOf(this.pending)) {
			if (version.isAfter(read.after)) {
				read.repeatIfPendingIn(graceMs());
			}
		}
	}

	/** A read with the attempts that it takes. */
	private final class Read {

		private final CompletableFuture<StoreResult> result = new CompletableFuture<>();

		private final long sentMs = RepeatingStore.this.clock.millis();

		private final long waitMs;

		private final StoreVersion after;

		private final Function<TableReader, CompletionStage<StoreResult>> firstAttempt;

		private final Function<TableReader, CompletionStage<StoreResult>> repeatedAttempt;

		private final BooleanSupplier repetition = () -> repeat(true);

		/** Whether an attempt was made because the answer to the ones before is late. */
		private boolean late;

		private long lastAttemptMs;

		private int attempts;

		private int failedAttempts;

		Read(long waitMs, StoreVersion after, Function<TableReader, CompletionStage<StoreResult>> firstAttempt,
				Function<TableReader, CompletionStage<StoreResult>> repeatedAttempt) {
			this.waitMs = waitMs;
			this.after = after;
			this.firstAttempt = firstAttempt;
			this.repeatedAttempt = repeatedAttempt;
		}

		CompletionStage<StoreResult> begin() {
			RepeatingStore.this.pending.add(this);
			attempt(RepeatingStore.this.store, this.firstAttempt);
			repeatIfPendingIn(this.waitMs + graceMs());
			RepeatingStore.this.scheduler.after(timeoutMs(),
					() -> end(new StoreResult.Unavailable("no response within " + timeoutMs() + " ms")));
			return this.result;
		}

		// Long enough for two repeated attempts.
		private long timeoutMs() {
			return this.waitMs + 3 * RepeatingStore.this.budget.retryIntervalMs(1);
		}

		private void attempt(TableReader reader, Function<TableReader, CompletionStage<StoreResult>> attempt) {
			int number = ++this.attempts;
			this.lastAttemptMs = RepeatingStore.this.clock.millis();
			attempt.apply(reader)
				.exceptionally((failure) -> new StoreResult.Unavailable("the call failed: " + failure))
				.thenAccept((answer) -> RepeatingStore.this.scheduler.after(0, () -> onAnswer(answer, number)));
		}

		void repeatIfPendingIn(long delayMs) {
			RepeatingStore.this.scheduler.after(delayMs, () -> {
				if (!this.result.isDone()) {
					RepeatingStore.this.retries.add(this.repetition, Long.MIN_VALUE / 2);
				}
			});
		}

		private boolean repeat(boolean isLate) {
			if (this.result.isDone()) {
				return false;
			}
			RepeatingStore.this.repeatListener.run();
			this.late |= isLate;
			if (isLate) {
				// The idle connections may be as silent as the one that was used.
				RepeatingStore.this.store.closeIdleConnections();
				attempt(RepeatingStore.this.store.onNewConnections(), this.repeatedAttempt);
			}
			else {
				attempt(RepeatingStore.this.store, this.repeatedAttempt);
			}
			repeatIfPendingIn(graceMs());
			return true;
		}

		private void onAnswer(StoreResult answer, int attempt) {
			if (this.result.isDone()) {
				return;
			}
			if (answer instanceof StoreResult.Unavailable && ++this.failedAttempts < this.attempts) {
				return;
			}
			end(answer);
			if (answer instanceof StoreResult.Unavailable) {
				return;
			}
			long tookMs = RepeatingStore.this.clock.millis() - this.sentMs;
			if (attempt == 1 && tookMs >= this.waitMs) {
				RepeatingStore.this.lastAnswerMs = tookMs - this.waitMs;
			}
			if (attempt > 1 && this.late) {
				repeatReadsSentBefore(this.lastAttemptMs);
			}
			if (answer instanceof StoreResult.Rows rows && mayHideChanges(rows)) {
				repeatReadsBehind(rows.version());
			}
		}

		// The versions are those of the whole store. If the rows do not account for all
		// that were given out since, another table may have changed.
		private boolean mayHideChanges(StoreResult.Rows rows) {
			return !rows.version().isSameEra(this.after)
					|| rows.version().number() - this.after.number() > rows.rows().size();
		}

		private void end(StoreResult answer) {
			RepeatingStore.this.pending.remove(this);
			this.result.complete(answer);
		}

	}

}
