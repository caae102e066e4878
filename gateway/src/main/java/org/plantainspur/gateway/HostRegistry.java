package org.plantainspur.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.fleet.FleetView;
import org.plantainspur.core.fleet.HostHeartbeat;
import org.plantainspur.core.reach.RelayKey;
import org.plantainspur.core.store.Scheduler;
import org.plantainspur.core.store.Store;
import org.plantainspur.core.store.StoreResult;
import org.plantainspur.core.store.StoredRow;
import org.plantainspur.gateway.peer.HeartbeatCodec;

/**
 * Registry of the other hosts and their addresses. Each host writes its own entry to its
 * failure domain's table in the store and reads the others' there; after that, heartbeats
 * keep the registry up to date. The tables of the other failure domains are read only by
 * the representative of a failure domain, so that what a starting host reads does not
 * grow with the fleet.
 */
final class HostRegistry {

	/**
	 * The name of a failure domain's table of hosts is this prefix and the domain's name.
	 */
	private static final String TABLE_PREFIX = "plantainspur-hosts-";

	/**
	 * How often a failure domain's table is read again, to find hosts whose heartbeats
	 * were all lost.
	 */
	private static final long REREAD_INTERVAL_MS = 60_000;

	private static final long RETRY_DELAY_MS = 1_000;

	/**
	 * The time over which the hosts spread their writes when the store has been restored
	 * from a copy, which they all notice at once.
	 */
	private static final long REWRITE_SPREAD_MS = 1_000;

	/**
	 * The time without a heartbeat after which a host of another failure domain no longer
	 * counts as its representative. Longer than two of the regular intervals between
	 * digests, so that one lost digest does not matter.
	 */
	private static final long REPRESENTATIVE_TIMEOUT_MS = 7_000;

	private final Store store;

	private final Scheduler scheduler;

	private final HostHeartbeat ownHeartbeat;

	private final RelayKey ownRelayKey;

	private final Runnable onRead;

	private final HeartbeatCodec codec = new HeartbeatCodec();

	private final Map<String, HostHeartbeat> heartbeatsByHost = new ConcurrentHashMap<>();

	private final Map<String, Long> domainReadMs = new HashMap<>();

	private final Map<String, HostKey> relayKeys = new ConcurrentHashMap<>();

	private boolean registered;

	/** The era of the store in which this host's entry was written last. */
	private long registeredEra;

	private boolean rewritePending;

	private volatile boolean read;

	/**
	 * Creates a registry without hosts.
	 * @param store holds the tables of hosts
	 * @param scheduler repeats reads and writes
	 * @param ownHeartbeat the entry that the other hosts find in the store
	 * @param ownRelayKey the key with which the other hosts have requests relayed here
	 * @param onRead runs each time the hosts of this failure domain have been read
	 */
	HostRegistry(Store store, Scheduler scheduler, HostHeartbeat ownHeartbeat, RelayKey ownRelayKey, Runnable onRead) {
		this.store = store;
		this.scheduler = scheduler;
		this.ownHeartbeat = ownHeartbeat;
		this.ownRelayKey = ownRelayKey;
		this.onRead = onRead;
	}

	// Writes this host's entry unless it has been written, reads the hosts of this
	// failure domain, and schedules the next run.
	void start() {
		if (this.registered) {
			readOwnDomain();
			return;
		}
		// Writing before reading ensures that of two hosts the one that registers later
		// finds the other. A host that cannot write may still find the others and send
		// them heartbeats.
		writeOwnEntry(this::readOwnDomain);
	}

	private void writeOwnEntry(Runnable onWritten) {
		this.store
			.put(table(this.ownHeartbeat.failureDomain()), this.ownHeartbeat.host(),
					this.codec.encodeEntry(this.ownHeartbeat, this.ownRelayKey))
			.thenAccept((result) -> {
				if (result instanceof StoreResult.Rows rows) {
					this.registered = true;
					this.registeredEra = rows.version().era();
				}
				onWritten.run();
			});
	}

