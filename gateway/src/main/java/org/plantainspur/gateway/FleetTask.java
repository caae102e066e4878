package org.plantainspur.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;

import org.plantainspur.core.desired.DesiredState;
import org.plantainspur.core.desired.DesiredStateView;
import org.plantainspur.core.fleet.DigestSchedule;
import org.plantainspur.core.fleet.DomainTally;
import org.plantainspur.core.fleet.DomainUsage;
import org.plantainspur.core.fleet.EntryChoice;
import org.plantainspur.core.fleet.FirstHostsChoice;
import org.plantainspur.core.fleet.FleetLimiter;
import org.plantainspur.core.fleet.FleetView;
import org.plantainspur.core.fleet.HostBeat;
import org.plantainspur.core.fleet.Neighbours;
import org.plantainspur.core.fleet.ReadDuty;
import org.plantainspur.core.fleet.Usage;
import org.plantainspur.core.fleet.UsageMeter;
import org.plantainspur.core.log.DecisionLog;
import org.plantainspur.core.store.Store;
import org.plantainspur.core.store.StoreAnswer;
import org.plantainspur.core.store.StoredRow;
import org.plantainspur.core.target.Target;
import org.plantainspur.core.target.TargetDirectory;
import org.plantainspur.core.target.TargetResults;
import org.plantainspur.core.time.Clock;
import org.plantainspur.gateway.http.ProxyParts;
import org.plantainspur.gateway.peer.BeatChannel;
import org.plantainspur.gateway.peer.BeatCodec;
import org.plantainspur.gateway.peer.PeerTables;

/**
 * Tells the other hosts about this one and takes what they tell. Runs on the control
 * thread.
 */
final class FleetTask implements ProxyParts.TargetNews {

	/** The table of the store in which hosts find each other. */
	private static final String HOSTS_TABLE = "plantainspur-hosts";

	private static final long BEAT_MS = 500;

	/** How often it is looked whether the others should be told sooner. */
	private static final long LOOK_MS = 100;

	/** Failures that come together go out together. */
	private static final long URGENT_MS = 10;

	/**
	 * Two digests of another failure domain may be lost before its speaker counts as
	 * down.
	 */
	private static final long SPEAKER_SILENCE_MS = 7_000;

	/** By then beats of all hosts of the failure domain have come. */
	private static final long LEARNING_MS = 1_500;

	/** Hosts of a failure domain that callers are sent to. */
	static final int ENTRY_HOSTS = 3;

	/** Finds hosts whose beats were all lost. */
	private static final long FIND_HOSTS_AGAIN_MS = 60_000;

	private static final long RETRY_MS = 1_000;

	private final GatewaySettings settings;

	private final Clock clock;

	private final DesiredStateView desired;

	private final UsageMeter meter;

	private final FleetLimiter limiter;

	private final TargetDirectory targets;

	private final TargetResults results;

	private final Store store;

	private final StoreTask tables;

	private final PeerTables peerTables;

	private final ReadDuty duty = new ReadDuty();

	private final BooleanSupplier stopping;

	private final BeatCodec codec = new BeatCodec();

	private final FleetView view;

	private final BeatChannel channel;

	private final Queue<String> failed = new ConcurrentLinkedQueue<>();

	private final Queue<String> sound = new ConcurrentLinkedQueue<>();

	private final Map<String, HostBeat> known = new ConcurrentHashMap<>();

	private final AtomicReference<HostBeat> own;

	private final DomainTally tally = new DomainTally();

	private final DigestSchedule digestSchedule = new DigestSchedule();

	private final EntryChoice entries = new FirstHostsChoice(ENTRY_HOSTS);

	private final AtomicBoolean beatPending = new AtomicBoolean();

	private final EventLoop loop;

	private final DecisionLog log;

	private boolean reading = true;

	private volatile boolean foundHosts;

	private final long startedMs;

	private long lastBeatMs;

	FleetTask(GatewaySettings settings, Clock clock, DesiredStateView desired, UsageMeter meter, FleetLimiter limiter,
			TargetDirectory targets, TargetResults results, Store store, StoreTask tables, BooleanSupplier stopping,
			EventLoop loop, DecisionLog log) {
		this.log = log;
		this.loop = loop;
		this.startedMs = clock.millis();
		this.settings = settings;
		this.clock = clock;
		this.desired = desired;
		this.meter = meter;
		this.limiter = limiter;
		this.targets = targets;
		this.results = results;
		this.store = store;
		this.tables = tables;
		this.peerTables = new PeerTables(loop);
		this.stopping = stopping;
		this.view = new FleetView(new Neighbours(clock), clock);
		this.own = new AtomicReference<>(new HostBeat(settings.host(), System.currentTimeMillis(),
				settings.failureDomain(), text(settings.callerAddress()), text(settings.peerAddress()), false, -1, 0,
				Long.MAX_VALUE / 4, Map.of(), false, List.of(), List.of(), List.of()));
		this.channel = new BeatChannel(settings.peerAddress(), loop, this::heard);
	}

