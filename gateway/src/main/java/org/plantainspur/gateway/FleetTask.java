package org.plantainspur.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;

import org.plantainspur.core.desired.DesiredStateView;
import org.plantainspur.core.fleet.DemandMeter;
import org.plantainspur.core.fleet.DemandShareLimiter;
import org.plantainspur.core.fleet.DomainDemand;
import org.plantainspur.core.fleet.FleetView;
import org.plantainspur.core.fleet.HostBeat;
import org.plantainspur.core.fleet.Neighbours;
import org.plantainspur.core.store.Store;
import org.plantainspur.core.store.StoreAnswer;
import org.plantainspur.core.store.StoredRow;
import org.plantainspur.core.target.Target;
import org.plantainspur.core.target.TargetDirectory;
import org.plantainspur.core.target.TargetResults;
import org.plantainspur.core.time.Clock;
import org.plantainspur.gateway.peer.BeatChannel;
import org.plantainspur.gateway.peer.BeatCodec;

/**
 * Tells the other hosts about this one and takes what they tell. Runs on the control
 * thread.
 */
final class FleetTask {

	/** The table of the store in which hosts find each other. */
	private static final String HOSTS_TABLE = "plantainspur-hosts";

	private static final long BEAT_MS = 500;

	/** One in this many beats of the host that speaks goes to other failure domains. */
	private static final int DIGEST_EVERY = 2;

	/** Reading the hosts once after the start finds those that started together. */
	private static final long FIND_HOSTS_MS = 1_500;

	private static final long FIND_HOSTS_AGAIN_MS = 20_000;

	private static final long RETRY_MS = 1_000;

	private final GatewaySettings settings;

	private final Clock clock;

	private final DesiredStateView desired;

	private final DemandMeter meter;

	private final DemandShareLimiter limiter;

	private final TargetDirectory targets;

	private final TargetResults results;

	private final Store store;

	private final BooleanSupplier stopping;

	private final BeatCodec codec = new BeatCodec();

	private final FleetView view;

	private final BeatChannel channel;

	private final Queue<String> failed = new ConcurrentLinkedQueue<>();

	private final Map<String, HostBeat> known = new ConcurrentHashMap<>();

	private final AtomicReference<HostBeat> own;

	private long lastBeatMs;

	private int beats;

	FleetTask(GatewaySettings settings, Clock clock, DesiredStateView desired, DemandMeter meter,
			DemandShareLimiter limiter, TargetDirectory targets, TargetResults results, Store store,
			BooleanSupplier stopping, EventLoopGroup control) {
		this.settings = settings;
		this.clock = clock;
		this.desired = desired;
		this.meter = meter;
		this.limiter = limiter;
		this.targets = targets;
		this.results = results;
		this.store = store;
		this.stopping = stopping;
		this.view = new FleetView(new Neighbours(clock), clock);
		this.own = new AtomicReference<>(new HostBeat(settings.host(), System.currentTimeMillis(),
				settings.failureDomain(), text(settings.callerAddress()), text(settings.peerAddress()), false, -1,
				Map.of(), List.of(), List.of()));
		this.channel = new BeatChannel(settings.peerAddress(), control, this::heard);
	}

	private static String text(InetSocketAddress address) {
		return address.getHostString() + ":" + address.getPort();
	}

