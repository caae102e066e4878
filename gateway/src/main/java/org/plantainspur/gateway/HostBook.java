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

import org.plantainspur.core.fleet.FleetView;
import org.plantainspur.core.fleet.HostHeartbeat;
import org.plantainspur.core.store.Scheduler;
import org.plantainspur.core.store.Store;
import org.plantainspur.core.store.StoreResult;
import org.plantainspur.core.store.StoredRow;
import org.plantainspur.gateway.peer.BeatCodec;

/**
 * The addresses of the other hosts. Each host writes its own into its failure domain's
 * table of the store and reads the others' there once; after that, beats bring them. The
 * tables of the other failure domains are read only by the host that speaks for its own,
 * so that what a starting host reads does not grow with the fleet.
 */
final class HostBook {

	/** Begins the name of a failure domain's table of hosts. */
	private static final String TABLE_PREFIX = "plantainspur-hosts-";

	/** Finds hosts whose beats were all lost. */
	private static final long FIND_HOSTS_AGAIN_MS = 60_000;

	private static final long RETRY_MS = 1_000;

	/**
	 * Two digests of another failure domain may be lost before its speaker counts as
	 * down.
	 */
	private static final long SPEAKER_SILENCE_MS = 7_000;

	private final Store store;

	private final Scheduler scheduler;

	private final HostHeartbeat own;

	private final Runnable whenRead;

	private final BeatCodec codec = new BeatCodec();

	private final Map<String, HostHeartbeat> known = new ConcurrentHashMap<>();

	private final Map<String, Long> readElsewhereMs = new HashMap<>();

	private boolean registered;

	private volatile boolean read;

	/**
	 * Creates a book without hosts.
	 * @param store the store
	 * @param scheduler runs reads and writes again
	 * @param own the beat that the other hosts find in the store
	 * @param whenRead told when the hosts of this failure domain have been read
	 */
	HostBook(Store store, Scheduler scheduler, HostHeartbeat own, Runnable whenRead) {
		this.store = store;
		this.scheduler = scheduler;
		this.own = own;
		this.whenRead = whenRead;
	}

	void start() {
		if (this.registered) {
			findHosts();
			return;
		}
		// Of two hosts the one that registers later finds the other. A host that cannot
		// write may still find others, which then hear of it.
		this.store.put(table(this.own.failureDomain()), this.own.host(), this.codec.encode(this.own))
			.thenAccept((answer) -> {
				this.registered = answer instanceof StoreResult.Rows;
				findHosts();
			});
	}

	private static String table(String failureDomain) {
		return TABLE_PREFIX + failureDomain;
	}

	private void findHosts() {
		this.store.list(table(this.own.failureDomain()), "").thenAccept((answer) -> {
			boolean found = answer instanceof StoreResult.Rows;
			if (answer instanceof StoreResult.Rows rows) {
				rows.rows().forEach(this::found);
				this.read = true;
				this.whenRead.run();
			}
			this.scheduler.after((found && this.registered) ? FIND_HOSTS_AGAIN_MS : RETRY_MS, this::start);
		});
	}

	/**
	 * Reads the hosts of other failure domains from which nothing was heard. Called by
	 * the host that speaks for its failure domain.
	 * @param domains all failure domains
	 * @param silenceMs the time since a host was last heard, in milliseconds
	 * @param now the reading of the clock
	 */
	void findElsewhere(Collection<String> domains, ToLongFunction<HostHeartbeat> silenceMs, long now) {
		for (String domain : domains) {
			boolean heard = this.known.values()
				.stream()
				.anyMatch((beat) -> beat.failureDomain().equals(domain)
						&& silenceMs.applyAsLong(beat) < SPEAKER_SILENCE_MS);
			Long before = this.readElsewhereMs.get(domain);
			if (heard || domain.equals(this.own.failureDomain())
					|| (before != null && now - before < FIND_HOSTS_AGAIN_MS)) {
				continue;
			}
			this.readElsewhereMs.put(domain, now);
			this.store.list(table(domain), "").thenAccept((answer) -> {
				if (answer instanceof StoreResult.Rows rows) {
					rows.rows().forEach(this::found);
				}
				else {
					// The next beat asks again.
					this.scheduler.after(RETRY_MS, () -> this.readElsewhereMs.remove(domain));
				}
			});
		}
	}

