package org.plantainspur.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.plantainspur.core.desired.DesiredState;
import org.plantainspur.core.desired.DesiredStateView;
import org.plantainspur.core.log.DecisionLog;
import org.plantainspur.core.store.AnswerSchedule;
import org.plantainspur.core.store.ChangeDelayBudget;
import org.plantainspur.core.store.PooledStore;
import org.plantainspur.core.store.RepeatingStore;
import org.plantainspur.core.store.RetrySchedule;
import org.plantainspur.core.store.Scheduler;
import org.plantainspur.core.store.Store;
import org.plantainspur.core.store.StoreAge;
import org.plantainspur.core.store.StoreResult;
import org.plantainspur.core.store.StoreVersion;
import org.plantainspur.core.store.StoredRow;
import org.plantainspur.core.store.TableFollower;
import org.plantainspur.core.store.TableReader;
import org.plantainspur.core.store.TableStates;
import org.plantainspur.core.target.RetiredTargets;
import org.plantainspur.core.target.TargetListing;
import org.plantainspur.core.target.TargetRegistry;
import org.plantainspur.core.time.Clock;
import org.plantainspur.gateway.http.EndpointServer;
import org.plantainspur.gateway.http.StartupLatch;
import org.plantainspur.gateway.log.GatewayMetrics;
import org.plantainspur.gateway.peer.RowsCodec;

/**
 * Keeps the desired state and the targets in step with their tables in the store, which
 * are read from the store itself or from another host. Used by the control thread.
 */
final class StoreSynchronizer {

	/**
	 * A target whose entry disappears within this time after a failed read of the store
	 * stays in use for this time. Entries that expired during an outage of the store are
	 * written again within two seconds of its end.
	 */
	private static final long EXPIRED_ENTRY_GRACE_MS = 2_000;

	/**
	 * How long a desired state with a lower version than the one in force is held back in
	 * a new era of the store. Operators write again what a restored copy lacks.
	 */
	private static final long RESTORED_STATE_HOLD_MS = 1_000;

	private final RowsCodec rowsCodec = new RowsCodec();

	private final PlatformAdapter platform;

	private final Scheduler scheduler;

	private final DesiredStateView desiredState;

	private final TargetRegistry targets;

	private final StartupLatch startupLatch;

	private final DecisionLog log;

	private final GatewayMetrics metrics;

	private final RetiredTargets retiredTargets;

	private final Map<String, ListedTarget> listed = new HashMap<>();

	private final Map<String, TargetListing> expired = new HashMap<>();

	private final TableFollower desiredStateFollower;

	private final TableFollower targetFollower;

	private final ChangeDelayBudget budget;

	private final RetrySchedule retries;

	/** Runs when the store has answered or rows have changed. */
	private Runnable readListener = () -> {
	};

	StoreSynchronizer(PlatformAdapter platform, PooledStore store, Clock clock, Scheduler scheduler,
			ChangeDelayBudget budget, DesiredStateView desiredState, TargetRegistry targets, StartupLatch startupLatch,
			DecisionLog log, GatewayMetrics metrics) {
		this.platform = platform;
		this.scheduler = scheduler;
		this.desiredState = desiredState;
		this.targets = targets;
		this.startupLatch = startupLatch;
		this.log = log;
		this.metrics = metrics;
		this.retiredTargets = new RetiredTargets(clock);
		this.budget = budget;
		this.retries = new RetrySchedule(clock, scheduler, budget);
		Store repeatingStore = new RepeatingStore(store, clock, scheduler, budget, this.retries,
				() -> metrics.count("store_reads_repeated_total", "late"));
		TableFollower.Timing timing = new TableFollower.Timing(budget, this.retries, new AnswerSchedule(clock, budget));
		this.desiredStateFollower = new TableFollower(platform.desiredStateTable(), repeatingStore, clock, scheduler,
				timing, new DesiredStateListener());
		this.targetFollower = new TableFollower(platform.targetTable(), repeatingStore, clock, scheduler, timing,
				new TargetListener());
	}

	// Sets what runs on the control thread when the store has answered or rows have
	// changed.
	void onRead(Runnable listener) {
		this.readListener = listener;
	}

	// Sets the position of this host in its failure domain, and the number of its hosts.
	void assignRetries(int rank, int hosts) {
		this.retries.assign(rank, hosts);
	}

	// Starts or stops reading the store.
	void follow(boolean follow) {
		this.scheduler.after(0, () -> {
			this.desiredStateFollower.follow(follow);
			this.targetFollower.follow(follow);
		});
	}

	// Fetches the rows that another host has read, of the tables of which it has newer
	// ones.
	void fetch(TableReader source, TableStates sourceStates, String host, long ageMs) {
		this.desiredStateFollower.fetchFrom(source, sourceStates.desiredState(), host, ageMs);
		this.targetFollower.fetchFrom(source, sourceStates.targets(), host, ageMs);
	}