	/**
	 * Writes this host's entry again if the store has been restored from a copy since,
	 * which may lack it. Repeats the write until the store accepts it.
	 * @param era the era of the store that this host has met
	 */
	void writeAgainIn(long era) {
		if (!this.registered || this.registeredEra >= era || this.rewritePending) {
			return;
		}
		this.rewritePending = true;
		long delayMs = Math.floorMod(this.ownHeartbeat.host().hashCode(), REWRITE_SPREAD_MS);
		this.scheduler.after(delayMs, () -> writeOwnEntry(() -> this.scheduler
			.after((this.registeredEra < era) ? RETRY_DELAY_MS : 0, () -> this.rewritePending = false)));
	}

	private static String table(String failureDomain) {
		return TABLE_PREFIX + failureDomain;
	}

	private void readOwnDomain() {
		this.store.list(table(this.ownHeartbeat.failureDomain()), "").thenAccept((result) -> {
			boolean successful = result instanceof StoreResult.Rows;
			this.scheduler.after((successful && this.registered) ? REREAD_INTERVAL_MS : RETRY_DELAY_MS, this::start);
			if (result instanceof StoreResult.Rows rows) {
				rows.rows().forEach(this::addIfUnknown);
				this.read = true;
				this.onRead.run();
			}
		});
	}

	/**
	 * Reads the hosts of each other failure domain from which no heartbeat has arrived
	 * recently, at most once per interval unless a read fails. Called by the
	 * representative of this failure domain.
	 * @param failureDomains the names of all failure domains
	 * @param silenceMs returns the time since the last heartbeat of a host, in
	 * milliseconds
	 * @param now the reading of the host's clock, in milliseconds
	 */
	void readOtherDomains(Collection<String> failureDomains, ToLongFunction<HostHeartbeat> silenceMs, long now) {
		for (String failureDomain : failureDomains) {
			boolean live = this.heartbeatsByHost.values()
				.stream()
				.anyMatch((heartbeat) -> heartbeat.failureDomain().equals(failureDomain)
						&& silenceMs.applyAsLong(heartbeat) < REPRESENTATIVE_TIMEOUT_MS);
			Long previous = this.domainReadMs.get(failureDomain);
			if (live || failureDomain.equals(this.ownHeartbeat.failureDomain())
					|| (previous != null && now - previous < REREAD_INTERVAL_MS)) {
				continue;
			}
			this.domainReadMs.put(failureDomain, now);
			this.store.list(table(failureDomain), "").thenAccept((result) -> {
				if (result instanceof StoreResult.Rows rows) {
					rows.rows().forEach(this::addIfUnknown);
				}
				else {
					// Without an entry in the map the next call reads the table again.
					this.scheduler.after(RETRY_DELAY_MS, () -> this.domainReadMs.remove(failureDomain));
				}
			});
		}
	}

	private void addIfUnknown(StoredRow row) {
		HostHeartbeat heartbeat = this.codec.decode(row.value());
		if (heartbeat == null || heartbeat.host().equals(this.ownHeartbeat.host())) {
			return;
		}
		this.heartbeatsByHost.merge(heartbeat.host(), heartbeat,
				(known, read) -> (known.startMs() < read.startMs()) ? read : known);
		RelayKey relayKey = this.codec.decodeRelayKey(row.value());
		if (relayKey != null) {
			this.relayKeys.put(heartbeat.host(), new HostKey(heartbeat.startMs(), relayKey));
		}
	}

	/**
	 * Returns the key with which requests are relayed by a host.
	 * @param heartbeat a heartbeat of the host's current process
	 * @return the key, or {@code null} if the entry of that process has not been read
	 */
	@Nullable RelayKey relayKey(HostHeartbeat heartbeat) {
		HostKey known = this.relayKeys.get(heartbeat.host());
		return (known != null && known.startMs() == heartbeat.startMs()) ? known.relayKey() : null;
	}

	/**
	 * Reads the entries of a failure domain's hosts for their relay keys.
	 * @param failureDomain the name of the failure domain
	 * @param onKeysRead runs when they have been read
	 */
	void readRelayKeys(String failureDomain, Runnable onKeysRead) {
		this.store.list(table(failureDomain), "").thenAccept((result) -> {
			if (result instanceof StoreResult.Rows rows) {
				rows.rows().forEach(this::addIfUnknown);
				onKeysRead.run();
			}
		});
	}

	/**
	 * Returns the last known heartbeats of all other hosts.
	 * @return heartbeats of hosts that need not be alive
	 */
	Collection<HostHeartbeat> others() {
		return this.heartbeatsByHost.values();
	}

