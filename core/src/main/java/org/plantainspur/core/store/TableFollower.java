package org.plantainspur.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.plantainspur.core.time.Clock;

/**
 * Keeps a replica of one table up to date. While it follows the store, it reads the whole
 * table, then waits for changes, and reads the whole table again when the store no longer
 * keeps the changes. While it does not follow the store, it fetches the table and its
 * changes from another host on request. All steps run on the scheduler's thread.
 */
public final class TableFollower {

	/**
	 * The pause after a read that returned changes. Calls to the store are billed; with
	 * the pause, a burst of changes is read in one call.
	 */
	static final long PAUSE_BETWEEN_READS_MS = 400;

	/**
	 * The delay before the first retry, well below the time within which a change must be
	 * in force.
	 */
	static final long INITIAL_RETRY_MS = 400;

	/**
	 * The longest delay of the exponential backoff. Refused calls are billed too. After
	 * an outage, changes must be in force in time again only once the store has been
	 * available for 4 s, which leaves room for this delay.
	 */
	static final long MAX_RETRY_MS = 1_600;

	private final String table;

	private final Store store;

	private final Clock clock;

	private final Scheduler scheduler;

	private final Listener listener;

	private final long waitForChangeMs;

	private final TableReplica replica = new TableReplica();

	private final List<StoredRow> listedRows = new ArrayList<>();

	/**
	 * The version of the first page of a whole read. The later pages may be of later
	 * versions, but the changes since the first page are complete only in the feed.
	 */
	private StoreVersion listedVersion = StoreVersion.NONE;

	private boolean following;

	private boolean callPending;

	private boolean fetchPending;

	private boolean complete;

	private long lastResponseMs = Long.MIN_VALUE / 2;

	private long lastFailureMs = Long.MIN_VALUE / 2;

	private long eraBeganMs = Long.MIN_VALUE / 2;

	/** Whether changes have been read since the last whole read that they led to. */
	private boolean changesRead = true;

	private long backoffMs = INITIAL_RETRY_MS;

	/**
	 * Creates a follower that does not read yet.
	 * @param table the table's name
	 * @param store the store to read from
	 * @param clock the host's clock
	 * @param scheduler runs all steps
	 * @param waitForChangeMs how long a call waits for a change, in milliseconds; each
	 * response tells the hosts that rely on this one that the store is available
	 * @param listener receives the rows that are read and the failures
	 */
	public TableFollower(String table, Store store, Clock clock, Scheduler scheduler, long waitForChangeMs,
			Listener listener) {
		this.table = table;
		this.store = store;
		this.clock = clock;
		this.scheduler = scheduler;
		this.waitForChangeMs = waitForChangeMs;
		this.listener = listener;
	}

	/**
	 * Starts or stops following the store. A pending call is not cancelled.
	 * @param follow whether to follow
	 */
	public void follow(boolean follow) {
		this.following = follow;
		if (follow && !this.callPending) {
			read();
		}
	}

	/**
	 * Compares the rows with those of another host: fetches the changes if that host has
	 * newer ones, or the whole table if this host does not have it. Does not wait for a
	 * pending call to the store, which may take much longer, but leaves the changes to it
	 * while the store answers.
	 * @param source reads the tables of the other host
	 * @param sourceState the state of that host's replica
	 */
	public void fetchFrom(TableReader source, TableState sourceState) {
		boolean readingChanges = this.callPending && this.complete && this.lastResponseMs > this.lastFailureMs;
		if (this.fetchPending || readingChanges || !this.replica.state().isBehind(sourceState)) {
			return;
		}
		fetch(source, !this.complete || !this.replica.version().isSameEra(sourceState.version()));
	}

	/**
	 * Records the state of another host's replica. If it has the same rows at a later
	 * version, this host's rows are complete up to that version too.
	 * @param state the state of the other host's replica
	 */
	public void compareWith(TableState state) {
		if (this.complete && this.replica.state().isConfirmedBy(state)) {
			this.replica.confirm(state.version());
		}
	}

