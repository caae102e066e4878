package org.plantainspur.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;

import org.plantainspur.core.desired.DesiredState;
import org.plantainspur.core.desired.DesiredStateView;
import org.plantainspur.core.fleet.AccountUsage;
import org.plantainspur.core.fleet.DomainDigest;
import org.plantainspur.core.fleet.EstimatingAccountLimiter;
import org.plantainspur.core.fleet.FleetView;
import org.plantainspur.core.fleet.HeartbeatSchedule;
import org.plantainspur.core.fleet.HostHeartbeat;
import org.plantainspur.core.fleet.LargestHostsSelector;
import org.plantainspur.core.fleet.LiveHosts;
import org.plantainspur.core.fleet.StoreReaderElection;
import org.plantainspur.core.fleet.TrafficHostSelector;
import org.plantainspur.core.fleet.UsageMeter;
import org.plantainspur.core.health.SequentialCrashQuarantine;
import org.plantainspur.core.log.DecisionLog;
import org.plantainspur.core.proxy.RetryBudget;
import org.plantainspur.core.reach.RelayKey;
import org.plantainspur.core.store.ChangeDelayBudget;
import org.plantainspur.core.store.Scheduler;
import org.plantainspur.core.store.Store;
import org.plantainspur.core.store.TableStates;
import org.plantainspur.core.target.AttemptRecorder;
import org.plantainspur.core.target.DomainLimitShare;
import org.plantainspur.core.target.ObservedTarget;
import org.plantainspur.core.target.TargetRegistry;
import org.plantainspur.core.target.TargetStatements;
import org.plantainspur.core.target.TargetSubset;
import org.plantainspur.core.time.Clock;
import org.plantainspur.gateway.http.ProxyComponents;
import org.plantainspur.gateway.log.FailureReporter;
import org.plantainspur.gateway.log.GatewayMetrics;
import org.plantainspur.gateway.peer.HeartbeatChannel;
import org.plantainspur.gateway.peer.PeerTableReaders;

/**
 * Exchanges heartbeats with the other hosts: sends what this host knows, records what the
 * others report, and decides whether this host reads the store for its failure domain.
 * Runs on the control thread.
 */
final class GossipTask implements ProxyComponents.TargetHealthListener {

	/** How often this host checks whether a heartbeat is due. */
	private static final long TICK_INTERVAL_MS = ChangeDelayBudget.CHECK_INTERVAL_MS;

	/**
	 * Delay before a heartbeat that reports a failed target or passes on a digest, so
	 * that those of the same moment share one heartbeat.
	 */
	private static final long URGENT_HEARTBEAT_DELAY_MS = 10;

	/**
	 * The time from the start until heartbeats of all live hosts of the failure domain
	 * have arrived. Until then this host sends no digests, and its directory also lists
	 * hosts that it knows only from the store.
	 */
	private static final long DISCOVERY_MS = 1_500;

	/**
	 * How long a starting host waits for replies to its first heartbeat before it may
	 * read the store. A host of the failure domain that has the tables replies within
	 * this time.
	 */
	private static final long PEER_REPLY_MS = 150;

	/**
	 * The time from the start after which this host may read the store even if it could
	 * not read the list of hosts there. Until then, heartbeats may arrive from hosts that
	 * already know this one.
	 */
	private static final long MAX_STORE_READ_DELAY_MS = 1_000;

	/**
	 * Number of hosts of a failure domain that callers are sent to. With fewer hosts each
	 * one observes more requests to each target; with a single one, callers would have no
	 * other address when it is killed.
	 */
	static final int TRAFFIC_HOSTS_PER_DOMAIN = 2;

	/**
	 * How long a silent host of the failure domain may still be alive and cut off. After
	 * this time it counts as ended, so that the limits of targets are used again.
	 */
	private static final long LOST_HOST_MS = 30_000;

	/**
	 * Reported as the age of the store's last response while there is none yet. A quarter
	 * of the largest value, so that sums and differences with it do not overflow.
	 */
	private static final long STORE_NEVER_ANSWERED_MS = Long.MAX_VALUE / 4;

	private final GatewaySettings settings;

	private final Clock clock;

	private final HostState hostState;

	private final HostRegistry registry;

	private final StoreSynchronizer storeSynchronizer;

	private final PeerTableReaders peerReaders;

	private final StoreReaderElection readerElection;

	private final BooleanSupplier stopping;

	private final FleetView view;

	private final HeartbeatChannel channel;

	private final Queue<String> failedTargets = new ConcurrentLinkedQueue<>();

	private final Queue<String> recoveredTargets = new ConcurrentLinkedQueue<>();