	private void found(StoredRow row) {
		HostHeartbeat beat = this.codec.decode(row.value());
		if (beat != null && !beat.host().equals(this.own.host())) {
			this.known.putIfAbsent(beat.host(), beat);
		}
	}

	/**
	 * Takes a beat.
	 * @param beat the beat
	 * @return whether it is of a process that was not known
	 */
	boolean heard(HostHeartbeat beat) {
		HostHeartbeat before = this.known.put(beat.host(), beat);
		return before == null || before.startMs() != beat.startMs();
	}

	// Whether the hosts of this failure domain have been read from the store.
	boolean isRead() {
		return this.read;
	}

	// Whether this host's name comes before those of all others that it knows here.
	boolean isFirstHere() {
		return this.known.values()
			.stream()
			.noneMatch((beat) -> isHere(beat) && beat.host().compareTo(this.own.host()) < 0);
	}

	// The peer addresses of the hosts of this failure domain.
	List<String> peersHere() {
		return this.known.values().stream().filter(this::isHere).map(HostHeartbeat::peerAddress).toList();
	}

	private boolean isHere(HostHeartbeat beat) {
		return beat.failureDomain().equals(this.own.failureDomain());
	}

	/**
	 * Returns where the sums of this failure domain go: of each other failure domain to
	 * the host that spoke last for it, or to the first few if none was heard.
	 * @param wanted whether they go to a failure domain
	 * @param silenceMs the time since a host was last heard, in milliseconds
	 * @return peer addresses
	 */
	List<String> listenersElsewhere(Predicate<String> wanted, ToLongFunction<HostHeartbeat> silenceMs) {
		Map<String, List<HostHeartbeat>> byDomain = new HashMap<>();
		this.known.values()
			.stream()
			.filter((beat) -> !isHere(beat) && wanted.test(beat.failureDomain()))
			.sorted(Comparator.comparing(HostHeartbeat::host))
			.forEach((beat) -> byDomain.computeIfAbsent(beat.failureDomain(), (name) -> new ArrayList<>()).add(beat));
		return byDomain.values()
			.stream()
			.flatMap((hosts) -> listeners(hosts, silenceMs).stream())
			.map(HostHeartbeat::peerAddress)
			.toList();
	}

	private static List<HostHeartbeat> listeners(List<HostHeartbeat> hosts, ToLongFunction<HostHeartbeat> silenceMs) {
		List<HostHeartbeat> heard = hosts.stream()
			.filter((beat) -> silenceMs.applyAsLong(beat) < SPEAKER_SILENCE_MS)
			.toList();
		return heard.isEmpty() ? hosts.stream().limit(FleetView.RECIPIENTS_PER_DOMAIN).toList() : heard.subList(0, 1);
	}

	/**
	 * Adds the listed hosts of this failure domain to those that were heard. If each host
	 * named only itself until beats come, all of them would carry traffic after a restart
	 * of the whole fleet.
	 * @param heard the hosts that were heard, this one included
	 * @return hosts in order of their names, all taken to take callers
	 */
	List<HostHeartbeat> withListed(List<HostHeartbeat> heard) {
		Map<String, HostHeartbeat> hosts = new TreeMap<>();
		this.known.values()
			.stream()
			.filter(this::isHere)
			.forEach((beat) -> hosts.put(beat.host(), beat.presumedAccepting()));
		heard.forEach((beat) -> hosts.put(beat.host(), beat.presumedAccepting()));
		return List.copyOf(hosts.values());
	}

}
