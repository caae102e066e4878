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
import org.plantainspur.core.currency.FencingByAge;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.RendezvousHomeHosts;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.ManualClock;

/**
 * One process with a limiter, which learns of the configuration and of other members as
 * the design says.
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

	private final long bornMillis;

	private final CurrencyRule currency;

	private final Map<String, Long> heard = new HashMap<>();

	private final List<Runnable> deferred = new ArrayList<>();

	private long frozenUntil;

	private long lastRead = Long.MIN_VALUE / 2;

	SimulatedHost(Member member, SimulatedNetwork network, double clockRate,
			Function<SimulatedHost, RateLimiter> limiter) {
		this.member = member;
		this.network = network;
		this.clockRate = clockRate;
		this.bornMillis = network.now();
		this.clock.advance(member.hostId().hashCode() & 0xfffff);
		this.currency = new FencingByAge(() -> this.clock.millis() - this.lastRead);
		this.limiter = limiter.apply(this);
	}

	static RateLimiter shared(SimulatedHost host, Directory directory) {
		return SharedRateLimiter.builder(host.member)
			.clock(host.clock)
			.view(host.view)
			.currency(host.currency)
			.homeHosts(new RendezvousHomeHosts())
			.progress((holder, sequence) -> host.heard.getOrDefault(holder.processId(), -1L) >= sequence)
			.link((member, message, timeout) -> host.ask(directory, member, (PeerMessage.Borrow) message))
			.build();
	}

	private CompletableFuture<PeerMessage> ask(Directory directory, Member to, PeerMessage.Borrow message) {
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		String from = this.member.hostId();
		this.network.countBorrowMessage();
		this.network.send(from, to.hostId(), () -> {
			SimulatedHost lender = directory.at(to.hostId());
			lender.run(() -> {
				PeerMessage.Lent lent = ((SharedRateLimiter) lender.limiter).lend(message);
				this.network.send(to.hostId(), from, () -> run(() -> answer.complete(lent)));
			});
		});
		return answer;
	}

	/**
	 * Runs an action in this process, after it wakes if it is frozen.
	 * @param action the action
	 */
	void run(Runnable action) {
		if (!this.alive) {
			return;
		}
		if (frozen()) {
			this.deferred.add(action);
		}
		else {
			action.run();
		}
	}

	void freeze(long millis) {
		this.frozenUntil = this.network.now() + millis;
	}

	boolean frozen() {
		return this.network.now() < this.frozenUntil;
	}

	void tick() {
		long reading = (long) ((this.network.now() - this.bornMillis) * this.clockRate);
		long origin = this.member.hostId().hashCode() & 0xfffff;
		this.clock.advance(reading + origin - this.clock.millis());
		if (!frozen() && !this.deferred.isEmpty()) {
			List<Runnable> due = List.copyOf(this.deferred);
			this.deferred.clear();
			due.forEach(Runnable::run);
		}
	}

	void poll(Supplier<Configuration> platform) {
		if (frozen()) {
			return;
		}
		long asked = this.clock.millis();
		String self = this.member.hostId();
		this.network.send(self, PLATFORM, () -> {
			Configuration read = platform.get();
			this.network.send(PLATFORM, self, () -> run(() -> {
				this.view.advance(read);
				this.lastRead = Math.max(this.lastRead, asked);
			}));
		});
	}

	void heartbeat(Directory directory, Iterable<String> hostIds) {
		long sequence = this.view.current().sequence();
		for (String to : hostIds) {
			this.network.send(this.member.hostId(), to, () -> {
				SimulatedHost receiver = directory.at(to);
				receiver.run(() -> receiver.heard.merge(this.member.processId(), sequence, Math::max));
			});
		}
	}

	void watchReleases() {
		if (!frozen() && this.limiter instanceof SharedRateLimiter shared) {
			shared.watchReleases();
		}
	}

	boolean mayServe() {
		return this.alive && !frozen() && this.currency.check() instanceof CurrencyRule.Currency.Current;
	}

	boolean take(String accountId) {
		ClientAccount account = this.view.current().account(accountId);
		return mayServe() && account != null
				&& this.limiter.acquire(account, this.clock.millis()) instanceof RateLimiter.RateDecision.Granted;
	}

	/**
	 * Finds the process that answers at a host.
	 */
	@FunctionalInterface
	interface Directory {

		SimulatedHost at(String hostId);

	}

}
