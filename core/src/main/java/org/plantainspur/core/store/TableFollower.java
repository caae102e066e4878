package org.plantainspur.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.plantainspur.core.time.Clock;

/**
 * Follows one table of the store: reads it whole, then waits for changes, and reads it
 * whole again when the store no longer keeps the changes. All steps run on the
 * scheduler's thread.
 */
public final class TableFollower {

	/** The store is priced by call; a burst of changes is read in one. */
	static final long PAUSE_BETWEEN_READS_MS = 150;

	/** A table that is quiet costs one call in this time. */
	static final long WAIT_FOR_CHANGE_MS = 5_000;

	/** Kept well below the time within which a change must be in force (2.5 s). */
	static final long RETRY_MS = 400;

	private final String table;

	private final Store store;

	private final Clock clock;

	private final Scheduler scheduler;

	private final Listener listener;

	private final AtomicLong lastAnswerMs = new AtomicLong(Long.MIN_VALUE);

	private final AtomicLong lastFailureMs = new AtomicLong(Long.MIN_VALUE);

	private final List<StoredRow> partial = new ArrayList<>();

	private long version;

	public TableFollower(String table, Store store, Clock clock, Scheduler scheduler, Listener listener) {
		this.table = table;
		this.store = store;
		this.clock = clock;
		this.scheduler = scheduler;
		this.listener = listener;
	}

	/**
	 * Begins to follow the table.
	 */
	public void start() {
		this.scheduler.after(0, () -> list(""));
	}

	/**
	 * Returns when the store last answered a read of this table.
	 * @return the reading of the clock, {@link Long#MIN_VALUE} before the first answer
	 */
	public long lastAnswerMs() {
		return this.lastAnswerMs.get();
	}

	private void list(String from) {
		this.store.list(this.table, from).thenAccept((answer) -> this.scheduler.after(0, () -> listed(answer)));
	}

	private void listed(StoreAnswer answer) {
		if (answer instanceof StoreAnswer.Rows rows) {
			answered();
			this.partial.addAll(rows.rows());
			if (rows.more() && !rows.rows().isEmpty()) {
				// The smallest key greater than the last one.
				list(rows.rows().get(rows.rows().size() - 1).key() + "\0");
				return;
			}
			List<StoredRow> all = List.copyOf(this.partial);
			this.partial.clear();
			this.version = rows.version();
			this.listener.replaced(all, sinceFailureMs());
			follow();
			return;
		}
		this.partial.clear();
		failed(answer);
		this.scheduler.after(RETRY_MS, () -> list(""));
	}

	private void follow() {
		this.store.changes(this.table, this.version, WAIT_FOR_CHANGE_MS)
			.thenAccept((answer) -> this.scheduler.after(0, () -> followed(answer)));
	}

	private void followed(StoreAnswer answer) {
		if (answer instanceof StoreAnswer.Rows rows) {
			answered();
			this.version = Math.max(this.version, rows.version());
			if (!rows.rows().isEmpty()) {
				this.listener.changed(rows.rows(), sinceFailureMs());
			}
			this.scheduler.after(rows.rows().isEmpty() ? 0 : PAUSE_BETWEEN_READS_MS, this::follow);
		}
		else if (answer instanceof StoreAnswer.HistoryLost) {
			list("");
		}
		else {
			failed(answer);
			this.scheduler.after(RETRY_MS, this::follow);
		}
	}

	private void answered() {
		this.lastAnswerMs.set(this.clock.millis());
	}

	private long sinceFailureMs() {
		long failed = this.lastFailureMs.get();
		return (failed != Long.MIN_VALUE) ? this.clock.millis() - failed : Long.MAX_VALUE;
	}

	private void failed(StoreAnswer answer) {
		this.lastFailureMs.set(this.clock.millis());
		this.listener.unavailable(answer);
	}

	/**
	 * Told of what is read. All calls come on the scheduler's thread.
	 */
	public interface Listener {

		/**
		 * The table was read whole.
		 * @param rows all its rows
		 * @param sinceFailureMs the time since a read last failed, in milliseconds
		 */
		void replaced(List<StoredRow> rows, long sinceFailureMs);

		/**
		 * Rows have changed.
		 * @param rows the changed rows, oldest first
		 * @param sinceFailureMs the time since a read last failed, in milliseconds
		 */
		void changed(List<StoredRow> rows, long sinceFailureMs);

		/**
		 * A read failed; it is repeated.
		 * @param answer what it came to
		 */
		void unavailable(StoreAnswer answer);

	}

}