	private void fetch(TableReader source, boolean wholeTable) {
		this.fetchPending = true;
		StoreVersion after = this.replica.version();
		call(() -> wholeTable ? source.list(this.table, "") : source.changes(this.table, after, 0),
				(result) -> onFetched(source, result, after, wholeTable));
	}

	private void onFetched(TableReader source, StoreResult result, StoreVersion after, boolean wholeTable) {
		this.fetchPending = false;
		if (result instanceof StoreResult.Rows rows && !this.replica.version().isAfter(rows.version())
				&& (wholeTable || appliesTo(after, rows))) {
			if (wholeTable) {
				replace(rows.rows(), rows.version());
			}
			else {
				apply(rows);
			}
		}
		else if (!wholeTable && (result instanceof StoreResult.HistoryLost || isOfLaterEra(result))) {
			fetch(source, true);
		}
		else if (!this.callPending) {
			// The other host returned no rows, or older ones than this host has, so this
			// host reads the store once.
			read();
		}
	}

	// Rows of another era than the read began with are not all changes, and neither are
	// those of the replica's era if it has moved on to that era since.
	private boolean appliesTo(StoreVersion after, StoreResult.Rows rows) {
		return rows.version().isSameEra(after) && rows.version().isSameEra(this.replica.version());
	}

	private boolean isOfLaterEra(StoreResult result) {
		return result instanceof StoreResult.Rows rows && rows.version().era() > this.replica.version().era();
	}

	/**
	 * Returns whether the whole table has been read.
	 * @return {@code false} before the first whole read, and while the table must be read
	 * whole again
	 */
	public boolean complete() {
		return this.complete;
	}

	/**
	 * Returns the replica, which must be used on the scheduler's thread.
	 * @return the replica that this follower updates
	 */
	public TableReplica replica() {
		return this.replica;
	}

	/**
	 * Returns the time since the store last responded to a read of this table.
	 * @return the time in milliseconds, very large before the first response
	 */
	public long sinceLastResponseMs() {
		return this.clock.millis() - this.lastResponseMs;
	}

	private void read() {
		this.callPending = true;
		if (this.complete) {
			StoreVersion after = this.replica.version();
			call(() -> this.store.changes(this.table, after, this.waitForChangeMs),
					(result) -> onChanged(result, after));
		}
		else {
			list("");
		}
	}

	private void list(String from) {
		call(() -> this.store.list(this.table, from), this::onListed);
	}

	// A call that fails with an exception must have a result too, since the next read is
	// only scheduled when the result is handled.
	private void call(Supplier<CompletionStage<StoreResult>> reader, Consumer<StoreResult> onResult) {
		CompletionStage<StoreResult> stage;
		try {
			stage = reader.get();
		}
		catch (RuntimeException ex) {
			stage = CompletableFuture.failedFuture(ex);
		}
		stage.exceptionally((failure) -> new StoreResult.Unavailable("the call failed: " + failure))
			.thenAccept((result) -> this.scheduler.after(0, () -> onResult.accept(result)));
	}

	private void onListed(StoreResult result) {
		if (!(result instanceof StoreResult.Rows rows)) {
			this.listedRows.clear();
			onFailure(result);
			return;
		}
		if (this.listedRows.isEmpty()) {
			this.listedVersion = rows.version();
		}
		if (!rows.version().isSameEra(this.listedVersion)) {
			// Pages of different eras are not one table.
			this.listedRows.clear();
			retryLater();
			return;
		}
		this.listedRows.addAll(rows.rows());
		if (rows.more() && !rows.rows().isEmpty()) {
			// The smallest key greater than the last one.
			list(rows.rows().get(rows.rows().size() - 1).key() + "\0");
			return;
		}
		this.lastResponseMs = this.clock.millis();
		List<StoredRow> all = List.copyOf(this.listedRows);
		this.listedRows.clear();
		deliver(() -> replace(all, this.listedVersion), 0);
	}

	private void replace(List<StoredRow> all, StoreVersion version) {
		if (this.replica.version().isAfter(version)) {
			// Rows of another host arrived while this read was on its way.
			this.listener.outdated(version, this.replica.version());
			return;
		}
		boolean firstRead = this.replica.version().equals(StoreVersion.NONE);
		if (!firstRead && !version.isSameEra(this.replica.version())) {
			this.eraBeganMs = this.clock.millis();
		}
		this.replica.replace(all, version);
		this.complete = true;
		notifyListener(() -> this.listener.replaced(all.stream().filter((row) -> !row.removed()).toList(), version,
				sinceLossMs()));
	}