	// Digests of other failure domains are relayed twice: to the hosts that carry traffic
	// within URGENT_HEARTBEAT_DELAY_MS, and to all hosts with the next regular heartbeat.
	private final Queue<DomainDigest> digestsForTrafficHosts = new ConcurrentLinkedQueue<>();

	private final Queue<DomainDigest> digestsForAllHosts = new ConcurrentLinkedQueue<>();

	private final AtomicReference<HostHeartbeat> ownHeartbeat;

	private final DomainRepresentative representative;

	private final PathMonitor pathMonitor;

	private final HeartbeatSchedule heartbeatSchedule = new HeartbeatSchedule();

	private final TrafficHostSelector trafficHostSelector = new LargestHostsSelector(TRAFFIC_HOSTS_PER_DOMAIN);

	private final AtomicBoolean urgentHeartbeatPending = new AtomicBoolean();

	private final AtomicBoolean pathCheckPending = new AtomicBoolean();

	private final EventLoop eventLoop;

	private final Scheduler scheduler;

	private final DecisionLog log;

	private final FailureReporter failures;

	private boolean readingStore;

	/** The clock reading from which this host may read the store. */
	private long storeReadAllowedMs;

	private final long startedMs;

	private long lastHeartbeatMs;

	GossipTask(GatewaySettings settings, Clock clock, HostState hostState, Store store,
			StoreSynchronizer storeSynchronizer, BooleanSupplier stopping, Consumer<List<ObservedTarget>> prober,
			EventLoop eventLoop, DecisionLog log, GatewayMetrics metrics) {
		this.settings = settings;
		this.clock = clock;
		this.hostState = hostState;
		this.storeSynchronizer = storeSynchronizer;
		this.stopping = stopping;
		this.eventLoop = eventLoop;
		this.log = log;
		this.failures = new FailureReporter(log, metrics);
		this.scheduler = (delay, task) -> eventLoop.schedule(() -> this.failures.run("gossip", task), delay,
				TimeUnit.MILLISECONDS);
		this.startedMs = clock.millis();
		this.storeReadAllowedMs = this.startedMs + MAX_STORE_READ_DELAY_MS;
		this.readerElection = new StoreReaderElection(settings.host(), settings.changeDelays());
		this.peerReaders = new PeerTableReaders(eventLoop);
		this.view = new FleetView(new LiveHosts(clock), clock);
		HostHeartbeat firstHeartbeat = new HostHeartbeat(settings.host(), System.currentTimeMillis(),
				settings.failureDomain(), hostAndPort(settings.callerAddress()), hostAndPort(settings.peerAddress()),
				settings.cores(), false, -1, TableStates.NONE, STORE_NEVER_ANSWERED_MS, Map.of(), List.of(), List.of(),
				List.of(), List.of(), List.of(), List.of());
		this.ownHeartbeat = new AtomicReference<>(firstHeartbeat);
		this.registry = new HostRegistry(store, this.scheduler, firstHeartbeat, hostState.relayKey(),
				() -> this.scheduler.after(0, this::onRegistryRead));
		this.channel = new HeartbeatChannel(settings.peerAddress(), eventLoop, this::receive, this.failures,
				() -> metrics.count("heartbeats_dropped_total", "malformed"));
		this.representative = new DomainRepresentative(settings, this.registry, this.view::silenceMs,
				this.channel::send);
		this.pathMonitor = new PathMonitor(settings, hostState.paths(), this.registry, prober, this.channel::send,
				this::checkPathsSoon, hostState.quarantine(), log);
	}

	private static String hostAndPort(InetSocketAddress address) {
		return address.getHostString() + ":" + address.getPort();
	}

