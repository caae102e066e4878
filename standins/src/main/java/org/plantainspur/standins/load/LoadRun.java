package org.plantainspur.standins.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.jspecify.annotations.Nullable;

/**
 * Sends the planned requests at their intended times, sends them again where that is
 * allowed, and records the final outcome of each.
 */
final class LoadRun {

	private static final double NANOS_PER_MILLI = 1_000_000;

	/**
	 * The longest wait before the first request until each account has a destination.
	 * Requests are sent after it in any case; those without a destination count as
	 * errors.
	 */
	private static final long FIRST_LOCATE_TIMEOUT_MILLIS = 10_000;

	private static final long LOCATE_POLL_INTERVAL_MILLIS = 20;

	private final LoadSettings settings;

	private final LoadPlan plan;

	private final HttpSender sender;

	private final DestinationSelector destinations;

	/** Makes the idempotency keys of this run differ from those of other runs. */
	private final String runId = UUID.randomUUID().toString().substring(0, 8);

	private final Map<LoadPlan.AccountShare, AccountStatistics> statistics = new LinkedHashMap<>();

	/** Counts the requests of the warm-up, which the report leaves out. */
	private final RequestStatistics warmUp = new RequestStatistics();

	private final Semaphore outstandingPermits;

	private long largestSendLagNanos;

	LoadRun(LoadSettings settings, LoadPlan plan, HttpSender sender, DestinationSelector destinations) {
		this.settings = settings;
		this.plan = plan;
		this.sender = sender;
		this.destinations = destinations;
		this.outstandingPermits = new Semaphore(settings.outstanding());
		plan.accounts()
			.forEach((account) -> this.statistics.put(account,
					new AccountStatistics(new RequestStatistics(), new RequestStatistics())));
	}

	LoadReport run() throws InterruptedException {
		waitForDestinations();
		long startNanos = System.nanoTime();
		for (long number = 0; number < this.plan.requestCount(); number++) {
			long intendedNanos = startNanos + this.plan.offsetNanos(number);
			for (long remainingNanos = intendedNanos
					- System.nanoTime(); remainingNanos > 0; remainingNanos = intendedNanos - System.nanoTime()) {
				LockSupport.parkNanos(remainingNanos);
			}
			if (number >= this.plan.firstReportedNumber()) {
				this.largestSendLagNanos = Math.max(this.largestSendLagNanos, System.nanoTime() - intendedNanos);
			}
			start(this.plan.nextRequest(number, intendedNanos));
		}
		double seconds = (System.nanoTime() - startNanos) / NANOS_PER_MILLI / 1000 - this.settings.warmUpSeconds();
		// Waits until no request is outstanding, at most for one timeout per attempt of
		// a request and one second more.
		long drainTimeoutMillis = this.settings.timeoutMillis() * (1 + this.settings.resend()) + 1000;
		if (this.outstandingPermits.tryAcquire(this.settings.outstanding(), drainTimeoutMillis,
				TimeUnit.MILLISECONDS)) {
			this.outstandingPermits.release(this.settings.outstanding());
		}
		return report(seconds);
	}

