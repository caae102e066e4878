package org.plantainspur.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.desired.DesiredStateView;
import org.plantainspur.core.fleet.EstimatingAccountLimiter;
import org.plantainspur.core.fleet.UsageMeter;
import org.plantainspur.core.health.SequentialCrashQuarantine;
import org.plantainspur.core.log.DecisionLog;
import org.plantainspur.core.proxy.AdmissionControl;
import org.plantainspur.core.proxy.BufferBudget;
import org.plantainspur.core.proxy.RetryBudget;
import org.plantainspur.core.proxy.RetryRules;
import org.plantainspur.core.proxy.ShutdownSchedule;
import org.plantainspur.core.reach.DirectPaths;
import org.plantainspur.core.reach.ProbeSchedule;
import org.plantainspur.core.reach.Reachability;
import org.plantainspur.core.reach.RelayAdmission;
import org.plantainspur.core.reach.RelayHosts;
import org.plantainspur.core.reach.RelayKey;
import org.plantainspur.core.store.PooledStore;
import org.plantainspur.core.store.Scheduler;
import org.plantainspur.core.target.AttemptRecorder;
import org.plantainspur.core.target.DomainLimitShare;
import org.plantainspur.core.target.HostLocation;
import org.plantainspur.core.target.LowestCostSelector;
import org.plantainspur.core.target.ObservedTarget;
import org.plantainspur.core.target.StatementPermits;
import org.plantainspur.core.target.TargetIncarnation;
import org.plantainspur.core.target.TargetPermits;
import org.plantainspur.core.target.TargetRegistry;
import org.plantainspur.core.target.TargetStatement;
import org.plantainspur.core.target.TargetStatements;
import org.plantainspur.core.target.TargetSubset;
import org.plantainspur.core.time.Clock;
import org.plantainspur.gateway.http.CallerChannels;
import org.plantainspur.gateway.http.CallerServer;
import org.plantainspur.gateway.http.EndpointServer;
import org.plantainspur.gateway.http.EventLoopHttpClient;
import org.plantainspur.gateway.http.EventLoopPaths;
import org.plantainspur.gateway.http.PathComponents;
import org.plantainspur.gateway.http.ProxyComponents;
import org.plantainspur.gateway.http.RelayProof;
import org.plantainspur.gateway.http.RelayServer;
import org.plantainspur.gateway.http.StartupLatch;
import org.plantainspur.gateway.log.ExternalNames;
import org.plantainspur.gateway.log.FailureReporter;
import org.plantainspur.gateway.log.GatewayMetrics;
import org.plantainspur.gateway.peer.PeerTableReaders;

/**
 * An entry host for small machines: proxies callers' requests, follows the platform's
 * store, and exchanges heartbeats with the other hosts. For example
 * {@code new GatewayHost(settings, platform, log).start()}.
 */
public final class GatewayHost implements AutoCloseable {

	/**
	 * The threads that carry requests. One core is enough for a host's share of the
	 * traffic; the second thread keeps one long task from delaying every request.
	 */
	private static final int REQUEST_THREADS = 2;

	/**
	 * How long callers may cache a response of the directory. Some callers keep it three
	 * times as long, and none may still connect to a stopping host at the end of its
	 * grace period.
	 */
	private static final long DIRECTORY_LIFETIME_MS = 1_000;

	/**
	 * The fraction of the fleet's retry budget that the hosts together may spend. The
	 * rest is a margin, as a host that begins to carry traffic starts with a full token
	 * bucket while the other hosts may still have unspent tokens.
	 */
	private static final double RETRY_BUDGET_FRACTION = 0.7;

	/**
	 * The heap is this many times the memory for bodies. The rest holds the classes'
	 * data, tables, connections and what is garbage between two collections.
	 */
	private static final int HEAP_PER_BUFFER_BUDGET = 3;

	/** How long a stop waits for threads that do not end. */
	private static final long MAX_THREADS_END_MS = 50;

	private final GatewaySettings settings;

	private final PlatformAdapter platform;

	private final DecisionLog log;

	private final Clock clock = Clock.system();

	private final DesiredStateView desiredState = new DesiredStateView();

	private final StartupLatch startupLatch = new StartupLatch();

	private final GatewayMetrics metrics = new GatewayMetrics();

	private final FailureReporter failures;

	private final AtomicInteger openRequests = new AtomicInteger();

	private final CallerChannels callerChannels = new CallerChannels();

	private final GatewayShutdown shutdown;

	private final List<Channel> channels = new ArrayList<>();

	private final EventLoopGroup controlLoops = new NioEventLoopGroup(1, new DefaultThreadFactory("control", true));