	void start() {
		this.lastHeartbeatMs = this.clock.millis();
		this.storeSynchronizer.onRead(this::sendHeartbeatIfDue);
		this.eventLoop.scheduleWithFixedDelay(() -> this.failures.run("gossip", this::tick), TICK_INTERVAL_MS,
				TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
		this.registry.start();
	}

	// Sends the first heartbeat and gives the other hosts time to reply before the store
	// is read.
	private void onRegistryRead() {
		if (!this.storeSynchronizer.complete()) {
			// The first host of the failure domain does not wait: unless another host
			// already has the tables, it is the one elected to read.
			long peerReplyMs = this.registry.isFirstInDomain() ? 0 : PEER_REPLY_MS;
			this.storeReadAllowedMs = Math.min(this.storeReadAllowedMs, this.clock.millis() + peerReplyMs);
			sendToAllHosts();
		}
	}

	private void receive(HostHeartbeat heartbeat) {
		if (heartbeat.host().equals(this.settings.host())) {
			return;
		}
		this.hostState.quarantine().receive(heartbeat.requestCrashes());
		heartbeat.targetStatements().forEach(this.hostState.targetStatements()::receive);
		this.pathMonitor.receive(heartbeat, this.ownHeartbeat.get());
		List<DomainDigest> newDigests = this.view.receive(heartbeat);
		if (this.registry.receive(heartbeat) && heartbeat.failureDomain().equals(this.settings.failureDomain())) {
			// A process that has just started fetches the tables from a host that has
			// them, and must learn of this one to do so.
			this.channel.send(this.ownHeartbeat.get(), List.of(heartbeat.peerAddress()));
		}
		DesiredState state = this.hostState.desiredState().current();
		if (heartbeat.failureDomain().equals(this.settings.failureDomain())) {
			this.hostState.limiter().recordRemoteUsage(state, heartbeat.host(), heartbeat.usage());
			this.representative.receive(heartbeat);
			if (!heartbeat.tables().equals(TableStates.NONE)) {
				// The tables can be fetched from that host, also while the store is
				// unreachable.
				this.storeReadAllowedMs = Math.min(this.storeReadAllowedMs, this.clock.millis());
				if (isElectionDue(heartbeat)) {
					electStoreReader();
				}
			}
		}
		else {
			this.representative.receiveFromOtherDomain(heartbeat);
		}
		List<DomainDigest> otherDomainDigests = newDigests.stream()
			.filter((digest) -> !digest.failureDomain().equals(this.settings.failureDomain()))
			.toList();
		otherDomainDigests.forEach((digest) -> {
			this.hostState.limiter().recordRemoteUsage(state, usageSource(digest), digest.accounts());
			recordRemoteTargetHealth(digest.failedTargets(), digest.recoveredTargets());
		});
		if (!heartbeat.failureDomain().equals(this.settings.failureDomain()) && !otherDomainDigests.isEmpty()) {
			this.digestsForTrafficHosts.addAll(otherDomainDigests);
			this.digestsForAllHosts.addAll(otherDomainDigests);
			scheduleUrgentHeartbeat();
		}
		if (!heartbeat.failedTargets().isEmpty()) {
			this.log.event("targets-reported-failed", "host", heartbeat.host(), "targets", heartbeat.failedTargets());
		}
		recordRemoteTargetHealth(heartbeat.failedTargets(), heartbeat.recoveredTargets());
	}

	// Changes are fetched, and an attempt to reach the store that is not needed any more
	// ends, before the next check. A reader that is in touch has nothing to decide.
	private boolean isElectionDue(HostHeartbeat heartbeat) {
		boolean unanswered = this.readingStore
				&& this.storeSynchronizer.storeAgeMs() > this.settings.changeDelays().takeoverAgeMs();
		return this.storeSynchronizer.complete()
				&& (unanswered || this.storeSynchronizer.tableStates().isBehind(heartbeat.tables()));
	}

	private void recordRemoteTargetHealth(List<String> failedElsewhere, List<String> recoveredElsewhere) {
		knownTargets(failedElsewhere).forEach(this.hostState.attemptRecorder()::recordRemoteFailure);
		knownTargets(recoveredElsewhere).forEach(this.hostState.attemptRecorder()::recordRemoteSuccess);
	}

	private List<ObservedTarget> knownTargets(List<String> ids) {
		return ids.stream().map(this.hostState.targets()::target).filter(Objects::nonNull).toList();
	}

	private static String usageSource(DomainDigest digest) {
		return digest.failureDomain() + "/" + digest.host();
	}

	@Override
	public void targetStatementChanged() {
		scheduleUrgentHeartbeat();
	}

	@Override
	public void targetFailed(ObservedTarget target) {
		this.failedTargets.add(target.listing().id());
		scheduleUrgentHeartbeat();
	}

	@Override
	public void targetRecovered(ObservedTarget target) {
		this.recoveredTargets.add(target.listing().id());
	}

	private void scheduleUrgentHeartbeat() {
		if (this.urgentHeartbeatPending.compareAndSet(false, true)) {
			this.scheduler.after(URGENT_HEARTBEAT_DELAY_MS, () -> {
				this.urgentHeartbeatPending.set(false);
				sendToTrafficHosts();
			});
		}
	}

	/**
	 * Looks for hosts that may relay, when a path has closed or their entries have been
	 * read.
	 */
	void checkPathsSoon() {
		if (!this.eventLoop.isShuttingDown() && this.pathCheckPending.compareAndSet(false, true)) {
			this.scheduler.after(0, () -> {
				this.pathCheckPending.set(false);
				checkPaths();
			});
		}
	}

	private void checkPaths() {
		HostHeartbeat heartbeat = this.ownHeartbeat.get();
		if (this.pathMonitor.run(heartbeat, this.view.domainHosts(heartbeat), this.clock.millis())) {
			sendToAllHosts();
		}
	}

	private void tick() {
		if (this.clock.millis() >= this.storeReadAllowedMs) {
			electStoreReader();
		}
		checkPaths();
		if (!sendHeartbeatIfDue() && this.hostState.meter().isReportUrgent()) {
			sendToTrafficHosts();
		}
		assignTargetSubset();
		this.registry.writeAgainIn(this.storeSynchronizer.storeEra());
		if (this.clock.millis() - this.startedMs >= DISCOVERY_MS) {
			this.representative.sendDue(this.ownHeartbeat.get(), this.view.domainHosts(this.ownHeartbeat.get()),
					this.hostState.targetStatements()::reports, this.clock.millis());
		}
	}

	private boolean sendHeartbeatIfDue() {
		boolean due = this.heartbeatSchedule.due(this.storeSynchronizer.tableStates().digest(),
				this.storeSynchronizer.storeAgeMs(), this.clock.millis());
		if (due) {
			sendToAllHosts();
		}
		return due;
	}

	private void assignTargetSubset() {
		HostHeartbeat heartbeat = this.ownHeartbeat.get();
		List<HostHeartbeat> domainHosts = this.view.domainHosts(heartbeat);
		List<HostHeartbeat> trafficHosts = this.trafficHostSelector.select(domainHosts);
		int position = trafficHosts.indexOf(heartbeat);
		this.hostState.targetSubset().assign(position, trafficHosts.size());
		this.hostState.limitShare()
			.assign(position >= 0, domainHosts.stream().map(HostHeartbeat::host).toList(),
					knownHosts(this.clock.millis()));
		if (heartbeat.acceptingCallers()) {
			// A host that does not accept callers yet keeps its part of the budget, as it
			// may carry traffic soon.
			this.hostState.retryBudget().setCarriesTraffic(this.hostState.targetSubset().carriesTraffic());
		}
	}

	// The names of the failure domain's hosts that may be alive, heard or not.
	private Set<String> knownHosts(long nowMs) {
		Set<String> known = new HashSet<>();
		this.registry.othersInDomain()
			.stream()
			.filter((host) -> Math.min(this.view.silenceMs(host), nowMs - this.startedMs) < LOST_HOST_MS)
			.forEach((host) -> known.add(host.host()));
		known.add(this.settings.host());
		return known;
	}

	private void electStoreReader() {
		HostHeartbeat heartbeat = this.ownHeartbeat.get();
		List<HostHeartbeat> domainHosts = this.view.domainHosts(heartbeat);
		List<StoreReaderElection.PeerReadState> peerStates = this.view.peerReadStates(domainHosts, heartbeat);
		peerStates.forEach((peer) -> this.storeSynchronizer.compareWith(peer.heartbeat().tables(),
				peer.heartbeat().host(), peer.ageMs()));
		StoreReaderElection.OwnReadState own = new StoreReaderElection.OwnReadState(this.storeSynchronizer.complete(),
				this.storeSynchronizer.tableStates(), this.storeSynchronizer.storeAgeMs());
		int rank = domainHosts.indexOf(heartbeat);
		this.storeSynchronizer.assignRetries(rank, domainHosts.size());
		StoreReaderElection.Decision decision = this.readerElection.decide(rank, own, peerStates, this.clock.millis());
		if (decision.readStore() != this.readingStore) {
			this.readingStore = decision.readStore();
			this.storeSynchronizer.follow(this.readingStore);
			this.log.event("read-duty", "readsStore", this.readingStore, "first", domainHosts.get(0).host());
		}
		StoreReaderElection.PeerReadState fetchSource = decision.fetchFrom();
		if (fetchSource != null) {
			this.storeSynchronizer.fetch(this.peerReaders.readerOf(fetchSource.heartbeat().peerAddress()),
					fetchSource.heartbeat().tables(), fetchSource.heartbeat().host(), fetchSource.ageMs());
		}
	}

	private void sendToAllHosts() {
		this.digestsForTrafficHosts.clear();
		sendHeartbeat(this.registry.peersInDomain(), drain(this.digestsForAllHosts));
	}

	// Heartbeats between the regular ones go only to the hosts that carry traffic and to
	// the representative of the failure domain; all others are standbys.
	private void sendToTrafficHosts() {
		List<HostHeartbeat> domainHosts = this.view.domainHosts(this.ownHeartbeat.get());
		Set<String> peers = new HashSet<>();
		peers.add(domainHosts.get(0).peerAddress());
		this.trafficHostSelector.select(domainHosts).forEach((host) -> peers.add(host.peerAddress()));
		peers.remove(this.ownHeartbeat.get().peerAddress());
		sendHeartbeat(peers, drain(this.digestsForTrafficHosts));
	}

	private void sendHeartbeat(Collection<String> peers, List<DomainDigest> digests) {
		long now = this.clock.millis();
		Map<String, AccountUsage> usage = this.hostState.meter().takeReport(now - this.lastHeartbeatMs);
		this.lastHeartbeatMs = now;
		HostHeartbeat heartbeat = createHeartbeat(usage, drain(this.failedTargets), drain(this.recoveredTargets));
		this.ownHeartbeat.set(heartbeat);
		this.channel.send(heartbeat.withDigests(digests), peers);
		this.representative.receive(heartbeat);
		removeSilentUsageSources(this.view.domainHosts(heartbeat));
		this.hostState.targetStatements().removeOld(this.hostState.targets()::lists);
	}

	private HostHeartbeat createHeartbeat(Map<String, AccountUsage> usage, List<String> newlyFailed,
			List<String> newlyRecovered) {
		HostHeartbeat previous = this.ownHeartbeat.get();
		boolean acceptingCallers = this.hostState.desiredState().current().isLoaded() && !this.stopping.getAsBoolean();
		return new HostHeartbeat(previous.host(), previous.startMs(), previous.failureDomain(),
				previous.callerAddress(), previous.peerAddress(), previous.cores(), acceptingCallers,
				this.hostState.desiredState().current().version(), this.storeSynchronizer.servedTableStates(),
				this.storeSynchronizer.storeAgeMs(), usage, this.hostState.meter().takeNearLimit(), newlyFailed,
				newlyRecovered, List.of(), this.hostState.quarantine().reports(),
				this.hostState.targetStatements().reports())
			.withReach(this.pathMonitor.reach());
	}

	private static <T> List<T> drain(Queue<T> queue) {
		List<T> drained = new ArrayList<>();
		T next = queue.poll();
		while (next != null) {
			drained.add(next);
			next = queue.poll();
		}
		return drained;
	}

	private void removeSilentUsageSources(List<HostHeartbeat> domainHosts) {
		Set<String> sources = new HashSet<>();
		domainHosts.forEach((heartbeat) -> sources.add(heartbeat.host()));
		this.view.otherDomains().forEach((digest) -> sources.add(usageSource(digest)));
		this.hostState.limiter().retainSources(this.hostState.desiredState().current(), sources::contains);
	}

	/**
	 * Returns the hosts that callers of this failure domain may connect to.
	 * @return caller addresses, {@code ip:port}; empty while this host does not know the
	 * other hosts
	 */
	List<String> callerAddresses() {
		List<HostHeartbeat> hosts = this.view.domainHosts(this.ownHeartbeat.get());
		if (this.clock.millis() - this.startedMs < DISCOVERY_MS) {
			if (!this.registry.isRead()) {
				return List.of();
			}
			hosts = this.registry.withRegistered(hosts);
		}
		return this.trafficHostSelector.select(hosts).stream().map(HostHeartbeat::callerAddress).toList();
	}

	/**
	 * The state of this host that heartbeats report and update.
	 *
	 * @param desiredState the desired state in force
	 * @param meter counts the requests that this host admits
	 * @param limiter records the account usage that the other hosts report
	 * @param targets the targets by identity
	 * @param attemptRecorder records the failures and recoveries that the other hosts
	 * observed
	 * @param targetSubset the targets that this host prefers
	 * @param retryBudget this host's part of the fleet's retry budget
	 * @param quarantine records the crashes that the other hosts report
	 * @param targetStatements what targets say of themselves
	 * @param limitShare this host's part of the limits that targets name
	 * @param paths what is known of the paths to targets
	 * @param relayKey the key with which other hosts have requests relayed here
	 */
	record HostState(DesiredStateView desiredState, UsageMeter meter, EstimatingAccountLimiter limiter,
			TargetRegistry targets, AttemptRecorder attemptRecorder, TargetSubset targetSubset, RetryBudget retryBudget,
			SequentialCrashQuarantine quarantine, TargetStatements targetStatements, DomainLimitShare limitShare,
			PathMonitor.Paths paths, RelayKey relayKey) {
	}

}
