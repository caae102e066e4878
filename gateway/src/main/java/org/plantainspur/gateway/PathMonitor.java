package org.plantainspur.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.fleet.HostHeartbeat;
import org.plantainspur.core.health.SequentialCrashQuarantine;
import org.plantainspur.core.log.DecisionLog;
import org.plantainspur.core.reach.DirectPaths;
import org.plantainspur.core.reach.HostReach;
import org.plantainspur.core.reach.ProbeSchedule;
import org.plantainspur.core.reach.RelayHost;
import org.plantainspur.core.reach.RelayHosts;
import org.plantainspur.core.reach.RelayKey;
import org.plantainspur.core.target.HostLocation;
import org.plantainspur.core.target.ObservedTarget;
import org.plantainspur.core.target.TargetRegistry;

/**
 * Keeps what is known of the paths to targets up to date: has closed paths probed, names
 * the hosts that may relay, asks hosts of other failure domains while the near ones are
 * cut off too, and logs when this host loses and regains its targets. Used by the control
 * thread.
 */
final class PathMonitor {

	/**
	 * How often a host that is cut off asks hosts of other failure domains whether they
	 * reach targets.
	 */
	private static final long ASK_INTERVAL_MS = 500;

	/** How often what is known of targets and hosts that are gone is forgotten. */
	private static final long CLEAN_UP_INTERVAL_MS = 2_000;

	/** The time after which a read of the store counts as lost. */
	private static final long KEYS_READ_MS = 200;

	/** How often the store is read for keys that it did not hold before. */
	private static final long MISSING_KEYS_INTERVAL_MS = 2_000;

	/** How often the entries of hosts of other failure domains are read while needed. */
	private static final long OTHER_DOMAINS_INTERVAL_MS = 5_000;

	/**
	 * Crashes that were seen this long before the host was cut off are put down to the
	 * cut, which resets connections before connects show it.
	 */
	private static final long CUT_NOTICED_MS = 2_000;

	private final GatewaySettings settings;

	private final Paths paths;

	private final HostRegistry registry;

	private final Consumer<List<ObservedTarget>> prober;

	private final BiConsumer<HostHeartbeat, Iterable<String>> heartbeatSender;

	private final Runnable onKeysRead;

	private final SequentialCrashQuarantine quarantine;

	private final DecisionLog log;

	private final HostLocation location;

	private List<RelayHost> candidates = List.of();

	private boolean wasCutOff;

	private long lostMs;

	private int loggedClosed;

	private final Map<String, Long> otherDomainsReadMs = new HashMap<>();

	/** Hosts whose keys were missing when the store was read last. */
	private Set<String> readWithoutKey = Set.of();

	private long keysReadMs = Long.MIN_VALUE / 2;

	private long cleanedUpMs = Long.MIN_VALUE / 2;

	private long askedMs = Long.MIN_VALUE / 2;

	PathMonitor(GatewaySettings settings, Paths paths, HostRegistry registry, Consumer<List<ObservedTarget>> prober,
			BiConsumer<HostHeartbeat, Iterable<String>> heartbeatSender, Runnable onKeysRead,
			SequentialCrashQuarantine quarantine, DecisionLog log) {
		this.settings = settings;
		this.paths = paths;
		this.registry = registry;
		this.prober = prober;
		this.heartbeatSender = heartbeatSender;
		this.onKeysRead = onKeysRead;
		this.quarantine = quarantine;
		this.log = log;
		this.location = new HostLocation(settings.failureDomain(), settings.regions());
	}

	/**
	 * Runs all that is due.
	 * @param ownHeartbeat this host's last heartbeat
	 * @param domainHosts the heartbeats of the failure domain's live hosts
	 * @param now the reading of the host's clock, in milliseconds
	 * @return whether the other hosts should hear of this host's paths at once
	 */
	boolean run(HostHeartbeat ownHeartbeat, List<HostHeartbeat> domainHosts, long now) {
		if (now - this.cleanedUpMs >= CLEAN_UP_INTERVAL_MS) {
			this.cleanedUpMs = now;
			cleanUp();
		}
		this.prober.accept(this.paths.probes().due(this.paths.relayHosts().isAnyCutOff(), now));
		boolean cutOff = this.paths.direct().isCutOff();
		nameCandidates(domainHosts, now);
		if (cutOff) {
			askOtherDomains(ownHeartbeat, now);
		}
		else if (this.paths.direct().hasLostService()) {
			nameOtherDomains(now);
		}
		logChanges(cutOff, now);
		boolean changed = cutOff != this.wasCutOff;
		this.wasCutOff = cutOff;
		return changed;
	}