	private final EventLoopGroup requestLoops = new NioEventLoopGroup(REQUEST_THREADS,
			new DefaultThreadFactory("requests"));

	private final TargetRegistry targets = new TargetRegistry(this.clock);

	private final RelayKey relayKey = RelayKey.random();

	/** Set when the host starts, before anything uses it. */
	private final AtomicReference<@Nullable EventLoopPaths> eventLoopPaths = new AtomicReference<>();

	/**
	 * Creates a host that is not started yet.
	 * @param settings the host's settings
	 * @param platform translates between the platform's formats and the types of the core
	 * @param log receives the host's decisions
	 */
	public GatewayHost(GatewaySettings settings, PlatformAdapter platform, DecisionLog log) {
		this.settings = settings;
		this.platform = platform;
		this.log = log;
		this.failures = new FailureReporter(log, this.metrics);
		this.shutdown = new GatewayShutdown(this.openRequests::get, new ShutdownSchedule(settings.graceMs()),
				this.callerChannels, log);
	}

	/**
	 * Binds the host's ports and begins to read the store; does not wait until the host
	 * is ready.
	 * @return the handle that stops the host gracefully
	 */
	public GatewayShutdown start() {
		EventLoop controlLoop = this.controlLoops.next();
		UsageMeter meter = new UsageMeter();
		int trafficHostCount = Math.max(1, this.settings.regions().size()) * GossipTask.TRAFFIC_HOSTS_PER_DOMAIN;
		EstimatingAccountLimiter limiter = new EstimatingAccountLimiter(this.clock, meter, trafficHostCount);
		PooledStore store = this.platform.store(new EventLoopHttpClient(controlLoop, this.settings.storeAddress()));
		HostLocation location = new HostLocation(this.settings.failureDomain(), this.settings.regions());
		AttemptRecorder attemptRecorder = new AttemptRecorder(this.clock);
		TargetStatements targetStatements = new TargetStatements(this.clock, this::targetStatementChanged);
		DomainLimitShare limitShare = new DomainLimitShare(location, GossipTask.TRAFFIC_HOSTS_PER_DOMAIN, this.clock);
		TargetPermits targetPermits = new StatementPermits(this.targets, targetStatements, limitShare, this.clock);
		TargetSubset targetSubset = new TargetSubset();
		Scheduler scheduler = (delay, task) -> controlLoop.schedule(() -> this.failures.run("store", task), delay,
				TimeUnit.MILLISECONDS);
		StoreSynchronizer storeSynchronizer = new StoreSynchronizer(this.platform, store, this.clock, scheduler,
				this.settings.changeDelays(), this.desiredState, this.targets, this.startupLatch, this.log,
				this.metrics);
		this.metrics.gauge("state_age_ms", storeSynchronizer::stateAgeMs);
		RetryBudget retryBudget = new RetryBudget(this.clock, this.settings.retryRatio() * RETRY_BUDGET_FRACTION,
				this.settings.retryConstant() * RETRY_BUDGET_FRACTION / trafficHostCount,
				this.settings.retryWindowMs());
		SequentialCrashQuarantine quarantine = new SequentialCrashQuarantine(this.clock,
				() -> ThreadLocalRandom.current().nextLong());
		AtomicReference<Runnable> pathClosedListener = new AtomicReference<>(() -> {
		});
		DirectPaths directPaths = new DirectPaths(this.targets, this.clock, () -> pathClosedListener.get().run());
		RelayHosts relayHosts = new RelayHosts(this.settings.host(), location, this.clock);
		ProbeSchedule probes = new ProbeSchedule(directPaths, this.targets,
				() -> ThreadLocalRandom.current().nextDouble());
		GossipTask gossip = new GossipTask(this.settings, this.clock,
				new GossipTask.HostState(this.desiredState, meter, limiter, this.targets, attemptRecorder, targetSubset,
						retryBudget, quarantine, targetStatements, limitShare,
						new PathMonitor.Paths(directPaths, relayHosts, probes, this.targets), this.relayKey),
				store, storeSynchronizer, this.shutdown::stopping, this::probe, controlLoop, this.log, this.metrics);
		pathClosedListener.set(() -> {
			relayHosts.pathClosed();
			gossip.checkPathsSoon();
		});
		PathComponents paths = new PathComponents(directPaths, relayHosts,
				new RelayAdmission(this.targets, targetPermits, directPaths, this.shutdown::stopping), this.relayKey,
				new RelayProof(this.platform.headerNames()));
		ProxyComponents components = new ProxyComponents(this.clock, this.platform.headerNames(), this.startupLatch,
				this.desiredState, new AdmissionControl(limiter, () -> ThreadLocalRandom.current().nextDouble()),
				new LowestCostSelector(this.targets, attemptRecorder, targetSubset, location, targetPermits,
						new Reachability(directPaths, relayHosts, location), this.settings.floorShare(), this.clock,
						() -> ThreadLocalRandom.current().nextDouble()),
				attemptRecorder, targetStatements, targetPermits, paths, quarantine, new RetryRules(retryBudget),
				retryBudget, gossip, this.shutdown,
				new BufferBudget(Runtime.getRuntime().maxMemory() / HEAP_PER_BUFFER_BUDGET), this.failures, this.log,
				this.metrics);
		EventLoopPaths loopPaths = new EventLoopPaths(components);
		this.eventLoopPaths.set(loopPaths);
		CallerServer callerServer = new CallerServer(components, loopPaths, this.requestLoops, this.openRequests,
				this.callerChannels);
		gossip.start();
		this.channels.add(callerServer.listen(this.settings.callerAddress()));
		serveEndpoints(gossip, storeSynchronizer);
		this.channels.add(new RelayServer(components, loopPaths, this.openRequests).listen(this.settings.relayAddress(),
				this.requestLoops));
		this.log.event("started", "host", this.settings.host(), "failureDomain", this.settings.failureDomain());
		return this.shutdown;
	}

