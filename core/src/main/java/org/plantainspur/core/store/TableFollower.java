package org.plantainspur.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
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

	private final String table;

	private final Store store;

	private final Clock clock;

	private final Scheduler scheduler;

	private final Listener listener;

	private final ChangeDelayBudget budget;

	private final RetrySchedule retries;

	private final AnswerSchedule answers;

	private final BooleanSupplier retry = this::readAgain;

	private final TableReplica replica = new TableReplica();

	private final List<StoredRow> listedRows = new ArrayList<>();

	/**
	 * The version of the first page of a whole read. The later pages may be of later
	 * versions, but the changes since the first page are complete only in the feed.
	 */
	private StoreVersion listedVersion = StoreVersion.NONE;

	private boolean following;

	private boolean callPending;

	private long readSentMs;

	private boolean fetchPending;

	private boolean complete;

	/** Whether the table has been read whole once. */
	private boolean loaded;

	/** Until when the store itself has shown that the replica is complete. */
	private long storeAsOfMs = Long.MIN_VALUE / 2;

	/** The read of another host that last showed that the replica is complete. */
	private Origin peerRead = new Origin("", Long.MIN_VALUE / 2);

	/** Since when another host has had newer rows, 0 while none has. */
	private long newerElsewhereSinceMs;

	private long lastFailureMs = Long.MIN_VALUE / 2;

	private long eraBeganMs = Long.MIN_VALUE / 2;

	/** Whether changes have been read since the last whole read that they led to. */
	private boolean changesRead = true;

	/**
	 * Creates a follower that does not read yet.
	 * @param table the table's name
	 * @param store the store to read from
	 * @param clock the host's clock
	 * @param scheduler runs all steps
	 * @param timing when to read, shared with the followers of the other tables
	 * @param listener receives the rows that are read and the failures
	 */
	public TableFollower(String table, Store store, Clock clock, Scheduler scheduler, Timing timing,
			Listener listener) {
		this.table = table;
		this.store = store;
		this.clock = clock;
		this.scheduler = scheduler;
		this.budget = timing.budget();
		this.retries = timing.retries();
		this.answers = timing.answers();
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
	 * newer ones, or the whole table if this host does not have it. Leaves the changes to
	 * a pending call to the store as long as its answer may be on the way.
	 * @param source reads the tables of the other host
	 * @param sourceState the state of that host's replica
	 * @param host the name of that host
	 * @param ageMs the time since that host read the store, in milliseconds
	 */
	public void fetchFrom(TableReader source, TableState sourceState, String host, long ageMs) {
		if (!this.replica.state().isBehind(sourceState)) {
			this.newerElsewhereSinceMs = 0;
			return;
		}
		long nowMs = this.clock.millis();
		if (this.newerElsewhereSinceMs == 0) {
			this.newerElsewhereSinceMs = nowMs;
		}
		boolean inTouch = !failing() && storeAgeMs() <= this.budget.takeoverAgeMs();
		boolean readingChanges = this.callPending && this.complete && inTouch
				&& nowMs - this.newerElsewhereSinceMs < this.budget.answerGraceMs();
		if (!this.fetchPending && !readingChanges) {
			fetch(source, !this.complete || !this.replica.version().isSameEra(sourceState.version()),
					new Origin(host, nowMs - ageMs));
		}
	}

	/**
	 * Records the state of another host's replica. If it has the same rows, this host's
	 * rows are complete up to its version and its last read of the store too.
	 * @param state the state of the other host's replica
	 * @param host the name of the other host
	 * @param ageMs the time since that host read the store, in milliseconds
	 */
	public void compareWith(TableState state, String host, long ageMs) {
		if (!this.complete || !this.replica.state().hasSameRows(state)) {
			return;
		}
		if (this.replica.state().isConfirmedBy(state)) {
			this.replica.confirm(state.version());
		}
		if (this.replica.version().equals(state.version())) {
			recordOrigin(new Origin(host, this.clock.millis() - ageMs));
		}
	}

	private void recordOrigin(Origin origin) {
		if (origin.asOfMs() > this.peerRead.asOfMs()) {
			this.peerRead = origin;
		}
	}

	private void fetch(TableReader source, boolean wholeTable, Origin origin) {
		this.fetchPending = true;
		StoreVersion after = this.replica.version();
		call(() -> wholeTable ? source.list(this.table, "") : source.changes(this.table, after, 0),
				(result) -> onFetched(source, result, after, wholeTable, origin));
	}

	private void onFetched(TableReader source, StoreResult result, StoreVersion after, boolean wholeTable,
			Origin origin) {
		this.fetchPending = false;
		if (result instanceof StoreResult.Rows rows && !this.replica.version().isAfter(rows.version())
				&& (wholeTable || appliesTo(after, rows))) {
			recordOrigin(origin);
			if (wholeTable) {
				replace(rows.rows(), rows.version());
			}
			else {
				apply(rows);
			}
			this.listener.read();
		}
		else if (!wholeTable && (result instanceof StoreResult.HistoryLost || isOfLaterEra(result))) {
			fetch(source, true, origin);
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
	 * Returns whether other hosts can fetch the rows, which may be those of some time
	 * ago.
	 * @return {@code true} from the first whole read on
	 */
	public boolean loaded() {
		return this.loaded;
	}

	/**
	 * Returns the replica, which must be used on the scheduler's thread.
	 * @return the replica that this follower updates
	 */
	public TableReplica replica() {
		return this.replica;
	}

	/**
	 * Returns the time since this host itself last read in the store that its rows are
	 * complete.
	 * @return the time in milliseconds, very large before the first read
	 */
	public long storeAgeMs() {
		return this.clock.millis() - this.storeAsOfMs;
	}

	/**
	 * Returns whether the last read of the store failed.
	 * @return {@code true} until a read succeeds
	 */
	public boolean failing() {
		return this.lastFailureMs > this.storeAsOfMs;
	}

	/**
	 * Returns the time since the rows were known to be complete, read by this host or by
	 * another one.
	 * @return the time in milliseconds, very large before the first read
	 */
	public long ageMs() {
		return this.clock.millis() - Math.max(this.storeAsOfMs, this.peerRead.asOfMs());
	}

	/**
	 * Returns who has read in the store that the rows are complete.
	 * @return the name of another host, or {@code "store"} for this one
	 */
	public String readBy() {
		return (this.storeAsOfMs >= this.peerRead.asOfMs()) ? "store" : this.peerRead.host();
	}

	private void read() {
		this.callPending = true;
		this.readSentMs = this.clock.millis();
		if (this.complete) {
			StoreVersion after = this.replica.version();
			// Without a recent answer, the first one shows whether the store can be read.
			long waitMs = (storeAgeMs() > this.budget.takeoverAgeMs()) ? 0 : this.answers.waitMs(this.table);
			call(() -> this.store.changes(this.table, after, waitMs), (result) -> onChanged(result, after, waitMs));
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
			this.scheduler.after(this.budget.wholeReadIntervalMs(), this::readAgain);
			return;
		}
		this.listedRows.addAll(rows.rows());
		if (rows.more() && !rows.rows().isEmpty()) {
			// The smallest key greater than the last one.
			list(rows.rows().get(rows.rows().size() - 1).key() + "\0");
			return;
		}
		List<StoredRow> all = List.copyOf(this.listedRows);
		this.listedRows.clear();
		deliver(() -> {
			if (replace(all, this.listedVersion)) {
				this.storeAsOfMs = this.readSentMs;
			}
		}, 0);
	}

	private boolean replace(List<StoredRow> all, StoreVersion version) {
		if (this.replica.version().isAfter(version)) {
			// Rows of another host arrived while this read was on its way.
			this.listener.outdated(version, this.replica.version());
			return false;
		}
		boolean firstRead = this.replica.version().equals(StoreVersion.NONE);
		if (!firstRead && !version.isSameEra(this.replica.version())) {
			this.eraBeganMs = this.clock.millis();
		}
		this.replica.replace(all, version);
		this.complete = true;
		this.loaded = true;
		notifyListener(() -> this.listener.replaced(all.stream().filter((row) -> !row.removed()).toList(), version,
				sinceLossMs()));
		return true;
	}

	private void onChanged(StoreResult result, StoreVersion after, long waitMs) {
		if (result instanceof StoreResult.Rows rows) {
			if (appliesTo(after, rows)) {
				// An answer may have been held up on its way.
				this.storeAsOfMs = Math.min(this.clock.millis(),
						this.readSentMs + waitMs + this.budget.answerGraceMs());
				deliver(() -> apply(rows), rows.rows().isEmpty() ? 0 : this.budget.pauseBetweenReadsMs());
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
			this.scheduler.after(this.budget.wholeReadIntervalMs(), this::readAgain);
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
				this.scheduler.after(this.budget.wholeReadIntervalMs(), this::readAgain);
			}
		}
	}

	private void onFailure(StoreResult result) {
		this.lastFailureMs = this.clock.millis();
		this.retries.add(this.retry, this.readSentMs);
		this.listener.unavailable(result);
	}

	private void onSuccess(long pauseMs) {
		this.listener.read();
		this.retries.storeAnswered();
		this.answers.answered(this.table);
		this.scheduler.after(pauseMs, this::readAgain);
	}

	private boolean readAgain() {
		this.callPending = false;
		if (this.following) {
			read();
		}
		return this.following;
	}

	private long sinceLossMs() {
		return this.clock.millis() - Math.max(this.lastFailureMs, this.eraBeganMs);
	}

	/**
	 * A read of the store by another host.
	 *
	 * @param host the name of the host
	 * @param asOfMs until when it shows that rows are complete, by this host's clock
	 */
	private record Origin(String host, long asOfMs) {
	}

	/**
	 * When the tables of a host are read.
	 *
	 * @param budget the waits
	 * @param retries spaces the reads while the store does not answer
	 * @param answers spaces the answers while nothing changes
	 */
	public record Timing(ChangeDelayBudget budget, RetrySchedule retries, AnswerSchedule answers) {
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
		 * Called after a read of the store or of another host that succeeded, whether it
		 * brought rows or not.
		 */
		void read();

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
