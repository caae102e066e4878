package org.plantainspur.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;

import org.plantainspur.core.desired.DesiredStateView;
import org.plantainspur.core.fleet.EstimatingAccountLimiter;
import org.plantainspur.core.fleet.UsageMeter;
import org.plantainspur.core.log.DecisionLog;
import org.plantainspur.core.proxy.AdmissionControl;
import org.plantainspur.core.proxy.RetryBudget;
import org.plantainspur.core.proxy.RetryRules;
import org.plantainspur.core.store.Scheduler;
import org.plantainspur.core.store.Store;
import org.plantainspur.core.target.AttemptRecorder;
import org.plantainspur.core.target.HostLocation;
import org.plantainspur.core.target.LowestCostSelector;
import org.plantainspur.core.target.TargetRegistry;
import org.plantainspur.core.target.TargetSubset;
import org.plantainspur.core.time.Clock;
import org.plantainspur.gateway.http.CallerServer;
import org.plantainspur.gateway.http.HttpCalls;
import org.plantainspur.gateway.http.PageServer;
import org.plantainspur.gateway.http.ProxyParts;
import org.plantainspur.gateway.http.StartGate;
import org.plantainspur.gateway.log.GatewayMetrics;
import org.plantainspur.gateway.peer.PeerTables;

/**
 * An entry host for small machines: proxies callers' requests, follows the store, and
 * tells the other hosts about itself. For example
 * {@code new GatewayHost(settings, ports, log).start()}.
 */
public final class GatewayHost implements AutoCloseable {

	/**
	 * Two threads carry requests. One core is enough for a host's share of the traffic;
	 * the second thread keeps one long task from delaying every request.
	 */
	private static final int REQUEST_THREADS = 2;

	/**
	 * Callers ask again after this time, and some only after three times as long; a host
	 * that stops must not have callers any more when its grace time ends.
	 */
	private static final long DIRECTORY_VALID_MS = 1_000;

	/**
	 * The part of the fleet's retry budget that is used. The rest is a margin for hosts
	 * that begin to carry traffic, with a full budget, and for what the other hosts have
	 * saved.
	 */
	private static final double RETRY_BUDGET_USED = 0.7;

	private final GatewaySettings settings;

	private final PlatformPorts ports;

	private final DecisionLog log;

	private final Clock clock = Clock.system();

	private final DesiredStateView desired = new DesiredStateView();

	private final StartGate gate = new StartGate();

	private final GatewayMetrics metrics = new GatewayMetrics();

	private final AtomicInteger openRequests = new AtomicInteger();

	private final GracefulStop stop;

	private final List<Channel> listening = new ArrayList<>();

	private final EventLoopGroup control = new NioEventLoopGroup(1, new DefaultThreadFactory("control", true));

	private final EventLoopGroup requests = new NioEventLoopGroup(REQUEST_THREADS,
			new DefaultThreadFactory("requests"));

	private final TargetRegistry targets = new TargetRegistry(this.clock);

	public GatewayHost(GatewaySettings settings, PlatformPorts ports, DecisionLog log) {
		this.settings = settings;
		this.ports = ports;
		this.log = log;
		this.stop = new GracefulStop(this.openRequests::get, settings.graceMs(), log);
	}

	/**
	 * Starts to listen and to read the store; returns at once.
	 * @return what stops the host
	 */
	public GracefulStop start() {
		EventLoop loop = this.control.next();
		UsageMeter meter = new UsageMeter();
		int carrying = Math.max(1, this.settings.regions().size()) * FleetTask.ENTRY_HOSTS;
		EstimatingAccountLimiter limiter = new EstimatingAccountLimiter(this.clock, meter, carrying);
		Store store = this.ports.store(new HttpCalls(loop, this.settings.storeAddress()));
		HostLocation place = new HostLocation(this.settings.failureDomain(), this.settings.regions());
		AttemptRecorder results = new AttemptRecorder(this.clock);
		TargetSubset share = new TargetSubset();
		Scheduler scheduler = (delay, task) -> loop.schedule(() -> runSafely(task), delay, TimeUnit.MILLISECONDS);
		StoreTask tables = new StoreTask(this.ports, store, this.clock, scheduler, this.settings.changeApplyMs(),
				this.desired, this.targets, this.gate, this.log);
		RetryBudget budget = new RetryBudget(this.clock, this.settings.retryRatio() * RETRY_BUDGET_USED,
				this.settings.retryConstant() * RETRY_BUDGET_USED / carrying, this.settings.retryWindowMs());
		FleetTask fleet = new FleetTask(this.settings, this.clock,
				new FleetTask.Shared(this.desired, meter, limiter, this.targets, results, share, budget), store, tables,
				this.stop::stopping, loop, this.log);
		ProxyParts parts = new ProxyParts(this.clock, this.ports.headers(), this.gate, this.desired,
				new AdmissionControl(limiter, () -> ThreadLocalRandom.current().nextDouble()),
				new LowestCostSelector(this.targets, results, share, place, this.settings.floorShare(), this.clock,
						() -> ThreadLocalRandom.current().nextDouble()),
				results, new RetryRules(budget), budget, fleet, this.stop, this.log, this.metrics);
		CallerServer callers = new CallerServer(parts, this.requests, this.openRequests);
		fleet.start();
		this.listening.add(callers.listen(this.settings.callerAddress()));
		listenForPages(fleet, tables);
		this.log.event("started", "host", this.settings.host(), "failureDomain", this.settings.failureDomain());
		return this.stop;
	}

	private void runSafely(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			this.log.event("task-failed", "task", "store", "problem", ex);
		}
	}

	private void listenForPages(FleetTask fleet, StoreTask tables) {
		page(this.settings.readyAddress(), new PageServer().page(this.ports.readyPath(), (query) -> ready()));
		page(this.settings.directoryAddress(), new PageServer().page(this.ports.directoryPath(),
				this.ports.directoryPage(fleet::callerAddresses, DIRECTORY_VALID_MS)));
		page(this.settings.metricsAddress(), new PageServer().page("/metrics",
				(query) -> PageServer.Page.text(200, "text/plain; version=0.0.4", this.metrics.text())));
		page(this.settings.peerAddress(), new PageServer().page(PeerTables.PATH, tables::peerPage));
	}

	private void page(InetSocketAddress address, PageServer server) {
		this.listening.add(server.listen(address, this.control));
	}

	/**
	 * Returns where the host listens.
	 * @return the addresses of its callers' port and its pages
	 */
	public List<InetSocketAddress> addresses() {
		return this.listening.stream().map((channel) -> (InetSocketAddress) channel.localAddress()).toList();
	}

	/**
	 * Ends the host at once, as the end of its process would.
	 */
	@Override
	public void close() {
		this.control.shutdownGracefully(0, 0, TimeUnit.SECONDS);
		this.requests.shutdownGracefully(0, 0, TimeUnit.SECONDS);
		this.control.terminationFuture().syncUninterruptibly();
		this.requests.terminationFuture().syncUninterruptibly();
	}

	private PageServer.Page ready() {
		boolean ready = this.desired.current().isLoaded() && !this.stop.stopping() && !this.targets.ids().isEmpty();
		return PageServer.Page.text(ready ? 200 : 503, "text/plain", ready ? "ready" : "not ready");
	}

}