	private void waitForDestinations() throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FIRST_LOCATE_TIMEOUT_MILLIS);
		while (this.plan.accounts().stream().anyMatch((account) -> this.destinations.select(account) == null)
				&& System.nanoTime() < endNanos) {
			Thread.sleep(LOCATE_POLL_INTERVAL_MILLIS);
		}
	}

	private void start(LoadPlan.PlannedRequest request) {
		RequestStatistics requestStatistics = statisticsFor(request);
		if (!this.outstandingPermits.tryAcquire()) {
			requestStatistics.recordError("tool-limit");
			return;
		}
		DestinationSelector.Destination destination = this.destinations.select(request.account());
		if (destination == null) {
			requestStatistics.recordError("no-located-host");
			this.outstandingPermits.release();
			return;
		}
		requestStatistics.recordSent();
		send(request, destination, new Attempt(destination.dispatchToken(), false, this.settings.resend()));
	}

	private void send(LoadPlan.PlannedRequest request, DestinationSelector.Destination destination, Attempt attempt) {
		Map<String, String> headers = new HashMap<>();
		headers.put("X-Api-Key", request.account().key());
		if (!request.idempotent()) {
			headers.put("Idempotency-Key", attempt.dispatchToken() + "." + this.runId + "-" + request.number());
		}
		if (this.settings.deadlineMillis() > 0) {
			headers.put("X-Deadline-Ms", String.valueOf(this.settings.deadlineMillis()));
		}
		HttpSender.OutgoingRequest outgoing = new HttpSender.OutgoingRequest(request.idempotent() ? "GET" : "POST",
				destination.address(), request.path(), headers,
				request.idempotent() ? "" : "{\"number\": " + request.number() + "}");
		this.sender.send(outgoing, (reply) -> handleReply(request, Outcome.of(reply), attempt));
	}

	private void handleReply(LoadPlan.PlannedRequest request, Outcome outcome, Attempt attempt) {
		if (outcome.isNotSent()) {
			this.destinations.connectFailed(request.account());
		}
		boolean mayResend = outcome.isNotSent() || (!request.idempotent() && outcome.isUnknown());
		if (mayResend && attempt.remainingResends() > 0) {
			DestinationSelector.@Nullable Destination next = this.destinations.select(request.account());
			if (next != null) {
				statisticsFor(request).recordResent();
				send(request, next, attempt.resend(outcome, next.dispatchToken()));
				return;
			}
		}
		statisticsFor(request).recordOutcome(outcome, System.nanoTime() - request.intendedNanos());
		this.outstandingPermits.release();
	}

	private RequestStatistics statisticsFor(LoadPlan.PlannedRequest request) {
		if (request.number() < this.plan.firstReportedNumber()) {
			return this.warmUp;
		}
		AccountStatistics byClass = this.statistics.get(request.account());
		if (byClass == null) {
			throw new IllegalArgumentException("the account " + request.account().name() + " is not in the plan");
		}
		return request.idempotent() ? byClass.idempotent() : byClass.nonIdempotent();
	}

	private LoadReport report(double seconds) {
		RequestStatistics total = new RequestStatistics();
		List<LoadReport.Row> rows = new ArrayList<>();
		this.statistics.forEach((account, byClass) -> {
			byClass.idempotent().addTo(total);
			byClass.nonIdempotent().addTo(total);
			rows.add(byClass.idempotent().toRow(account.name(), "idempotent"));
			rows.add(byClass.nonIdempotent().toRow(account.name(), "non-idempotent"));
		});
		long locates = (this.destinations instanceof LocatedHostSelector hosts) ? hosts.locateCount() : 0;
		long failedLocates = (this.destinations instanceof LocatedHostSelector hosts) ? hosts.failedLocateCount() : 0;
		return new LoadReport(this.settings.rate(), seconds, this.largestSendLagNanos / NANOS_PER_MILLI, locates,
				failedLocates, total.toRow("total", "all"), rows);
	}

	private record AccountStatistics(RequestStatistics idempotent, RequestStatistics nonIdempotent) {
	}

	/**
	 * One attempt to send a request.
	 *
	 * @param dispatchToken the prefix of the idempotency key of this attempt
	 * @param sentBefore whether an earlier attempt with this key may have reached a host
	 * @param remainingResends how often the request may be sent again
	 */
	private record Attempt(String dispatchToken, boolean sentBefore, int remainingResends) {

		// The key changes only if nothing was sent with it, because the process that the
		// old token names may be the one that could not be reached. Once a request may
		// have arrived, only the same key prevents it from running twice.
		private Attempt resend(Outcome outcome, String newestToken) {
			boolean sent = this.sentBefore || !outcome.isNotSent();
			return new Attempt(sent ? this.dispatchToken : newestToken, sent, this.remainingResends - 1);
		}

	}

}
