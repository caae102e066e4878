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
import org.plantainspur.core.log.DecisionLog;
import org.plantainspur.core.proxy.RetryBudget;
import org.plantainspur.core.store.Store;
import org.plantainspur.core.target.AttemptRecorder;
import org.plantainspur.core.target.ObservedTarget;
import org.plantainspur.core.target.TargetRegistry;
import org.plantainspur.core.target.TargetSubset;
import org.plantainspur.core.time.Clock;
import org.plantainspur.gateway.http.ProxyParts;
import org.plantainspur.gateway.peer.BeatChannel;
import org.plantainspur.gateway.peer.PeerTables;

/**
 * Tells the other hosts about this one and takes what they tell. Runs on the control
 * thread.
 */
final class FleetTask implements ProxyParts.TargetNews {

	/** How often it is looked whether the others should be told sooner. */
	private static final long LOOK_MS = 100;

	/** Failures that come together go out together. */
	private static final long URGENT_MS = 10;

	/** By then beats of all hosts of the failure domain have come. */
	private static final long LEARNING_MS = 1_500;

	/** The other hosts of the failure domain answer the first beat by then. */
	private static final long SETTLE_MS = 150;

	/** The store may be out of reach; hosts that were found earlier may answer. */
	private static final long LONGEST_SETTLE_MS = 1_000;

	/**
	 * Hosts of a failure domain that callers are sent to. Fewer see more of each target;
	 * with one, callers would have no other address when it is killed.
	 */
	static final int ENTRY_HOSTS = 2;

	/** The store has not answered yet. */
	private static final long NEVER_MS = Long.MAX_VALUE / 4;

	private final GatewaySettings settings;

	private final Clock clock;

	private final Shared shared;

	private final HostBook book;

	private final StoreTask tables;

	private final PeerTables peerTables;

	private final StoreReaderElection duty;

	private final BooleanSupplier stopping;

	private final FleetView view;

	private final BeatChannel channel;

	private final Queue<String> failed = new ConcurrentLinkedQueue<>();

	private final Queue<String> sound = new ConcurrentLinkedQueue<>();

	private final Queue<DomainDigest> toRelay = new ConcurrentLinkedQueue<>();

	private final Queue<DomainDigest> toRelayToAll = new ConcurrentLinkedQueue<>();

	private final AtomicReference<HostHeartbeat> own;

	private final DomainSpeaker speaker;

	private final HeartbeatSchedule beats = new HeartbeatSchedule();

	private final TrafficHostSelector entries = new LargestHostsSelector(ENTRY_HOSTS);

	private final AtomicBoolean beatPending = new AtomicBoolean();

	private final EventLoop loop;

	private final DecisionLog log;

	private boolean reading;

	private long settledMs;

	private final long startedMs;

	private long lastBeatMs;

	FleetTask(GatewaySettings settings, Clock clock, Shared shared, Store store, StoreTask tables,
			BooleanSupplier stopping, EventLoop loop, DecisionLog log) {
		this.settings = settings;
		this.clock = clock;
		this.shared = shared;
		this.tables = tables;
		this.stopping = stopping;
		this.loop = loop;
		this.log = log;
		this.startedMs = clock.millis();
		this.settledMs = this.startedMs + LONGEST_SETTLE_MS;
		this.duty = new StoreReaderElection(settings.changeApplyMs());
		this.peerTables = new PeerTables(loop);
		this.view = new FleetView(new LiveHosts(clock), clock);
		HostHeartbeat first = new HostHeartbeat(settings.host(), System.currentTimeMillis(), settings.failureDomain(),
				text(settings.callerAddress()), text(settings.peerAddress()), settings.cores(), false, -1, 0, NEVER_MS,
				Map.of(), List.of(), List.of(), List.of(), List.of());
		this.own = new AtomicReference<>(first);
		this.book = new HostBook(store, (delay, task) -> loop.schedule(task, delay, TimeUnit.MILLISECONDS), first,
				this::hostsRead);
		this.channel = new BeatChannel(settings.peerAddress(), loop, this::heard);
		this.speaker = new DomainSpeaker(settings, this.book, this.view::silenceMs, this.channel::send);
	}

	private static String text(InetSocketAddress address) {
		return address.getHostString() + ":" + address.getPort();
	}

