package org.plantainspur.core.store;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * A host's copy of a table, with the rows that are gone, so that other hosts can take the
 * changes from it. Used by one thread.
 */
public final class TableCopy {

	/** Rows that are gone are forgotten all at once when there are this many. */
	private static final int MAX_REMOVED = 4_096;

	private final Map<String, StoredRow> rows = new HashMap<>();

	private long version;

	private long latestChange;

	private long historyFrom = Long.MAX_VALUE;

	/**
	 * Returns the store's version up to which the copy is complete.
	 * @return the version, 0 before the first read
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the version of the newest change in the copy. Unlike {@link #version()} it
	 * does not rise when other tables change.
	 * @return the version, 0 before the first read
	 */
	public long latestChange() {
		return this.latestChange;
	}

	/**
	 * Replaces the copy.
	 * @param all all rows of the table
	 * @param readVersion the store's version at which they were read
	 */
	public void replace(Collection<StoredRow> all, long readVersion) {
		Map<String, StoredRow> before = new HashMap<>(this.rows);
		this.rows.clear();
		all.forEach((row) -> this.rows.put(row.key(), row));
		before.forEach((key, row) -> this.rows.putIfAbsent(key,
				row.removed() ? row : new StoredRow(key, new byte[0], readVersion, true)));
		noteChanges(this.rows.values());
		this.historyFrom = Math.min(this.historyFrom, readVersion);
		this.version = Math.max(this.version, readVersion);
		prune();
	}

	/**
	 * Takes changes.
	 * @param changed the changed rows, oldest first
	 * @param readVersion the store's version up to which they are complete
	 */
	public void apply(Collection<StoredRow> changed, long readVersion) {
		changed.forEach((row) -> this.rows.put(row.key(), row));
		noteChanges(changed);
		this.version = Math.max(this.version, readVersion);
		prune();
	}

	private void noteChanges(Collection<StoredRow> changed) {
		changed.forEach((row) -> this.latestChange = Math.max(this.latestChange, row.version()));
	}

	private void prune() {
		if (this.rows.values().stream().filter(StoredRow::removed).count() > MAX_REMOVED) {
			this.rows.values().removeIf(StoredRow::removed);
			this.historyFrom = this.version;
		}
	}

	/**
	 * Returns the changes that another host lacks.
	 * @param after the version up to which it knows them
	 * @return the rows, or {@link StoreAnswer.HistoryLost} if they are not all kept
	 */
	public StoreAnswer changes(long after) {
		if (after < this.historyFrom) {
			return new StoreAnswer.HistoryLost();
		}
		return rows((row) -> row.version() > after);
	}

	/**
	 * Returns the whole table for another host that has none.
	 * @return the rows; a removed one stands for the newest change if that was a removal
	 */
	public StoreAnswer.Rows whole() {
		return rows((row) -> !row.removed());
	}

	// The newest change always goes along: a host that read the table whole after a
	// removal would otherwise ask for that change again and again.
	private StoreAnswer.Rows rows(Predicate<StoredRow> wanted) {
		List<StoredRow> found = this.rows.values()
			.stream()
			.filter((row) -> row.version() == this.latestChange || wanted.test(row))
			.sorted(Comparator.comparingLong(StoredRow::version))
			.toList();
		return new StoreAnswer.Rows(found, this.version, false);
	}

}