	private void onChanged(StoreResult result, StoreVersion after) {
		if (result instanceof StoreResult.Rows rows) {
			this.lastResponseMs = this.clock.millis();
			if (appliesTo(after, rows)) {
				deliver(() -> apply(rows), rows.rows().isEmpty() ? 0 : PAUSE_BETWEEN_READS_MS);
			}
			else {
				readWholeTable(isOfLaterEra(rows));
			}
		}
		else if (result instanceof StoreResult.HistoryLost) {
			readWholeTable(true);
		}
		else {
			onFailure(result);
		}
	}

	// Reads at once for the first time only: the changes after a whole read may be lost,
	// too, or the read may be dropped as outdated.
	private void readWholeTable(boolean needed) {
		this.complete &= !needed;
		if (needed && this.changesRead) {
			this.changesRead = false;
			read();
		}
		else {
			retryLater();
		}
	}

	private void apply(StoreResult.Rows rows) {
		this.changesRead = true;
		List<StoredRow> newer = this.replica.apply(rows.rows(), rows.version());
		if (!newer.isEmpty()) {
			notifyListener(() -> this.listener.changed(newer, rows.version(), sinceLossMs()));
		}
	}

	// A listener that fails has missed rows, so the whole table is read again.
	private void notifyListener(Runnable notification) {
		boolean notified = false;
		try {
			notification.run();
			notified = true;
		}
		finally {
			this.complete &= notified;
		}
	}

	// Schedules the next read even if the listener fails. The exception or error goes on
	// to the scheduler, which reports it.
	private void deliver(Runnable delivery, long pauseMs) {
		boolean delivered = false;
		try {
			delivery.run();
			delivered = true;
		}
		finally {
			if (delivered && this.complete) {
				onSuccess(pauseMs);
			}
			else {
				retryLater();
			}
		}
	}

	private void onFailure(StoreResult result) {
		this.lastFailureMs = this.clock.millis();
		retryLater();
		this.listener.unavailable(result);
	}

	private void retryLater() {
		scheduleNext(this.backoffMs);
		this.backoffMs = Math.min(MAX_RETRY_MS, this.backoffMs * 2);
	}

	private void onSuccess(long pauseMs) {
		this.backoffMs = INITIAL_RETRY_MS;
		scheduleNext(pauseMs);
	}

	private void scheduleNext(long delayMs) {
		this.scheduler.after(delayMs, () -> {
			this.callPending = false;
			if (this.following) {
				read();
			}
		});
	}

	private long sinceLossMs() {
		return this.clock.millis() - Math.max(this.lastFailureMs, this.eraBeganMs);
	}

	/**
	 * Receives what is read. All calls come on the scheduler's thread.
	 */
	public interface Listener {

		/**
		 * Called when the whole table was read.
		 * @param rows all its rows, without removed ones
		 * @param version the version of the store up to which they are complete
		 * @param sinceLossMs the time since a read last failed or a new era of the store
		 * was met, in milliseconds; rows that are missing then may be written again
		 */
		void replaced(List<StoredRow> rows, StoreVersion version, long sinceLossMs);

		/**
		 * Called when changes were read.
		 * @param rows the changed rows, removed ones included, oldest first
		 * @param version the version of the store up to which they are complete
		 * @param sinceLossMs as for {@link #replaced}
		 */
		void changed(List<StoredRow> rows, StoreVersion version, long sinceLossMs);

		/**
		 * Called when a whole read was dropped because this host has newer rows.
		 * @param readVersion the version of the store at which the table was read
		 * @param ownVersion the version up to which this host has its rows
		 */
		void outdated(StoreVersion readVersion, StoreVersion ownVersion);

		/**
		 * Called when a read failed; it is retried.
		 * @param result the result of the failed read
		 */
		void unavailable(StoreResult result);

	}

}