	void start() {
		this.lastBeatMs = this.clock.millis();
		this.loop.scheduleWithFixedDelay(this::lookSafely, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
		this.book.start();
	}

	// Tells the others of this host and gives them time to answer.
	private void hostsRead() {
		if (!this.tables.complete()) {
			// The first host would read in any case, unless another has the tables
			// already.
			long settle = this.book.isFirstHere() ? 0 : SETTLE_MS;
			this.settledMs = Math.min(this.settledMs, this.clock.millis() + settle);
			beat();
		}
	}

	private void heard(HostHeartbeat beat) {
		if (beat.host().equals(this.settings.host())) {
			return;
		}
		List<DomainDigest> news = this.view.receive(beat);
		if (this.book.heard(beat) && beat.failureDomain().equals(this.settings.failureDomain())) {
			// A process that has just started takes the tables from a host that has them.
			this.channel.send(this.own.get(), List.of(beat.peerAddress()));
		}
		DesiredState state = this.shared.desired().current();
		if (beat.failureDomain().equals(this.settings.failureDomain())) {
			this.shared.limiter().recordRemoteUsage(state, beat.host(), beat.usage());
			this.speaker.heard(beat);
			if (beat.tablesVersion() > 0) {
				// The tables come from there, also while the store is away.
				this.settledMs = Math.min(this.settledMs, this.clock.millis());
			}
		}
		List<DomainDigest> ofOthers = news.stream()
			.filter((digest) -> !digest.failureDomain().equals(this.settings.failureDomain()))
			.toList();
		ofOthers.forEach((digest) -> {
			this.shared.limiter().recordRemoteUsage(state, source(digest), digest.accounts());
			takeNews(digest.failedTargets(), digest.recoveredTargets());
		});
		if (!beat.failureDomain().equals(this.settings.failureDomain()) && !ofOthers.isEmpty()) {
			this.toRelay.addAll(ofOthers);
			this.toRelayToAll.addAll(ofOthers);
			urgent();
		}
		takeNews(beat.failedTargets(), beat.recoveredTargets());
	}

	private void takeNews(List<String> failedTargets, List<String> soundTargets) {
		listed(failedTargets).forEach(this.shared.results()::recordRemoteFailure);
		listed(soundTargets).forEach(this.shared.results()::recordRemoteSuccess);
	}

	private List<ObservedTarget> listed(List<String> ids) {
		return ids.stream().map(this.shared.targets()::target).filter(Objects::nonNull).toList();
	}

	private static String source(DomainDigest digest) {
		return digest.failureDomain() + "/" + digest.host();
	}

	@Override
	public void failed(ObservedTarget target) {
		this.failed.add(target.listing().id());
		urgent();
	}

	@Override
	public void sound(ObservedTarget target) {
		this.sound.add(target.listing().id());
	}

	private void urgent() {
		if (this.beatPending.compareAndSet(false, true)) {
			this.loop.schedule(this::beatToCarrying, URGENT_MS, TimeUnit.MILLISECONDS);
		}
	}

	// An exception would end the periodic task, and with it the beats.
	private void lookSafely() {
		try {
			look();
		}
		catch (RuntimeException ex) {
			this.log.event("task-failed", "task", "beats", "problem", ex);
		}
	}

	private void look() {
		if (this.clock.millis() >= this.settledMs) {
			readDuty();
		}
		if (this.beats.due(this.tables.version(), this.tables.storeAgeMs(), this.clock.millis())) {
			beat();
		}
		else if (this.shared.meter().isReportUrgent()) {
			beatToCarrying();
		}
		shareTargets();
		if (this.clock.millis() - this.startedMs >= LEARNING_MS) {
			this.speaker.speak(this.own.get(), this.view.domainHosts(this.own.get()), this.clock.millis());
		}
	}

	private void shareTargets() {
		HostHeartbeat beat = this.own.get();
		List<HostHeartbeat> carrying = this.entries.select(this.view.domainHosts(beat));
		this.shared.share().assign(carrying.indexOf(beat), carrying.size());
		if (beat.acceptingCallers()) {
			// Before, a host that has just started may carry traffic soon, and needs its
			// part.
			this.shared.budget().setCarriesTraffic(this.shared.share().carriesTraffic());
		}
	}

	private void readDuty() {
		HostHeartbeat beat = this.own.get();
		List<HostHeartbeat> domain = this.view.domainHosts(beat);
		StoreReaderElection.Decision decision = this.duty.decide(domain.indexOf(beat), this.tables.complete(),
				this.tables.version(), this.view.peerReadStates(domain, beat), this.clock.millis());
		if (decision.readStore() != this.reading) {
			this.reading = decision.readStore();
			this.tables.follow(this.reading);
			this.log.event("read-duty", "readsStore", this.reading, "first", domain.get(0).host());
		}
		StoreReaderElection.PeerReadState ahead = decision.fetchFrom();
		if (ahead != null) {
			this.tables.fetch(this.peerTables.of(ahead.heartbeat().peerAddress()));
		}
	}

	private void beat() {
		this.toRelay.clear();
		beat(this.book.peersHere(), takeAll(this.toRelayToAll));
	}

	// Usage and news of targets in between go to the hosts that carry traffic and to the
	// one that speaks for the failure domain; all others stand by.
	private void beatToCarrying() {
		List<HostHeartbeat> domain = this.view.domainHosts(this.own.get());
		Set<String> peers = new HashSet<>();
		peers.add(domain.get(0).peerAddress());
		this.entries.select(domain).forEach((host) -> peers.add(host.peerAddress()));
		peers.remove(this.own.get().peerAddress());
		beat(peers, takeAll(this.toRelay));
	}

	private void beat(Collection<String> peers, List<DomainDigest> digests) {
		this.beatPending.set(false);
		long now = this.clock.millis();
		Map<String, AccountUsage> usage = this.shared.meter().takeReport(now - this.lastBeatMs);
		this.lastBeatMs = now;
		HostHeartbeat beat = ownBeat(usage, takeAll(this.failed), takeAll(this.sound));
		this.own.set(beat);
		this.channel.send(beat.withDigests(digests), peers);
		this.speaker.heard(beat);
		forgetSources(this.view.domainHosts(beat));
	}

	private HostHeartbeat ownBeat(Map<String, AccountUsage> usage, List<String> failedNow, List<String> soundNow) {
		HostHeartbeat before = this.own.get();
		boolean taking = this.shared.desired().current().isLoaded() && !this.stopping.getAsBoolean();
		return new HostHeartbeat(before.host(), before.startMs(), before.failureDomain(), before.callerAddress(),
				before.peerAddress(), before.cores(), taking, this.shared.desired().current().version(),
				this.tables.version(), this.tables.storeAgeMs(), usage, this.shared.meter().takeNearLimit(), failedNow,
				soundNow, List.of());
	}

	private static <T> List<T> takeAll(Queue<T> queue) {
		List<T> taken = new ArrayList<>();
		T next = queue.poll();
		while (next != null) {
			taken.add(next);
			next = queue.poll();
		}
		return taken;
	}

	private void forgetSources(List<HostHeartbeat> domain) {
		Set<String> sources = new HashSet<>();
		domain.forEach((beat) -> sources.add(beat.host()));
		this.view.otherDomains().forEach((digest) -> sources.add(source(digest)));
		this.shared.limiter().retainSources(this.shared.desired().current(), sources::contains);
	}

	/**
	 * Returns where callers of this failure domain may connect.
	 * @return addresses, empty while this host does not know the others
	 */
	List<String> callerAddresses() {
		List<HostHeartbeat> hosts = this.view.domainHosts(this.own.get());
		if (this.clock.millis() - this.startedMs < LEARNING_MS) {
			if (!this.book.isRead()) {
				return List.of();
			}
			hosts = this.book.withListed(hosts);
		}
		return this.entries.select(hosts).stream().map(HostHeartbeat::callerAddress).toList();
	}

	/**
	 * What the beats change and report.
	 *
	 * @param desired the desired state
	 * @param meter counts what this host passes on
	 * @param limiter takes what the others report
	 * @param targets the targets
	 * @param results takes what the others saw of targets
	 * @param share the targets that this host uses first
	 * @param budget this host's part of the attempts beyond the first
	 */
	record Shared(DesiredStateView desired, UsageMeter meter, EstimatingAccountLimiter limiter, TargetRegistry targets,
			AttemptRecorder results, TargetSubset share, RetryBudget budget) {
	}

}
