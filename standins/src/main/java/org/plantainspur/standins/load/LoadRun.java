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
 * Sends the planned requests at their intended times and follows each to its last
 * outcome.
 */
final class LoadRun {

	private static final double NANOS_PER_MILLI = 1_000_000;

	private static final long FIRST_LOCATE_MILLIS = 10_000;

	private static final long LOCATE_CHECK_MILLIS = 20;

	private final LoadSettings settings;

	private final LoadPlan plan;

	private final HttpSender sender;

	private final Destinations destinations;

	/** Makes the idempotency keys of this run differ from those of other runs. */
	private final String runId = UUID.randomUUID().toString().substring(0, 8);

	private final Map<LoadPlan.AccountShare, Tallies> tallies = new LinkedHashMap<>();

	/** Takes the requests of the warm-up, which the report leaves out. */
	private final Tally warmUp = new Tally();

	private final Semaphore outstanding;

	private long largestLagNanos;

	LoadRun(LoadSettings settings, LoadPlan plan, HttpSender sender, Destinations destinations) {
		this.settings = settings;
		this.plan = plan;
		this.sender = sender;
		this.destinations = destinations;
		this.outstanding = new Semaphore(settings.outstanding());
		plan.accounts().forEach((account) -> this.tallies.put(account, new Tallies(new Tally(), new Tally())));
	}

	LoadReport run() throws InterruptedException {
		waitForDestinations();
		long start = System.nanoTime();
		for (long number = 0; number < this.plan.count(); number++) {
			long intended = start + this.plan.offsetNanos(number);
			for (long left = intended - System.nanoTime(); left > 0; left = intended - System.nanoTime()) {
				LockSupport.parkNanos(left);
			}
			if (number >= this.plan.firstCounted()) {
				this.largestLagNanos = Math.max(this.largestLagNanos, System.nanoTime() - intended);
			}
			begin(this.plan.draw(number, intended));
		}
		double seconds = (System.nanoTime() - start) / NANOS_PER_MILLI / 1000 - this.settings.warmUpSeconds();
		long longest = this.settings.timeoutMillis() * (1 + this.settings.resend()) + 1000;
		if (this.outstanding.tryAcquire(this.settings.outstanding(), longest, TimeUnit.MILLISECONDS)) {
			this.outstanding.release(this.settings.outstanding());
		}
		return report(seconds);
	}

	private void waitForDestinations() throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FIRST_LOCATE_MILLIS);
		while (this.plan.accounts().stream().anyMatch((account) -> this.destinations.next(account) == null)
				&& System.nanoTime() < end) {
			Thread.sleep(LOCATE_CHECK_MILLIS);
		}
	}

	private void begin(LoadPlan.PlannedRequest request) {
		Tally tally = tally(request);
		if (!this.outstanding.tryAcquire()) {
			tally.error("tool-limit");
			return;
		}
		Destinations.Destination destination = this.destinations.next(request.account());
		if (destination == null) {
			tally.error("no-located-host");
			this.outstanding.release();
			return;
		}
		tally.sent();
		send(request, destination, new Attempt(destination.dispatchToken(), false, this.settings.resend()));
	}

	private void send(LoadPlan.PlannedRequest request, Destinations.Destination destination, Attempt attempt) {
		Map<String, String> headers = new HashMap<>();
		headers.put("X-Api-Key", request.account().key());
		if (!request.idempotent()) {
			headers.put("Idempotency-Key", attempt.dispatchToken() + "." + this.runId + "-" + request.number());
		}
		if (this.settings.deadlineMillis() > 0) {
			headers.put("X-Deadline-Ms", String.valueOf(this.settings.deadlineMillis()));
		}
		HttpSender.Message message = new HttpSender.Message(request.idempotent() ? "GET" : "POST",
				destination.address(), request.path(), headers,
				request.idempotent() ? "" : "{\"number\": " + request.number() + "}");
		this.sender.send(message, (reply) -> received(request, Outcome.of(reply), attempt));
	}

	private void received(LoadPlan.PlannedRequest request, Outcome outcome, Attempt attempt) {
		if (outcome.isNotSent()) {
			this.destinations.notConnected(request.account());
		}
		boolean again = outcome.isNotSent() || (!request.idempotent() && outcome.isUnknown());
		if (again && attempt.resends() > 0) {
			Destinations.@Nullable Destination next = this.destinations.next(request.account());
			if (next != null) {
				tally(request).resent();
				send(request, next, attempt.next(outcome, next.dispatchToken()));
				return;
			}
		}
		tally(request).end(outcome, System.nanoTime() - request.intendedNanos());
		this.outstanding.release();
	}

	private Tally tally(LoadPlan.PlannedRequest request) {
		if (request.number() < this.plan.firstCounted()) {
			return this.warmUp;
		}
		Tallies both = this.tallies.get(request.account());
		if (both == null) {
			throw new IllegalArgumentException("the account " + request.account().name() + " is not in the plan");
		}
		return request.idempotent() ? both.idempotent() : both.nonIdempotent();
	}

	private LoadReport report(double seconds) {
		Tally total = new Tally();
		List<LoadReport.Row> rows = new ArrayList<>();
		this.tallies.forEach((account, both) -> {
			both.idempotent().addTo(total);
			both.nonIdempotent().addTo(total);
			rows.add(both.idempotent().row(account.name(), "idempotent"));
			rows.add(both.nonIdempotent().row(account.name(), "non-idempotent"));
		});
		long asked = (this.destinations instanceof LocatedHosts hosts) ? hosts.asked() : 0;
		long failed = (this.destinations instanceof LocatedHosts hosts) ? hosts.failed() : 0;
		return new LoadReport(this.settings.rate(), seconds, this.largestLagNanos / NANOS_PER_MILLI, asked, failed,
				total.row("total", "all"), rows);
	}

	private record Tallies(Tally idempotent, Tally nonIdempotent) {
	}

	/**
	 * One sending of a request.
	 *
	 * @param dispatchToken the prefix of its idempotency key
	 * @param sentBefore whether an earlier sending with this key may have reached a host
	 * @param resends how often it may be sent again
	 */
	private record Attempt(String dispatchToken, boolean sentBefore, int resends) {

		// The key may change only while nothing was sent with it: the process that the
		// old token names may be the one that could not be reached.
		private Attempt next(Outcome outcome, String newestToken) {
			boolean sent = this.sentBefore || !outcome.isNotSent();
			return new Attempt(sent ? this.dispatchToken : newestToken, sent, this.resends - 1);
		}

	}

}