	/**
	 * Records a heartbeat of another host.
	 * @param heartbeat the heartbeat
	 * @return whether its process was unknown: a new host, or a restarted one
	 */
	boolean receive(HostHeartbeat heartbeat) {
		HostHeartbeat previous = this.heartbeatsByHost.put(heartbeat.host(), heartbeat);
		return previous == null || previous.startMs() != heartbeat.startMs();
	}

	// Returns whether the hosts of this failure domain have been read from the store.
	boolean isRead() {
		return this.read;
	}

	// Returns whether this host's name comes before those of all other known hosts of
	// this failure domain.
	boolean isFirstInDomain() {
		return this.heartbeatsByHost.values()
			.stream()
			.noneMatch(
					(heartbeat) -> isInDomain(heartbeat) && heartbeat.host().compareTo(this.ownHeartbeat.host()) < 0);
	}

	// Returns the last known heartbeats of the other hosts of this failure domain.
	List<HostHeartbeat> othersInDomain() {
		return this.heartbeatsByHost.values().stream().filter(this::isInDomain).toList();
	}

	// Returns the peer addresses of the other hosts of this failure domain.
	List<String> peersInDomain() {
		return othersInDomain().stream().map(HostHeartbeat::peerAddress).toList();
	}

	private boolean isInDomain(HostHeartbeat heartbeat) {
		return heartbeat.failureDomain().equals(this.ownHeartbeat.failureDomain());
	}

	/**
	 * Returns the hosts that get the digests of this failure domain: from each other
	 * failure domain the first host by name that sent a heartbeat recently, or the first
	 * {@link FleetView#RECIPIENTS_PER_DOMAIN} if none did.
	 * @param included whether a failure domain, by its name, gets the digests
	 * @param silenceMs returns the time since the last heartbeat of a host, in
	 * milliseconds
	 * @return peer addresses, {@code ip:port}
	 */
	List<String> recipientsInOtherDomains(Predicate<String> included, ToLongFunction<HostHeartbeat> silenceMs) {
		Map<String, List<HostHeartbeat>> byDomain = new HashMap<>();
		this.heartbeatsByHost.values()
			.stream()
			.filter((heartbeat) -> !isInDomain(heartbeat) && included.test(heartbeat.failureDomain()))
			.sorted(Comparator.comparing(HostHeartbeat::host))
			.forEach((heartbeat) -> byDomain.computeIfAbsent(heartbeat.failureDomain(), (name) -> new ArrayList<>())
				.add(heartbeat));
		return byDomain.values()
			.stream()
			.flatMap((hosts) -> recipients(hosts, silenceMs).stream())
			.map(HostHeartbeat::peerAddress)
			.toList();
	}

	private static List<HostHeartbeat> recipients(List<HostHeartbeat> hosts, ToLongFunction<HostHeartbeat> silenceMs) {
		List<HostHeartbeat> live = hosts.stream()
			.filter((heartbeat) -> silenceMs.applyAsLong(heartbeat) < REPRESENTATIVE_TIMEOUT_MS)
			.toList();
		return live.isEmpty() ? hosts.stream().limit(FleetView.RECIPIENTS_PER_DOMAIN).toList() : live.subList(0, 1);
	}

	/**
	 * Adds the registered hosts of this failure domain to those whose heartbeats arrived.
	 * If each host named only itself until heartbeats arrive, all of them would carry
	 * traffic after a restart of the whole fleet.
	 * @param live heartbeats of the hosts that are alive, this one included
	 * @return heartbeats in order of the hosts' names, all presumed to accept callers
	 */
	List<HostHeartbeat> withRegistered(List<HostHeartbeat> live) {
		Map<String, HostHeartbeat> hosts = new TreeMap<>();
		this.heartbeatsByHost.values()
			.stream()
			.filter(this::isInDomain)
			.forEach((heartbeat) -> hosts.put(heartbeat.host(), heartbeat.presumedAccepting()));
		live.forEach((heartbeat) -> hosts.put(heartbeat.host(), heartbeat.presumedAccepting()));
		return List.copyOf(hosts.values());
	}

	/**
	 * The relay key of one process of a host.
	 *
	 * @param startMs when the process started, in Unix milliseconds
	 * @param relayKey its key
	 */
	private record HostKey(long startMs, RelayKey relayKey) {
	}

}