	// Records the states of another host's tables, and how long ago it read the store.
	void compareWith(TableStates states, String host, long ageMs) {
		this.desiredStateFollower.compareWith(states.desiredState(), host, ageMs);
		this.targetFollower.compareWith(states.targets(), host, ageMs);
	}

	// Returns whether both tables have been read whole.
	boolean complete() {
		return this.desiredStateFollower.complete() && this.targetFollower.complete();
	}

	// Returns the states of the tables as they were last read.
	TableStates tableStates() {
		return new TableStates(this.desiredStateFollower.replica().state(), this.targetFollower.replica().state());
	}

	// Returns the latest era of the store that this host has met.
	long storeEra() {
		return Math.max(this.desiredStateFollower.replica().version().era(),
				this.targetFollower.replica().version().era());
	}

	// Returns the states of the tables that other hosts can fetch.
	TableStates servedTableStates() {
		return (this.desiredStateFollower.loaded() && this.targetFollower.loaded()) ? tableStates() : TableStates.NONE;
	}

	// Returns the time since this host itself has read the store.
	long storeAgeMs() {
		return StoreAge.millis(this.desiredStateFollower, this.targetFollower, this.budget);
	}

	// Returns the time since the rows in use were known to be complete, read by this host
	// or by another one, for the table that was read longer ago.
	long stateAgeMs() {
		return Math.max(this.desiredStateFollower.ageMs(), this.targetFollower.ageMs());
	}

	// Returns the rows that another host asks for: all of a table, or those changed after
	// a version. The status is 503 if this host does not have the whole table, and 410 if
	// its history does not reach back to that version.
	EndpointServer.Response answerPeer(EndpointServer.Query query) {
		String table = query.values().getOrDefault("table", "");
		String after = query.values().getOrDefault("after", "");
		String era = query.values().getOrDefault("era", "0");
		TableFollower follower = table.equals(this.platform.targetTable()) ? this.targetFollower
				: this.desiredStateFollower;
		if (!after.matches("\\d{1,18}") || !era.matches("\\d{1,18}") || !follower.loaded()) {
			return new EndpointServer.Response(503, RowsCodec.MEDIA_TYPE, new byte[0]);
		}
		StoreVersion afterVersion = new StoreVersion(Long.parseLong(era), Long.parseLong(after));
		StoreResult result = (afterVersion.number() == 0) ? follower.replica().allRows()
				: follower.replica().changes(afterVersion);
		return (result instanceof StoreResult.Rows rows)
				? new EndpointServer.Response(200, RowsCodec.MEDIA_TYPE, this.rowsCodec.encode(rows))
				: new EndpointServer.Response(410, RowsCodec.MEDIA_TYPE, new byte[0]);
	}

	private abstract class TableListener implements TableFollower.Listener {

		private boolean available = true;

		abstract String tableName();

		@Override
		public void unavailable(StoreResult result) {
			if (this.available) {
				this.available = false;
				StoreSynchronizer.this.log.event("store-lost", "table", tableName(), "reason", result);
			}
		}

		@Override
		public void read() {
			StoreSynchronizer.this.readListener.run();
		}

		@Override
		public void outdated(StoreVersion readVersion, StoreVersion ownVersion) {
			StoreSynchronizer.this.metrics.count("whole_reads_outdated_total", tableName());
			StoreSynchronizer.this.log.event("whole-read-outdated", "table", tableName(), "version", readVersion,
					"ownVersion", ownVersion);
		}

		// Called when the rows that were read are in force.
		void openLatchIfLoaded() {
			if (complete() && StoreSynchronizer.this.desiredState.current().isLoaded()) {
				StoreSynchronizer.this.startupLatch.open();
			}
		}

		void recordAvailable() {
			if (!this.available) {
				this.available = true;
				StoreSynchronizer.this.log.event("store-regained", "table", tableName());
			}
		}

	}

	private final class DesiredStateListener extends TableListener {

		/** The version at which the state in force was written. */
		private StoreVersion inForce = StoreVersion.NONE;

		/** The version at which the state that was read last was written. */
		private StoreVersion lastRead = StoreVersion.NONE;

		@Override
		String tableName() {
			return "desired-state";
		}

		@Override
		public void replaced(List<StoredRow> rows, StoreVersion version, long sinceLossMs) {
			changed(rows, version, sinceLossMs);
		}

		@Override
		public void changed(List<StoredRow> rows, StoreVersion version, long sinceLossMs) {
			recordAvailable();
			for (StoredRow row : rows) {
				DesiredState state = row.removed() ? null : StoreSynchronizer.this.platform.desiredState(row);
				if (state != null) {
					offer(state, new StoreVersion(version.era(), row.version()));
				}
			}
			openLatchIfLoaded();
		}