	/**
	 * Returns what heartbeats tell of this host's paths.
	 * @return {@link HostReach#NONE} while no path is closed, at this host or at those
	 * that it hears
	 */
	HostReach reach() {
		Set<String> unreachedElsewhere = this.paths.relayHosts().unreachedTargets();
		boolean worthTelling = this.paths.direct().isCutOff() || this.paths.direct().closedCount() > 0
				|| this.paths.relayHosts().isAnyCutOff() || !unreachedElsewhere.isEmpty();
		return worthTelling ? this.paths.direct().reach(unreachedElsewhere) : HostReach.NONE;
	}

	/**
	 * Records what another host tells of its paths, and answers a host of another failure
	 * domain that is cut off.
	 * @param heartbeat the other host's heartbeat
	 * @param ownHeartbeat this host's last heartbeat
	 */
	void receive(HostHeartbeat heartbeat, HostHeartbeat ownHeartbeat) {
		this.paths.relayHosts().receive(heartbeat.host(), heartbeat.reach());
		if (heartbeat.reach().state() == HostReach.State.CUT_OFF
				&& !heartbeat.failureDomain().equals(this.settings.failureDomain())) {
			this.heartbeatSender.accept(ownHeartbeat.onlyReach(this.paths.direct().reach(Set.of())),
					List.of(heartbeat.peerAddress()));
		}
	}

	private void nameCandidates(List<HostHeartbeat> domainHosts, long now) {
		boolean needed = this.paths.direct().closedCount() > 0 || this.paths.direct().isCutOff();
		List<RelayHost> found = new ArrayList<>();
		Set<String> withoutKey = new HashSet<>();
		for (HostHeartbeat heartbeat : domainHosts) {
			boolean other = !heartbeat.host().equals(this.settings.host()) && heartbeat.acceptingCallers();
			if (other && !addCandidate(found, heartbeat)) {
				withoutKey.add(heartbeat.host() + "/" + heartbeat.startMs());
			}
		}
		this.paths.relayHosts().setIncomplete(!this.readWithoutKey.containsAll(withoutKey));
		if (needed) {
			readMissingKeys(withoutKey, now);
			this.registry.others()
				.stream()
				.filter((heartbeat) -> !heartbeat.failureDomain().equals(this.settings.failureDomain()))
				.forEach((heartbeat) -> addCandidate(found, heartbeat));
		}
		if (!found.equals(this.candidates)) {
			this.candidates = List.copyOf(found);
			this.paths.relayHosts().replace(found);
		}
	}

	private void cleanUp() {
		this.paths.direct().removeUnlisted();
		Set<String> known = new HashSet<>();
		this.registry.others().forEach((heartbeat) -> known.add(heartbeat.host()));
		this.paths.relayHosts().removeOld(known);
	}

	// A host whose entry was read without a key is an older build, or has not written its
	// entry yet.
	private void readMissingKeys(Set<String> withoutKey, long now) {
		boolean allRead = this.readWithoutKey.containsAll(withoutKey);
		long intervalMs = allRead ? MISSING_KEYS_INTERVAL_MS : KEYS_READ_MS;
		if (!withoutKey.isEmpty() && now - this.keysReadMs >= intervalMs) {
			this.keysReadMs = now;
			this.registry.readRelayKeys(this.settings.failureDomain(), () -> {
				this.readWithoutKey = Set.copyOf(withoutKey);
				this.onKeysRead.run();
			});
		}
	}

	private boolean addCandidate(Collection<RelayHost> found, HostHeartbeat heartbeat) {
		RelayKey key = this.registry.relayKey(heartbeat);
		RelayHost host = (key != null) ? toRelayHost(heartbeat, key) : null;
		if (host != null) {
			found.add(host);
		}
		return host != null;
	}

