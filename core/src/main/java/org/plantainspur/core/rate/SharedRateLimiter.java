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
import org.plantainspur.core.membership.HostAssignment;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.PeerProgress;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * Divides each account's rate and burst among its home hosts, which lend tokens to each
 * other and to other hosts. {@link #acquire} does not check whether the configuration is
 * current, so its caller must check that before and after the call, as the request
 * pipeline does.
 */
public final class SharedRateLimiter implements RateLimiter {

	/**
	 * The maximum time that a request waits for a token, if its deadline is not earlier.
	 */
	private static final long MAX_WAIT_MILLIS = 200;

	private static final long IDLE_TIMEOUT_MILLIS = 60_000;

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * The maximum retry time in a refusal, which applies to accounts with a rate below
	 * one request a minute.
	 */
	private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

	private final Clock clock;

	private final ConfigurationView view;

	private final CurrencyRule currency;

	private final PeerLink link;

	private final Member self;

	private final SharePlanner planner;

	private final ReleaseTracker releases;

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
		this.releases = new ReleaseTracker(Required.of(builder.progress, "progress"), builder.self, this.clock);
		this.history = new AtomicReference<>(ShareHistory.start(this.view.current(), this.clock.millis()));
		this.view.addListener((configuration) -> history());
	}

	/**
	 * Returns a builder on which every collaborator must be set.
	 * @param self the member that stands for this process
	 * @return a builder without collaborators
	 */
	public static Builder builder(Member self) {
		return new Builder(self);
	}

	@Override
	public RateDecision acquire(ClientAccount account, long deadlineMillis) {
		if (countAndTryTake(account) || waitForToken(account, deadlineMillis)) {
			return new RateDecision.Granted();
		}
		double millis = Math.ceil(MILLIS_PER_SECOND / account.ratePerSecond());
		return new RateDecision.Limited((long) Math.max(1, Math.min(MAX_RETRY_AFTER_MILLIS, millis)));
	}

	/**
	 * Adds a request to the estimate of demand and takes a token for it without waiting.
	 * @param account the account to charge
	 * @return whether a token was available
	 */
	boolean countAndTryTake(ClientAccount account) {
		limit(account).countArrival();
		return tryTake(account);
	}

	/**
	 * Takes a token for a request that is already in the estimate of demand.
	 * @param account the account to charge
	 * @return whether a token was available
	 */
	boolean tryTake(ClientAccount account) {
		while (true) {
			AccountLimit limit = limit(account);
			AccountTokens tokens = limit.take(currentDivisor(limit));
			if (!tokens.closed()) {
				return tokens.lastAmount() > 0;
			}
			this.limits.remove(account.id(), limit);
		}
	}

	private boolean waitForToken(ClientAccount account, long deadlineMillis) {
		long waitEndMillis = Math.min(deadlineMillis, this.clock.millis() + MAX_WAIT_MILLIS);
		AccountLimit limit = limit(account);
		if (this.clock.millis() >= waitEndMillis || !limit.tryStartWaiting()) {
			return false;
		}
		try {
			for (long remaining = waitEndMillis - this.clock.millis(); remaining > 0; remaining = waitEndMillis
					- this.clock.millis()) {
				CompletableFuture<Void> loan = limit.nextLoan();
				if (tryTake(account)) {
					return true;
				}
				if (!this.loanWait.await(loan, limit.recheckDelayMillis(remaining))) {
					return false;
				}
			}
			return tryTake(account);
		}
		finally {
			limit.stopWaiting();
		}
	}

	/**
	 * Lends tokens of this host's share to another host.
	 * @param request the account and the amount that the borrower asks for
	 * @return the loan; its amount is 0 if this host has no tokens to spare, does not
	 * know the account or is not current
	 */
	public PeerMessage.Lent lend(PeerMessage.Borrow request) {
		ClientAccount account = this.view.current().account(request.accountId());
		if (account == null || request.milliTokens() <= 0
				|| !(this.currency.check() instanceof CurrencyRule.Currency.Current)) {
			return new PeerMessage.Lent(0);
		}
		AccountLimit limit = limit(account);
		long requested = Math.min(request.milliTokens(), Long.MAX_VALUE / TokenAmounts.MILLI_TOKEN)
				* TokenAmounts.MILLI_TOKEN;
		return new PeerMessage.Lent(limit.lend(currentDivisor(limit), requested) / TokenAmounts.MILLI_TOKEN);
	}

	/**
	 * Stops using and lending this host's own shares permanently. Called before the
	 * resignation is written to the change log; later requests are served from loans.
	 */
	public void resign() {
		this.resigned.set(true);
	}

	/**
	 * Records which changes all other members have in force, so that a share that this
	 * host gains is usable before the account's first request. Called every 100 ms.
	 */
	public void pollReleases() {
		this.releases.poll(history());
	}

	/**
	 * Drops the state of accounts that have been idle for a minute and whose bucket is
	 * full. Called every few seconds.
	 */
	public void dropIdle() {
		this.limits.forEach((id, limit) -> {
			if (limit.closeIfIdle(currentDivisor(limit), IDLE_TIMEOUT_MILLIS)) {
				this.limits.remove(id, limit);
			}
		});
	}

	/**
	 * Returns how many accounts have state at this host.
	 * @return the number of accounts
	 */
	public int accountCount() {
		return this.limits.size();
	}

	// Prefers the account of the current configuration, since the caller's may come from
	// an older one.
	AccountLimit limit(ClientAccount requested) {
		ShareHistory latest = history();
		ClientAccount newest = latest.current().account(requested.id());
		ClientAccount account = (newest != null) ? newest : requested;
		long now = this.clock.millis();
		AccountLimit limit = this.limits.get(account.id());
		if (limit == null) {
			limit = this.limits.computeIfAbsent(account.id(),
					(id) -> new AccountLimit(this.planner.plan(latest, account, now), this.self.hostId(), this.link,
							this.clock));
		}
		SharePlan plan = limit.plan();
		if (!plan.isFor(latest, account) && plan.history().current().sequence() <= latest.current().sequence()) {
			limit.replacePlan(plan, this.planner.plan(latest, account, now).withReleaseOf(plan));
		}
		return limit;
	}

	// Called for every request, so that a lost share is no longer used even if the
	// listener has not run yet.
	private ShareHistory history() {
		Configuration configuration = this.view.current();
		ShareHistory latest = this.history.get();
		if (latest.current() == configuration) {
			return latest;
		}
		long now = this.clock.millis();
		return this.history.updateAndGet((before) -> before.advance(configuration, now));
	}

	private int currentDivisor(AccountLimit limit) {
		if (this.resigned.get()) {
			return 0;
		}
		SharePlan plan = limit.plan();
		SharePlan updated = this.releases.applyRelease(plan);
		if (updated != plan) {
			limit.replacePlan(plan, updated);
		}
		return updated.divisor(this.clock.millis());
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

		private @Nullable HostAssignment homeHosts;

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

		public Builder homeHosts(HostAssignment homeHosts) {
			this.homeHosts = homeHosts;
			return this;
		}

		public Builder progress(PeerProgress progress) {
			this.progress = progress;
			return this;
		}

		// Visible for tests, which replace the wait.
		Builder loanWait(LoanWait loanWait) {
			this.loanWait = loanWait;
			return this;
		}

		public SharedRateLimiter build() {
			return new SharedRateLimiter(this);
		}

	}

}
