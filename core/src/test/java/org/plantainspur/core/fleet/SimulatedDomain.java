package org.plantainspur.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import org.plantainspur.core.store.AnswerSchedule;
import org.plantainspur.core.store.ChangeDelayBudget;
import org.plantainspur.core.store.ManualScheduler;
import org.plantainspur.core.store.RepeatingStore;
import org.plantainspur.core.store.RetrySchedule;
import org.plantainspur.core.store.StoreAge;
import org.plantainspur.core.store.StoreResult;
import org.plantainspur.core.store.StoreVersion;
import org.plantainspur.core.store.StoredRow;
import org.plantainspur.core.store.TableFollower;
import org.plantainspur.core.store.TableReader;
import org.plantainspur.core.store.TableState;
import org.plantainspur.core.store.TableStates;
import org.plantainspur.core.time.ManualClock;

/**
 * The hosts of a failure domain that follow a {@link SimulatedStore} and rely on each
 * other, in simulated time.
 */
final class SimulatedDomain {

	static final ChangeDelayBudget BUDGET = ChangeDelayBudget.builder().build();

	private static final String[] TABLES = { "op", "servers" };

	private static final long PEER_DELAY_MS = 1;

	private final ManualClock clock = new ManualClock();

	private final ManualScheduler scheduler = new ManualScheduler(this.clock);

	private final SimulatedStore store = new SimulatedStore(this.clock, this.scheduler);

	private final List<Host> hosts = new ArrayList<>();

	private final Map<Long, Long> changeTimes = new HashMap<>();

	SimulatedDomain(int hostCount) {
		for (String table : TABLES) {
			this.store.put(table, "first");
		}
		for (int i = 0; i < hostCount; i++) {
			this.hosts.add(new Host("h%03d".formatted(i)));
		}
		this.hosts.forEach(Host::start);
		runFor(10_000);
	}

	SimulatedStore store() {
		return this.store;
	}

	List<SimulatedStorePath> paths() {
		return this.hosts.stream().map((host) -> host.path).toList();
	}

	long nowMs() {
		return this.clock.millis();
	}

	/** Writes a change of a table that the hosts follow. */
	void change(String table) {
		long version = this.store.put(table, "row-" + this.changeTimes.size());
		this.changeTimes.put(version, nowMs());
	}

	void runFor(long milliseconds) {
		this.scheduler.runFor(milliseconds);
	}

	/**
	 * Returns the longest time from a change to its use on a host.
	 * @param readableFromMs the time from which the store can be read; earlier changes
	 * count from it
	 */
	long longestDelayMs(long readableFromMs) {
		long longestMs = 0;
		for (Map.Entry<Long, Long> change : this.changeTimes.entrySet()) {
			for (Host host : this.hosts) {
				long usedMs = host.useTimes.getOrDefault(change.getKey(), Long.MAX_VALUE / 2);
				longestMs = Math.max(longestMs, usedMs - Math.max(change.getValue(), readableFromMs));
			}
		}
		return longestMs;
	}

	/** Returns whether some host went back to an older version. */
	boolean wentBack() {
		return this.hosts.stream().anyMatch((host) -> host.wentBack);
	}

	private final class Host {

		private final String name;

		private final SimulatedStorePath path = new SimulatedStorePath(SimulatedDomain.this.store,
				SimulatedDomain.this.scheduler);

		private final List<TableFollower> followers = new ArrayList<>();

		private final StoreReaderElection election;

		private final RetrySchedule retries;

		private final HeartbeatSchedule heartbeats = new HeartbeatSchedule();

		private final LiveHosts liveHosts = new LiveHosts(SimulatedDomain.this.clock);

		private final FleetView view = new FleetView(this.liveHosts, SimulatedDomain.this.clock);

		private final Map<Long, Long> useTimes = new HashMap<>();

		private final Set<String> usedKeys = new HashSet<>();

		private boolean reading;

		private boolean wentBack;

		private HostHeartbeat heartbeat;

		private Host(String name) {
			this.name = name;
			this.election = new StoreReaderElection(name, BUDGET);
			this.retries = new RetrySchedule(SimulatedDomain.this.clock, SimulatedDomain.this.scheduler, BUDGET);
			TableFollower.Timing timing = new TableFollower.Timing(BUDGET, this.retries,
					new AnswerSchedule(SimulatedDomain.this.clock, BUDGET));
			RepeatingStore repeatingStore = new RepeatingStore(this.path, SimulatedDomain.this.clock,
					SimulatedDomain.this.scheduler, BUDGET, this.retries, () -> {
					});
			for (String table : TABLES) {
				this.followers.add(new TableFollower(table, repeatingStore, SimulatedDomain.this.clock,
						SimulatedDomain.this.scheduler, timing, new Listener()));
			}
			this.heartbeat = createHeartbeat();
		}

		private void start() {
			tick();
		}

		private void tick() {
			elect();
			sendHeartbeatIfDue();
			SimulatedDomain.this.scheduler.after(ChangeDelayBudget.CHECK_INTERVAL_MS, this::tick);
		}

