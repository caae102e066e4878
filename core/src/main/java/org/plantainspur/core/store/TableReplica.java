package org.plantainspur.core.store;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * A replica of a table. It also keeps the rows that were removed, so that other hosts can
 * fetch changes from it. Used by one thread.
 */
public final class TableReplica {

	/**
	 * All removed rows are dropped together when there are more, which bounds the memory.
	 * Hosts that still need one of them must then read the whole table.
	 */
	private static final int MAX_REMOVED = 4_096;

	private final Map<String, StoredRow> rows = new HashMap<>();

	private StoreVersion version = StoreVersion.NONE;

	private long digest;

	/** The number of the version from which on all changes of the era are kept. */
	private long historyStartNumber = Long.MAX_VALUE;

	/**
	 * Returns the version of the store up to which the replica is complete.
	 * @return the version, {@link StoreVersion#NONE} before the first read
	 */
	public StoreVersion version() {
		return this.version;
	}

	/**
	 * Returns what tells other hosts whether they have the same rows.
	 * @return the version and the digest of the rows
	 */
	public TableState state() {
		return new TableState(this.version, this.digest);
	}

	/**
	 * Replaces the rows by those of a whole read.
	 * @param all all rows of the table, possibly with removed ones
	 * @param readVersion the version of the store at which they were read
	 */
	public void replace(Collection<StoredRow> all, StoreVersion readVersion) {
		this.rows.clear();
		this.digest = 0;
		all.forEach(this::put);
		// Rows may have been written and removed since the last read without being seen
		// here, and another host may have seen them.
		this.historyStartNumber = readVersion.number();
		this.version = StoreVersion.latest(this.version, readVersion);
		prune();
	}

	/**
	 * Applies changes. Those up to the replica's version are left out, as they are part
	 * of it already: another host may have read this table earlier than this host did,
	 * and its rows must not bring back what has been removed since.
	 * @param changed the changed rows, oldest first
	 * @param readVersion the version of the store up to which the changes are complete,
	 * in the era of the replica
	 * @return the rows that were newer, in the same order
	 */
	public List<StoredRow> apply(Collection<StoredRow> changed, StoreVersion readVersion) {
		if (!readVersion.isSameEra(this.version)) {
			throw new IllegalArgumentException(
					"changes of version " + readVersion + " do not apply to a replica of version " + this.version);
		}
		List<StoredRow> newer = changed.stream().filter((row) -> row.version() > this.version.number()).toList();
		newer.forEach(this::put);
		this.version = StoreVersion.latest(this.version, readVersion);
		prune();
		return newer;
	}

	/**
	 * Marks the replica as complete up to a later version, up to which its rows have not
	 * changed.
	 * @param confirmedVersion the later version of the store
	 */
	public void confirm(StoreVersion confirmedVersion) {
		this.version = StoreVersion.latest(this.version, confirmedVersion);
	}

	private void put(StoredRow row) {
		StoredRow previous = this.rows.put(row.key(), row);
		if (previous != null && !previous.removed()) {
			this.digest -= hash(previous);
		}
		if (!row.removed()) {
			this.digest += hash(row);
		}
	}

	// FNV-1a over the key and the version, and a final mix, since the hashes are added.
	private static long hash(StoredRow row) {
		long hash = 0xcbf29ce484222325L;
		for (int i = 0; i < row.key().length(); i++) {
			hash = (hash ^ row.key().charAt(i)) * 0x100000001b3L;
		}
		hash = (hash ^ row.version()) * 0x9e3779b97f4a7c15L;
		return hash ^ (hash >>> 32);
	}

	private void prune() {
		if (this.rows.values().stream().filter(StoredRow::removed).count() > MAX_REMOVED) {
			this.rows.values().removeIf(StoredRow::removed);
			this.historyStartNumber = this.version.number();
		}
	}

	/**
	 * Returns the changes after a version, for another host.
	 * @param after the version up to which the other host knows the changes
	 * @return the rows, or {@link StoreResult.HistoryLost} if some of them are not kept
	 */
	public StoreResult changes(StoreVersion after) {
		if (!after.isSameEra(this.version) || after.number() < this.historyStartNumber) {
			return new StoreResult.HistoryLost();
		}
		return rows((row) -> row.version() > after.number());
	}

	/**
	 * Returns the whole table, for another host that does not have it.
	 * @return all rows without the removed ones
	 */
	public StoreResult.Rows allRows() {
		return rows((row) -> !row.removed());
	}

	private StoreResult.Rows rows(Predicate<StoredRow> wanted) {
		List<StoredRow> selected = this.rows.values()
			.stream()
			.filter(wanted)
			.sorted(Comparator.comparingLong(StoredRow::version))
			.toList();
		return new StoreResult.Rows(selected, this.version, false);
	}

}