	void start(EventLoop loop) {
		this.lastBeatMs = this.clock.millis();
		loop.scheduleWithFixedDelay(this::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
		register(loop);
		loop.schedule(() -> findHosts(loop), FIND_HOSTS_MS, TimeUnit.MILLISECONDS);
	}

	private void register(EventLoop loop) {
		this.store.put(HOSTS_TABLE, this.settings.host(), this.codec.encode(this.own.get())).thenAccept((answer) -> {
			if (!(answer instanceof StoreAnswer.Rows)) {
				loop.schedule(() -> register(loop), RETRY_MS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private void findHosts(EventLoop loop) {
		this.store.list(HOSTS_TABLE, "").thenAccept((answer) -> {
			boolean read = answer instanceof StoreAnswer.Rows;
			if (answer instanceof StoreAnswer.Rows rows) {
				rows.rows().forEach(this::found);
			}
			loop.schedule(() -> findHosts(loop), read ? FIND_HOSTS_AGAIN_MS : RETRY_MS, TimeUnit.MILLISECONDS);
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
		this.view.heard(beat);
		this.known.put(beat.host(), beat);
		for (String id : beat.failedTargets()) {
			Target target = this.targets.target(id);
			if (target != null) {
				this.results.failedElsewhere(target);
			}
		}
	}

	/**
	 * Tells the hosts of this failure domain of a target's failure with the next beat.
	 * @param target the target
	 */
	void targetFailed(Target target) {
		this.failed.add(target.entry().id());
	}

	private void beat() {
		long now = this.clock.millis();
		Map<String, Double> demand = this.meter.update(now - this.lastBeatMs);
		this.lastBeatMs = now;
		List<String> failedNow = new ArrayList<>();
		String id = this.failed.poll();
		while (id != null) {
			failedNow.add(id);
			id = this.failed.poll();
		}
		HostBeat before = this.own.get();
		boolean taking = this.desired.current().known() && !this.stopping.getAsBoolean();
		HostBeat beat = new HostBeat(before.host(), before.start(), before.failureDomain(), before.callerAddress(),
				before.peerAddress(), taking, this.desired.current().version(), demand, failedNow, List.of());
		this.own.set(beat);
		List<HostBeat> domain = this.view.domain(beat);
		boolean speaks = this.view.speaks(domain, beat);
		HostBeat full = speaks ? withDigests(beat, this.view.others(beat.failureDomain())) : beat;
		this.channel.send(full, domainAddresses());
		if (speaks && this.beats++ % DIGEST_EVERY == 0) {
			DomainDemand sum = this.view.sum(domain, beat.failureDomain(), System.currentTimeMillis());
			this.channel.send(withDigests(beat, List.of(sum)), listenersElsewhere());
		}
		FleetView.Shares shares = this.view.shares(beat);
		this.limiter.shares(shares.byAccount(), shares.unknown());
	}

	private static HostBeat withDigests(HostBeat beat, List<DomainDemand> digests) {
		return new HostBeat(beat.host(), beat.start(), beat.failureDomain(), beat.callerAddress(), beat.peerAddress(),
				beat.taking(), beat.version(), beat.demand(), beat.failedTargets(), digests);
	}

	private List<String> domainAddresses() {
		return this.known.values()
			.stream()
			.filter((beat) -> beat.failureDomain().equals(this.settings.failureDomain()))
			.map(HostBeat::peerAddress)
			.toList();
	}

	// The speaker of another failure domain is the first by name that lives there; this
	// host does not know which live, so it tries the first few.
	private List<String> listenersElsewhere() {
		Map<String, List<HostBeat>> byDomain = new HashMap<>();
		this.known.values()
			.stream()
			.filter((beat) -> !beat.failureDomain().equals(this.settings.failureDomain()))
			.sorted((left, right) -> left.host().compareTo(right.host()))
			.forEach((beat) -> byDomain.computeIfAbsent(beat.failureDomain(), (name) -> new ArrayList<>()).add(beat));
		return byDomain.values()
			.stream()
			.flatMap((hosts) -> hosts.stream().limit(FleetView.LISTENERS_PER_DOMAIN))
			.map(HostBeat::peerAddress)
			.toList();
	}

	/**
	 * Returns where callers of a failure domain may connect.
	 * @param failureDomain the callers' failure domain
	 * @return addresses, this host's own included
	 */
	List<String> callerAddresses(String failureDomain) {
		return this.view.domain(this.own.get()).stream().filter(HostBeat::taking).map(HostBeat::callerAddress).toList();
	}

}