		private boolean complete() {
			return this.followers.stream().allMatch(TableFollower::complete);
		}

		private TableStates states() {
			return new TableStates(this.followers.get(0).replica().state(), this.followers.get(1).replica().state());
		}

		private long storeAgeMs() {
			return StoreAge.millis(this.followers.get(0), this.followers.get(1), BUDGET);
		}

		private HostHeartbeat createHeartbeat() {
			boolean loaded = this.followers.stream().allMatch(TableFollower::loaded);
			return new HostHeartbeat(this.name, 1, "a", this.name, this.name, 1, true, 1,
					loaded ? states() : TableStates.NONE, Math.min(storeAgeMs(), 1_000_000), Map.of(), List.of(),
					List.of(), List.of(), List.of(), List.of(), List.of());
		}

		private void elect() {
			List<HostHeartbeat> domainHosts = this.view.domainHosts(this.heartbeat);
			List<StoreReaderElection.PeerReadState> peers = this.view.peerReadStates(domainHosts, this.heartbeat);
			peers.forEach((peer) -> {
				compareWith(this.followers.get(0), peer.heartbeat().tables().desiredState(), peer);
				compareWith(this.followers.get(1), peer.heartbeat().tables().targets(), peer);
			});
			int rank = domainHosts.indexOf(this.heartbeat);
			this.retries.assign(rank, domainHosts.size());
			StoreReaderElection.Decision decision = this.election.decide(rank,
					new StoreReaderElection.OwnReadState(complete(), states(), storeAgeMs()), peers, nowMs());
			if (decision.readStore() != this.reading) {
				this.reading = decision.readStore();
				this.followers.forEach((follower) -> follower.follow(this.reading));
			}
			StoreReaderElection.PeerReadState source = decision.fetchFrom();
			if (source != null) {
				Host peer = SimulatedDomain.this.hosts.stream()
					.filter((host) -> host.name.equals(source.heartbeat().host()))
					.findFirst()
					.orElseThrow();
				TableStates tables = source.heartbeat().tables();
				this.followers.get(0).fetchFrom(new PeerReader(peer), tables.desiredState(), peer.name, source.ageMs());
				this.followers.get(1).fetchFrom(new PeerReader(peer), tables.targets(), peer.name, source.ageMs());
			}
		}

		private void compareWith(TableFollower follower, TableState state, StoreReaderElection.PeerReadState peer) {
			follower.compareWith(state, peer.heartbeat().host(), peer.ageMs());
		}

		private void sendHeartbeatIfDue() {
			if (this.heartbeats.due(states().digest(), storeAgeMs(), nowMs())) {
				HostHeartbeat sent = createHeartbeat();
				this.heartbeat = sent;
				SimulatedDomain.this.hosts.stream()
					.filter((host) -> host != this)
					.forEach((host) -> SimulatedDomain.this.scheduler.after(PEER_DELAY_MS, () -> host.receive(sent)));
			}
		}

		private void receive(HostHeartbeat received) {
			this.view.receive(received);
			boolean unanswered = this.reading && storeAgeMs() > BUDGET.takeoverAgeMs();
			if (complete() && (unanswered || states().isBehind(received.tables()))) {
				elect();
			}
		}

		private void use(List<StoredRow> rows) {
			for (StoredRow row : rows) {
				this.useTimes.putIfAbsent(row.version(), nowMs());
				this.usedKeys.add(row.key());
			}
		}

		private final class Listener implements TableFollower.Listener {

			@Override
			public void replaced(List<StoredRow> rows, StoreVersion version, long sinceLossMs) {
				Set<String> keys = new HashSet<>();
				Host.this.followers
					.forEach((follower) -> follower.replica().allRows().rows().forEach((row) -> keys.add(row.key())));
				Host.this.wentBack |= !keys.containsAll(Host.this.usedKeys);
				use(rows);
			}

			@Override
			public void changed(List<StoredRow> rows, StoreVersion version, long sinceLossMs) {
				use(rows);
			}

			@Override
			public void read() {
				sendHeartbeatIfDue();
			}

			@Override
			public void outdated(StoreVersion readVersion, StoreVersion ownVersion) {
				// The read is repeated.
			}

			@Override
			public void unavailable(StoreResult result) {
				// The read is repeated.
			}

		}

		/** Reads the tables of another host. */
		private static final class PeerReader implements TableReader {

			private final Host peer;

			private PeerReader(Host peer) {
				this.peer = peer;
			}

			@Override
			public CompletionStage<StoreResult> list(String table, String from) {
				return answer(table, (follower) -> follower.replica().allRows());
			}

			@Override
			public CompletionStage<StoreResult> changes(String table, StoreVersion after, long waitMs) {
				return answer(table, (follower) -> follower.replica().changes(after));
			}

			private CompletionStage<StoreResult> answer(String table, Function<TableFollower, StoreResult> read) {
				TableFollower follower = this.peer.followers.get(table.equals(TABLES[0]) ? 0 : 1);
				return CompletableFuture.completedFuture(read.apply(follower));
			}

		}

	}

}