	private void probe(List<ObservedTarget> probed) {
		EventLoopPaths loopPaths = this.eventLoopPaths.get();
		if (loopPaths != null && !probed.isEmpty()) {
			loopPaths.probe(this.requestLoops.next(), probed);
		}
	}

	private void targetStatementChanged(TargetIncarnation target, TargetStatement statement,
			TargetStatements.Source source) {
		this.metrics.count("target_statements_total", ExternalNames.of(source));
		this.log.event("target-statement", "id", target.id(), "requestsPerSecond",
				statement.limited() ? statement.requestsPerSecond() : "unlimited", "leaving", statement.leaving(),
				"source", ExternalNames.of(source));
	}

	private void serveEndpoints(GossipTask gossip, StoreSynchronizer storeSynchronizer) {
		serve(this.settings.readyAddress(), endpoints().endpoint(this.platform.readyPath(), (query) -> readiness()));
		serve(this.settings.directoryAddress(), endpoints().endpoint(this.platform.directoryPath(),
				this.platform.directoryEndpoint(gossip::callerAddresses, DIRECTORY_LIFETIME_MS)));
		serve(this.settings.metricsAddress(), endpoints().endpoint("/metrics",
				(query) -> EndpointServer.Response.text(200, "text/plain; version=0.0.4", this.metrics.text())));
		serve(this.settings.peerAddress(), endpoints().endpoint(PeerTableReaders.PATH, storeSynchronizer::answerPeer));
	}

	private EndpointServer endpoints() {
		return new EndpointServer((problem) -> this.failures.failed("endpoint", problem));
	}

	private void serve(InetSocketAddress address, EndpointServer server) {
		this.channels.add(server.listen(address, this.controlLoops));
	}

	/**
	 * Returns the addresses on which the host listens for TCP connections.
	 * @return the address of the callers' port, then those of the endpoints for
	 * readiness, the directory, metrics, peers and relayed requests
	 */
	public List<InetSocketAddress> addresses() {
		return this.channels.stream().map((channel) -> (InetSocketAddress) channel.localAddress()).toList();
	}

	/**
	 * Stops the host gracefully and ends its threads; blocks until the process may end. A
	 * JVM that exits waits 310 ms for threads in native code, such as event loops that
	 * wait for connections, which a short grace period does not have left.
	 */
	public void stop() {
		this.shutdown.stop();
		endThreads();
		this.controlLoops.terminationFuture().awaitUninterruptibly(MAX_THREADS_END_MS);
		this.requestLoops.terminationFuture().awaitUninterruptibly(MAX_THREADS_END_MS);
	}

	/**
	 * Stops the host at once, as a kill of its process would; blocks until its threads
	 * have ended.
	 */
	@Override
	public void close() {
		endThreads();
		this.controlLoops.terminationFuture().syncUninterruptibly();
		this.requestLoops.terminationFuture().syncUninterruptibly();
	}

	private void endThreads() {
		this.controlLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
		this.requestLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	private EndpointServer.Response readiness() {
		boolean ready = this.desiredState.current().isLoaded() && !this.shutdown.stopping()
				&& !this.targets.ids().isEmpty();
		return EndpointServer.Response.text(ready ? 200 : 503, "text/plain", ready ? "ready" : "not ready");
	}

}
