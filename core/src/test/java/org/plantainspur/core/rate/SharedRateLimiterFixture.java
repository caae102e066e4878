package org.plantainspur.core.rate;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.RendezvousHostAssignment;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;
import org.plantainspur.core.time.ManualClock;

/**
 * Base class of tests of a rate limiter. The test controls its clock, its configuration,
 * whether that is current, and the replies of its peers.
 */
abstract class SharedRateLimiterFixture {

	static final ClientAccount ACCOUNT = new ClientAccount("harbor-clinic", 1000, 3);

	final ManualClock clock = new ManualClock();

	final ConfigurationView view = new ConfigurationView();

	final Member self = Member.builder("pdx-1", "p1").build();

	final Member other = Member.builder("pdx-2", "p2").build();

	final List<CompletableFuture<PeerMessage>> loanReplies = new CopyOnWriteArrayList<>();

	/** Whether all other members have released the shares that they held before. */
	final AtomicReference<Boolean> released = new AtomicReference<>(false);

	final AtomicReference<CurrencyRule.Currency> currency = new AtomicReference<>(new CurrencyRule.Currency.Current());

	SharedRateLimiter limiter(Clock clock) {
		return builder(clock).build();
	}

	// The process p3 has always released its shares, whatever the test sets.
	SharedRateLimiter.Builder builder(Clock clock) {
		return SharedRateLimiter.builder(this.self)
			.clock(clock)
			.view(this.view)
			.currency(this.currency::get)
			.homeHosts(new RendezvousHostAssignment())
			.progress((holder, sequence) -> this.released.get() || holder.processId().equals("p3"))
			.link((member, message, timeout) -> {
				this.loanReplies.add(new CompletableFuture<>());
				return this.loanReplies.get(this.loanReplies.size() - 1);
			});
	}

	void append(Change change) {
		Configuration present = this.view.current();
		this.view.advance(present.apply(new ChangeEntry(present.sequence() + 1, "c", change)));
	}

}
