package org.plantainspur.core.rate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.currency.ReadAgeCurrencyRule;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.RendezvousHostAssignment;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.ManualClock;

/**
 * One simulated process with a rate limiter. It polls the platform for the configuration
 * and learns from heartbeats which changes the other members have in force.
 */
final class SimulatedHost {

	private static final String PLATFORM = "platform";

	final Member member;

	final ManualClock clock = new ManualClock();

	final ConfigurationView view = new ConfigurationView();

	final RateLimiter limiter;

	boolean alive = true;

	boolean resigned;

	private final SimulatedNetwork network;

	private final double clockRate;

	private final long startMillis;

	private final CurrencyRule currency;

	private final Map<String, Long> reportedSequences = new HashMap<>();

	private final List<Runnable> deferredActions = new ArrayList<>();

	private long pausedUntilMillis;

	private long lastReadMillis = Long.MIN_VALUE / 2;

	SimulatedHost(Member member, SimulatedNetwork network, double clockRate,
			Function<SimulatedHost, RateLimiter> limiter) {
		this.member = member;
		this.network = network;
		this.clockRate = clockRate;
		this.startMillis = network.now();
		// Each host's clock starts at another reading, up to 17 minutes ahead.
		this.clock.advance(member.hostId().hashCode() & 0xfffff);
		this.currency = new ReadAgeCurrencyRule(() -> this.clock.millis() - this.lastReadMillis);
		this.limiter = limiter.apply(this);
	}

	static RateLimiter sharedRateLimiter(SimulatedHost host, HostLookup hosts) {
		return SharedRateLimiter.builder(host.member)
			.clock(host.clock)
			.view(host.view)
			.currency(host.currency)
			.homeHosts(new RendezvousHostAssignment())
			.progress((holder, sequence) -> host.reportedSequences.getOrDefault(holder.processId(), -1L) >= sequence)
			.link((member, message, timeout) -> host.ask(hosts, member, (PeerMessage.Borrow) message))
			.build();
	}

	private CompletableFuture<PeerMessage> ask(HostLookup hosts, Member to, PeerMessage.Borrow message) {
		CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
		String from = this.member.hostId();
		this.network.countBorrowMessage();
		this.network.send(from, to.hostId(), () -> {
			SimulatedHost lender = hosts.at(to.hostId());
			lender.run(() -> {
				PeerMessage.Lent lent = ((SharedRateLimiter) lender.limiter).lend(message);
				this.network.send(to.hostId(), from, () -> run(() -> reply.complete(lent)));
			});
		});
		return reply;
	}

	/**
	 * Runs an action in this process, or as soon as the process is no longer paused.
	 * @param action the action, dropped if the process has ended
	 */
	void run(Runnable action) {
		if (!this.alive) {
			return;
		}
		if (paused()) {
			this.deferredActions.add(action);
		}
		else {
			action.run();
		}
	}

	void pause(long millis) {
		this.pausedUntilMillis = this.network.now() + millis;
	}

	boolean paused() {
		return this.network.now() < this.pausedUntilMillis;
	}

	void tick() {
		long elapsedMillis = (long) ((this.network.now() - this.startMillis) * this.clockRate);
		long clockOffset = this.member.hostId().hashCode() & 0xfffff;
		this.clock.advance(elapsedMillis + clockOffset - this.clock.millis());
		if (!paused() && !this.deferredActions.isEmpty()) {
			List<Runnable> due = List.copyOf(this.deferredActions);
			this.deferredActions.clear();
			due.forEach(Runnable::run);
		}
	}

	void poll(Supplier<Configuration> platform) {
		if (paused()) {
			return;
		}
		long requestMillis = this.clock.millis();
		String self = this.member.hostId();
		this.network.send(self, PLATFORM, () -> {
			Configuration read = platform.get();
			this.network.send(PLATFORM, self, () -> run(() -> {
				this.view.advance(read);
				this.lastReadMillis = Math.max(this.lastReadMillis, requestMillis);
			}));
		});
	}

	void heartbeat(HostLookup hosts, Iterable<String> hostIds) {
		long sequence = this.view.current().sequence();
		for (String to : hostIds) {
			this.network.send(this.member.hostId(), to, () -> {
				SimulatedHost receiver = hosts.at(to);
				receiver.run(() -> receiver.reportedSequences.merge(this.member.processId(), sequence, Math::max));
			});
		}
	}

	void pollReleases() {
		if (!paused() && this.limiter instanceof SharedRateLimiter shared) {
			shared.pollReleases();
		}
	}

	boolean mayServe() {
		return this.alive && !paused() && this.currency.check() instanceof CurrencyRule.Currency.Current;
	}

	boolean tryTake(String accountId) {
		ClientAccount account = this.view.current().account(accountId);
		return mayServe() && account != null
				&& this.limiter.acquire(account, this.clock.millis()) instanceof RateLimiter.RateDecision.Granted;
	}

	/**
	 * Finds the process that runs at a host.
	 */
	@FunctionalInterface
	interface HostLookup {

		SimulatedHost at(String hostId);

	}

}