	private static String text(InetSocketAddress address) {
		return address.getHostString() + ":" + address.getPort();
	}

	void start() {
		this.lastBeatMs = this.clock.millis();
		this.loop.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
		register();
	}

	private void register() {
		this.store.put(HOSTS_TABLE, this.settings.host(), this.codec.encode(this.own.get())).thenAccept((answer) -> {
			if (answer instanceof StoreAnswer.Rows) {
				// Of two hosts the one that registers later finds the other.
				findHosts();
			}
			else {
				this.loop.schedule(this::register, RETRY_MS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private void findHosts() {
		this.store.list(HOSTS_TABLE, "").thenAccept((answer) -> {
			boolean read = answer instanceof StoreAnswer.Rows;
			if (answer instanceof StoreAnswer.Rows rows) {
				rows.rows().forEach(this::found);
				this.foundHosts = true;
			}
			this.loop.schedule(this::findHosts, read ? FIND_HOSTS_AGAIN_MS : RETRY_MS, TimeUnit.MILLISECONDS);
		});
	}

	private void found(StoredRow row) {
		HostBeat beat = this.codec.decode(row.value());
		if (beat != null && !beat.host().equals(this.settings.host())) {
			this.known.putIfAbsent(beat.host(), beat);
		}
	}

	private void heard(HostBeat beat) {
		if (beat.host().equals(this.settings.host())) {
			return;
		}
		List<DomainUsage> news = this.view.heard(beat);
		this.known.put(beat.host(), beat);
		DesiredState state = this.desired.current();
		if (beat.failureDomain().equals(this.settings.failureDomain())) {
			this.limiter.reported(state, beat.host(), beat.usage());
		}
		news.stream()
			.filter((digest) -> !digest.failureDomain().equals(this.settings.failureDomain()))
			.forEach((digest) -> this.limiter.reported(state, source(digest), digest.accounts()));
		known(beat.failedTargets()).forEach(this.results::failedElsewhere);
		known(beat.soundTargets()).forEach(this.results::succeededElsewhere);
	}

	private List<Target> known(List<String> ids) {
		return ids.stream().map(this.targets::target).filter(Objects::nonNull).toList();
	}

	private static String source(DomainUsage digest) {
		return digest.failureDomain() + "/" + digest.host();
	}

	@Override
	public void failed(Target target) {
		this.failed.add(target.entry().id());
		urgent();
	}

	@Override
	public void sound(Target target) {
		this.sound.add(target.entry().id());
	}

	private void urgent() {
		if (this.beatPending.compareAndSet(false, true)) {
			this.loop.schedule(this::beat, URGENT_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void look() {
		readDuty();
		boolean newer = this.tables.version() > this.own.get().tablesVersion();
		if (newer || this.clock.millis() - this.lastBeatMs >= BEAT_MS || this.meter.urgent()) {
			beat();
		}
	}

	private void readDuty() {
		HostBeat beat = this.own.get();
		List<HostBeat> domain = this.view.domain(beat);
		ReadDuty.Decision decision = this.duty.decide(domain.get(0).host().equals(beat.host()), this.tables.complete(),
				this.tables.version(), this.view.readings(domain, beat), this.clock.millis());
		if (decision.readStore() != this.reading) {
			this.reading = decision.readStore();
			this.tables.follow(this.reading);
			this.log.event("read-duty", "readsStore", this.reading, "first", domain.get(0).host());
		}
		ReadDuty.Reading ahead = decision.ahead();
		if (ahead != null) {
			this.tables.fetch(this.peerTables.of(ahead.beat().peerAddress()));
		}
	}

	private void beat() {
		this.beatPending.set(false);
		long now = this.clock.millis();
		Map<String, Usage> usage = this.meter.report(now - this.lastBeatMs);
		this.lastBeatMs = now;
		HostBeat beat = ownBeat(usage, takeAll(this.failed), takeAll(this.sound));
		this.own.set(beat);
		List<HostBeat> domain = this.view.domain(beat);
		int rank = domain.indexOf(beat);
		boolean relays = rank < FleetView.LISTENERS_PER_DOMAIN;
		this.channel.send(relays ? beat.withDigests(this.view.others(beat.failureDomain())) : beat, domainAddresses());
		if (rank == 0 && now - this.startedMs >= LEARNING_MS) {
			Map<String, Usage> sums = this.tally.sum(domain);
			if (this.digestSchedule.due(sums, domain.stream().anyMatch(HostBeat::pressed), now)) {
				DomainUsage digest = new DomainUsage(beat.failureDomain(), beat.host(), System.currentTimeMillis(),
						sums);
				this.channel.send(beat.withDigests(List.of(digest)), listenersElsewhere());
			}
		}
		forgetSources(domain);
	}

	private HostBeat ownBeat(Map<String, Usage> usage, List<String> failedNow, List<String> soundNow) {
		HostBeat before = this.own.get();
		boolean taking = this.desired.current().known() && !this.stopping.getAsBoolean();
		return new HostBeat(before.host(), before.start(), before.failureDomain(), before.callerAddress(),
				before.peerAddress(), taking, this.desired.current().version(), this.tables.version(),
				this.tables.storeAgeMs(), usage, this.meter.takePressed(), failedNow, soundNow, List.of());
	}

	private static List<String> takeAll(Queue<String> queue) {
		List<String> taken = new ArrayList<>();
		String next = queue.poll();
		while (next != null) {
			taken.add(next);
			next = queue.poll();
		}
		return taken;
	}

	private void forgetSources(List<HostBeat> domain) {
		Set<String> sources = new HashSet<>();
		domain.forEach((beat) -> sources.add(beat.host()));
		this.view.others(this.settings.failureDomain()).forEach((digest) -> sources.add(source(digest)));
		this.limiter.retain(this.desired.current(), sources::contains);
	}

	private List<String> domainAddresses() {
		return this.known.values()
			.stream()
			.filter((beat) -> beat.failureDomain().equals(this.settings.failureDomain()))
			.map(HostBeat::peerAddress)
			.toList();
	}

	// The host that spoke last for another failure domain lives there; of a domain that
	// was
	// not heard, the first few are tried.
	private List<String> listenersElsewhere() {
		Map<String, List<HostBeat>> byDomain = new HashMap<>();
		this.known.values()
			.stream()
			.filter((beat) -> !beat.failureDomain().equals(this.settings.failureDomain()))
			.sorted((left, right) -> left.host().compareTo(right.host()))
			.forEach((beat) -> byDomain.computeIfAbsent(beat.failureDomain(), (name) -> new ArrayList<>()).add(beat));
		return byDomain.values()
			.stream()
			.flatMap((hosts) -> listeners(hosts).stream())
			.map(HostBeat::peerAddress)
			.toList();
	}

	private List<HostBeat> listeners(List<HostBeat> hosts) {
		List<HostBeat> heard = hosts.stream().filter((beat) -> this.view.silenceMs(beat) < SPEAKER_SILENCE_MS).toList();
		return heard.isEmpty() ? hosts.stream().limit(FleetView.LISTENERS_PER_DOMAIN).toList() : heard.subList(0, 1);
	}

	/**
	 * Returns where callers of this failure domain may connect.
	 * @return addresses, empty while this host does not know the others
	 */
	List<String> callerAddresses() {
		HostBeat beat = this.own.get();
		long sinceStartMs = this.clock.millis() - this.startedMs;
		List<HostBeat> hosts = this.view.domain(beat);
		if (sinceStartMs < LEARNING_MS) {
			if (!this.foundHosts) {
				return List.of();
			}
			hosts = withListed(hosts);
		}
		return this.entries.choose(hosts).stream().map(HostBeat::callerAddress).toList();
	}

	// Beats of the others have not come yet. If each host named itself only, all of them
	// would carry traffic after a restart of the whole fleet.
	private List<HostBeat> withListed(List<HostBeat> heard) {
		Map<String, HostBeat> hosts = new TreeMap<>();
		this.known.values()
			.stream()
			.filter((beat) -> beat.failureDomain().equals(this.settings.failureDomain()))
			.forEach((beat) -> hosts.put(beat.host(), beat.presumedTaking()));
		heard.forEach((beat) -> hosts.put(beat.host(), beat.presumedTaking()));
		return List.copyOf(hosts.values());
	}

}