		private void offer(DesiredState state, StoreVersion version) {
			this.lastRead = version;
			if (StoreSynchronizer.this.desiredState.offer(state)) {
				putInForce(state, version);
			}
			else if (state.version() == StoreSynchronizer.this.desiredState.current().version()) {
				this.inForce = version;
			}
			else if (version.era() > this.inForce.era()) {
				StoreSynchronizer.this.scheduler.after(RESTORED_STATE_HOLD_MS, () -> {
					if (version.equals(this.lastRead)) {
						StoreSynchronizer.this.desiredState.replace(state);
						putInForce(state, version);
					}
				});
			}
		}

		private void putInForce(DesiredState state, StoreVersion version) {
			this.inForce = version;
			TableFollower follower = StoreSynchronizer.this.desiredStateFollower;
			StoreSynchronizer.this.log.event("desired-state", "version", state.version(), "storeVersion",
					version.number(), "storeEra", version.era(), "readBy", follower.readBy(), "ageMs",
					follower.ageMs());
		}

	}

	private final class TargetListener extends TableListener {

		private long era;

		/** Log lines of changes that are not in force yet. */
		private final List<Runnable> changes = new ArrayList<>();

		@Override
		String tableName() {
			return "targets";
		}

		@Override
		public void replaced(List<StoredRow> rows, StoreVersion version, long sinceLossMs) {
			recordAvailable();
			Map<String, ListedTarget> previous = new HashMap<>(StoreSynchronizer.this.listed);
			StoreSynchronizer.this.listed.clear();
			rows.forEach((row) -> putTarget(row, version));
			previous.keySet().removeAll(StoreSynchronizer.this.listed.keySet());
			previous.forEach((key, target) -> removeTarget(key, target, sinceLossMs));
			if (version.era() != this.era) {
				this.era = version.era();
				StoreSynchronizer.this.log.event("store-era", "era", version.era(), "version", version.number());
				StoreSynchronizer.this.scheduler.after(RetiredTargets.RESTORED_ENTRY_HOLD_MS, this::publish);
			}
			publish();
		}

		@Override
		public void changed(List<StoredRow> rows, StoreVersion version, long sinceLossMs) {
			recordAvailable();
			for (StoredRow row : rows) {
				if (row.removed()) {
					ListedTarget target = StoreSynchronizer.this.listed.remove(row.key());
					if (target != null) {
						removeTarget(row.key(), target, sinceLossMs);
					}
				}
				else {
					putTarget(row, version);
				}
			}
			publish();
		}

		private void putTarget(StoredRow row, StoreVersion version) {
			TargetListing entry = StoreSynchronizer.this.platform.target(row);
			StoreSynchronizer.this.expired.remove(row.key());
			if (entry == null) {
				StoreSynchronizer.this.listed.remove(row.key());
				StoreSynchronizer.this.metrics.count("rows_unreadable_total", tableName());
				return;
			}
			StoreVersion rowVersion = new StoreVersion(version.era(), row.version());
			if (entry.leaving()) {
				StoreSynchronizer.this.retiredTargets.retire(entry, rowVersion);
			}
			ListedTarget previous = StoreSynchronizer.this.listed.put(row.key(), new ListedTarget(entry, rowVersion));
			if (previous == null || previous.entry().leaving() != entry.leaving()) {
				this.changes.add(() -> StoreSynchronizer.this.log.event("target", "id", entry.id(), "service",
						entry.service(), "failureDomain", entry.failureDomain(), "leaving", entry.leaving(),
						"storeVersion", row.version()));
			}
		}

		private void removeTarget(String key, ListedTarget target, long sinceLossMs) {
			TargetListing entry = target.entry();
			StoreSynchronizer.this.retiredTargets.retire(entry, target.version());
			boolean mayReturn = sinceLossMs < EXPIRED_ENTRY_GRACE_MS && !entry.leaving();
			this.changes.add(() -> StoreSynchronizer.this.log.event("target-gone", "id", entry.id(), "service",
					entry.service(), "mayReturn", mayReturn));
			if (mayReturn) {
				StoreSynchronizer.this.expired.put(key, entry);
				StoreSynchronizer.this.scheduler.after(EXPIRED_ENTRY_GRACE_MS, () -> {
					if (StoreSynchronizer.this.expired.remove(key) != null) {
						publish();
					}
				});
			}
		}

		private void publish() {
			Map<String, TargetListing> published = new HashMap<>(StoreSynchronizer.this.expired);
			StoreSynchronizer.this.listed.forEach((key, target) -> {
				if (StoreSynchronizer.this.retiredTargets.contains(target.entry(), target.version())) {
					StoreSynchronizer.this.metrics.count("restored_targets_unused_total", target.entry().service());
				}
				else {
					published.put(key, target.entry());
				}
			});
			StoreSynchronizer.this.targets.replace(published.values());
			this.changes.forEach(Runnable::run);
			this.changes.clear();
			openLatchIfLoaded();
		}

	}

	/**
	 * An entry of the table of targets.
	 *
	 * @param entry the target
	 * @param version the version at which the entry was written
	 */
	private record ListedTarget(TargetListing entry, StoreVersion version) {
	}

}
