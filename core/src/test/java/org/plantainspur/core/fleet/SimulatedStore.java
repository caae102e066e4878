package org.plantainspur.core.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.plantainspur.core.store.Scheduler;
import org.plantainspur.core.store.StoreResult;
import org.plantainspur.core.store.StoreVersion;
import org.plantainspur.core.store.StoredRow;
import org.plantainspur.core.store.TableReader;
import org.plantainspur.core.time.Clock;

/**
 * A table store in memory whose feed waits for changes in simulated time.
 */
final class SimulatedStore implements TableReader {

	private final Clock clock;

	private final Scheduler scheduler;

	private final Map<String, Map<String, StoredRow>> tables = new HashMap<>();

	private final List<Waiter> waiters = new ArrayList<>();

	private final List<Long> callTimes = new ArrayList<>();

	private long version = 1;

	private long historyStart;

	/** How far whole reads are behind, in milliseconds. */
	private long staleMs;

	/** The time at which each version was given out. */
	private final TreeMap<Long, Long> versionTimes = new TreeMap<>();

	SimulatedStore(Clock clock, Scheduler scheduler) {
		this.clock = clock;
		this.scheduler = scheduler;
	}

	/**
	 * Writes a row.
	 * @return the version at which it was written
	 */
	long put(String table, String key) {
		this.version++;
		this.versionTimes.put(this.version, this.clock.millis());
		this.tables.computeIfAbsent(table, (name) -> new HashMap<>())
			.put(key, new StoredRow(key, key.getBytes(StandardCharsets.UTF_8), this.version, false));
		for (Waiter waiter : List.copyOf(this.waiters)) {
			if (waiter.table().equals(table)) {
				answer(waiter);
			}
		}
		return this.version;
	}

	long now() {
		return this.clock.millis();
	}

	void dropHistory() {
		this.historyStart = this.version;
		List.copyOf(this.waiters).forEach(this::answer);
	}

	void setWholeReadsBehind(long milliseconds) {
		this.staleMs = milliseconds;
	}

	void countRefusal() {
		this.callTimes.add(this.clock.millis());
	}

	long callsSince(long fromMs) {
		return this.callTimes.stream().filter((timeMs) -> timeMs >= fromMs).count();
	}

	@Override
	public CompletionStage<StoreResult> list(String table, String from) {
		this.callTimes.add(this.clock.millis());
		long asOfMs = this.clock.millis() - this.staleMs;
		long asOfVersion = this.versionTimes.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() <= asOfMs)
			.mapToLong(Map.Entry::getKey)
			.max()
			.orElse(1);
		List<StoredRow> rows = rowsAfter(table, 0).rows()
			.stream()
			.filter((row) -> row.version() <= asOfVersion)
			.toList();
		return CompletableFuture.completedFuture(new StoreResult.Rows(rows, new StoreVersion(1, asOfVersion), false));
	}

	@Override
	public CompletionStage<StoreResult> changes(String table, StoreVersion after, long waitMs) {
		this.callTimes.add(this.clock.millis());
		Waiter waiter = new Waiter(table, after.number(), new CompletableFuture<>());
		if (waitMs == 0 || after.number() < this.historyStart || !rowsAfter(table, after.number()).rows().isEmpty()) {
			answer(waiter);
		}
		else {
			this.waiters.add(waiter);
			this.scheduler.after(waitMs, () -> answer(waiter));
		}
		return waiter.result();
	}

	private void answer(Waiter waiter) {
		this.waiters.remove(waiter);
		waiter.result()
			.complete((waiter.after() < this.historyStart) ? new StoreResult.HistoryLost()
					: rowsAfter(waiter.table(), waiter.after()));
	}

	private StoreResult.Rows rowsAfter(String table, long after) {
		List<StoredRow> rows = this.tables.getOrDefault(table, Map.of())
			.values()
			.stream()
			.filter((row) -> row.version() > after)
			.sorted(Comparator.comparingLong(StoredRow::version))
			.toList();
		return new StoreResult.Rows(rows, new StoreVersion(1, this.version), false);
	}

	private record Waiter(String table, long after, CompletableFuture<StoreResult> result) {
	}

}