	// The relay port has the same distance from the peer port on all hosts.
	private @Nullable RelayHost toRelayHost(HostHeartbeat heartbeat, RelayKey key) {
		var peerAddress = IpAddressAndPort.parse(heartbeat.peerAddress());
		if (peerAddress == null) {
			return null;
		}
		int port = peerAddress.getPort() + this.settings.relayAddress().getPort()
				- this.settings.peerAddress().getPort();
		return new RelayHost(heartbeat.host(), heartbeat.failureDomain(), heartbeat.startMs(),
				peerAddress.getHostString(), port, key);
	}

	// Hosts of the same region are asked first, those of other regions while none of them
	// reaches targets.
	private void askOtherDomains(HostHeartbeat ownHeartbeat, long now) {
		RelayHosts relayHosts = this.paths.relayHosts();
		if (now - this.askedMs < ASK_INTERVAL_MS || relayHosts.isAnyConnected(HostLocation.Distance.SAME_DOMAIN)) {
			return;
		}
		this.askedMs = now;
		boolean regionConnected = relayHosts.isAnyConnected(HostLocation.Distance.SAME_REGION);
		for (String failureDomain : this.settings.regions().keySet()) {
			HostLocation.Distance distance = this.location.distanceTo(failureDomain);
			if (distance == HostLocation.Distance.SAME_REGION
					|| (distance == HostLocation.Distance.OTHER_REGION && !regionConnected)) {
				readKeysOf(failureDomain, now);
			}
		}
		Set<String> asked = new HashSet<>();
		relayHosts.candidates(HostLocation.Distance.SAME_REGION).forEach((host) -> asked.add(host.name()));
		if (!regionConnected) {
			relayHosts.candidates(HostLocation.Distance.OTHER_REGION).forEach((host) -> asked.add(host.name()));
		}
		List<String> addresses = this.registry.others()
			.stream()
			.filter((heartbeat) -> asked.contains(heartbeat.host()))
			.map(HostHeartbeat::peerAddress)
			.toList();
		this.heartbeatSender.accept(ownHeartbeat.onlyReach(this.paths.direct().reach(Set.of())), addresses);
	}

	// The hosts of this failure domain may all have lost the paths to a service together,
	// so those of other domains must be able to relay, too.
	private void nameOtherDomains(long now) {
		Set<String> named = new HashSet<>(Set.of(this.settings.failureDomain()));
		this.candidates.forEach((candidate) -> named.add(candidate.failureDomain()));
		this.settings.regions()
			.keySet()
			.stream()
			.filter((failureDomain) -> !named.contains(failureDomain))
			.forEach((failureDomain) -> readKeysOf(failureDomain, now));
	}

	private void readKeysOf(String failureDomain, long now) {
		Long readMs = this.otherDomainsReadMs.get(failureDomain);
		if (readMs == null || now - readMs >= OTHER_DOMAINS_INTERVAL_MS) {
			this.otherDomainsReadMs.put(failureDomain, now);
			this.registry.readRelayKeys(failureDomain, this.onKeysRead);
		}
	}

	private void logChanges(boolean cutOff, long now) {
		int closed = this.paths.direct().closedCount();
		int listed = this.paths.targets().ids().size();
		long changedMs = this.paths.direct().accessChangedMs();
		if (cutOff && !this.wasCutOff) {
			this.lostMs = changedMs;
			this.quarantine.discardSince(changedMs - CUT_NOTICED_MS);
			this.log.event("targets-lost", "closed", closed, "listed", listed, "sinceMs", now - changedMs, "relayHosts",
					this.candidates.size());
		}
		else if (!cutOff && this.wasCutOff) {
			this.log.event("targets-regained", "closed", closed, "listed", listed, "lostForMs",
					changedMs - this.lostMs);
		}
		else if (!cutOff && closed != this.loggedClosed) {
			this.log.event("target-paths", "closed", closed, "listed", listed);
		}
		this.loggedClosed = closed;
	}

	/**
	 * What is known of the paths.
	 *
	 * @param direct this host's own paths
	 * @param relayHosts the hosts that may relay
	 * @param probes decides when closed paths are tried
	 * @param targets the listed targets
	 */
	record Paths(DirectPaths direct, RelayHosts relayHosts, ProbeSchedule probes, TargetRegistry targets) {
	}

}
