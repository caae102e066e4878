package org.plantainspur.core.rate;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.finding.Required;
import org.plantainspur.core.membership.HomeHosts;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.PeerProgress;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * Divides each account's rate and burst among its home hosts, which lend tokens to each
 * other and to other hosts. A caller of {@link #acquire} must check the currency of the
 * configuration before and after, as the request pipeline does.
 */
public final class SharedRateLimiter implements RateLimiter {

	private static final long LONGEST_WAIT_MILLIS = 200;

	private static final long IDLE_MILLIS = 60_000;

	private static final double MILLIS_PER_SECOND = 1000;

	private static final long LONGEST_RETRY_MILLIS = 60_000;

	private final Clock clock;

	private final ConfigurationView view;

	private final CurrencyRule currency;

	private final PeerLink link;

	private final Member self;

	private final SharePlanner planner;

	private final ReleaseWatch releases;

	private final LoanWait loanWait;

	private final AtomicReference<ShareHistory> history;

	private final AtomicBoolean resigned = new AtomicBoolean();

	private final ConcurrentMap<String, AccountLimit> limits = new ConcurrentHashMap<>();

	private SharedRateLimiter(Builder builder) {
		this.clock = Required.of(builder.clock, "clock");
		this.view = Required.of(builder.view, "view");
		this.currency = Required.of(builder.currency, "currency");
		this.link = Required.of(builder.link, "link");
		this.self = builder.self;
		this.loanWait = builder.loanWait;
		this.planner = new SharePlanner(Required.of(builder.homeHosts, "homeHosts"), builder.self);
		this.releases = new ReleaseWatch(Required.of(builder.progress, "progress"), builder.self, this.clock);
		this.history = new AtomicReference<>(ShareHistory.start(this.view.current(), this.clock.millis()));
		this.view.listen((configuration) -> history());
	}

	/**
	 * Returns a builder; every collaborator must be set.
	 * @param self this process
	 * @return the builder
	 */
	public static Builder builder(Member self) {
		return new Builder(self);
	}

	@Override
	public RateDecision acquire(ClientAccount account, long deadlineMillis) {
		if (arrive(account) || waitForToken(account, deadlineMillis)) {
			return new RateDecision.Granted();
		}
		double millis = Math.ceil(MILLIS_PER_SECOND / account.ratePerSecond());
		return new RateDecision.Limited((long) Math.max(1, Math.min(LONGEST_RETRY_MILLIS, millis)));
	}

	/**
	 * Counts a request and takes a token for it without waiting.
	 * @param account the account
	 * @return whether there was a token
	 */
	boolean arrive(ClientAccount account) {
		limit(account).arrived();
		return take(account);
	}

	/**
	 * Takes a token for a request that has been counted.
	 * @param account the account
	 * @return whether there was a token
	 */
	boolean take(ClientAccount account) {
		while (true) {
			AccountLimit limit = limit(account);
			Tokens after = limit.take(divisor(limit));
			if (!after.closed()) {
				return after.moved() > 0;
			}
			this.limits.remove(account.id(), limit);
		}
	}

	private boolean waitForToken(ClientAccount account, long deadlineMillis) {
		long until = Math.min(deadlineMillis, this.clock.millis() + LONGEST_WAIT_MILLIS);
		AccountLimit limit = limit(account);
		if (this.clock.millis() >= until || !limit.startWaiting()) {
			return false;
		}
		try {
			for (long left = until - this.clock.millis(); left > 0; left = until - this.clock.millis()) {
				CompletableFuture<Void> loan = limit.nextLoan();
				if (take(account)) {
					return true;
				}
				if (!this.loanWait.await(loan, limit.lookAgainAfter(left))) {
					return false;
				}
			}
			return take(account);
		}
		finally {
			limit.stopWaiting();
		}
	}

	/**
	 * Lends tokens to another host.
	 * @param request the host's request
	 * @return the loan, of nothing if this host has none to give
	 */
	public PeerMessage.Lent lend(PeerMessage.Borrow request) {
		ClientAccount account = this.view.current().account(request.accountId());
		if (account == null || request.milliTokens() <= 0
				|| !(this.currency.check() instanceof CurrencyRule.Currency.Current)) {
			return new PeerMessage.Lent(0);
		}
		AccountLimit limit = limit(account);
		long wanted = Math.min(request.milliTokens(), Long.MAX_VALUE / Amounts.MILLI_TOKEN) * Amounts.MILLI_TOKEN;
		return new PeerMessage.Lent(limit.lend(divisor(limit), wanted) / Amounts.MILLI_TOKEN);
	}

	/**
	 * Stops using and lending this host's own shares for good. Called before the
	 * resignation is written; requests are then served from loans.
	 */
	public void resign() {
		this.resigned.set(true);
	}

	/**
	 * Notes which changes all other members have in force, so that gained shares start in
	 * time for the first requests. Called every 100 ms.
	 */
	public void watchReleases() {
		this.releases.poll(history());
	}

	/**
	 * Drops the state of accounts that are not in use. Called every few seconds.
	 */
	public void dropIdle() {
		this.limits.forEach((id, limit) -> {
			if (limit.closeIfIdle(divisor(limit), IDLE_MILLIS)) {
				this.limits.remove(id, limit);
			}
		});
	}

	/**
	 * Returns the number of accounts with state at this host.
	 * @return the number
	 */
	public int accounts() {
		return this.limits.size();
	}

	// The caller may have read the account from an older configuration.
	AccountLimit limit(ClientAccount seen) {
		ShareHistory present = history();
		ClientAccount newest = present.current().account(seen.id());
		ClientAccount account = (newest != null) ? newest : seen;
		long now = this.clock.millis();
		AccountLimit limit = this.limits.get(account.id());
		if (limit == null) {
			limit = this.limits.computeIfAbsent(account.id(),
					(id) -> new AccountLimit(this.planner.plan(present, account, now), this.self.hostId(), this.link,
							this.clock));
		}
		SharePlan plan = limit.plan();
		if (!plan.isFor(present, account) && plan.history().current().sequence() <= present.current().sequence()) {
			limit.plan(plan, this.planner.plan(present, account, now).following(plan));
		}
		return limit;
	}

	// Read for every request: a lost share stops at once, even before the listener runs.
	private ShareHistory history() {
		Configuration configuration = this.view.current();
		ShareHistory present = this.history.get();
		if (present.current() == configuration) {
			return present;
		}
		long now = this.clock.millis();
		return this.history.updateAndGet((before) -> before.learn(configuration, now));
	}

	private int divisor(AccountLimit limit) {
		if (this.resigned.get()) {
			return 0;
		}
		SharePlan plan = limit.plan();
		SharePlan seen = this.releases.observe(plan);
		if (seen != plan) {
			limit.plan(plan, seen);
		}
		return seen.divisor(this.clock.millis());
	}

	/**
	 * Builds a {@link SharedRateLimiter}.
	 */
	public static final class Builder {

		private final Member self;

		private @Nullable Clock clock;

		private @Nullable ConfigurationView view;

		private @Nullable CurrencyRule currency;

		private @Nullable PeerLink link;

		private @Nullable HomeHosts homeHosts;

		private @Nullable PeerProgress progress;

		private LoanWait loanWait = LoanWait.PARKED;

		Builder(Member self) {
			this.self = self;
		}

		public Builder clock(Clock clock) {
			this.clock = clock;
			return this;
		}

		public Builder view(ConfigurationView view) {
			this.view = view;
			return this;
		}

		public Builder currency(CurrencyRule currency) {
			this.currency = currency;
			return this;
		}

		public Builder link(PeerLink link) {
			this.link = link;
			return this;
		}

		public Builder homeHosts(HomeHosts homeHosts) {
			this.homeHosts = homeHosts;
			return this;
		}

		public Builder progress(PeerProgress progress) {
			this.progress = progress;
			return this;
		}

		// Only tests set another wait.
		Builder loanWait(LoanWait loanWait) {
			this.loanWait = loanWait;
			return this;
		}

		public SharedRateLimiter build() {
			return new SharedRateLimiter(this);
		}

	}

}
