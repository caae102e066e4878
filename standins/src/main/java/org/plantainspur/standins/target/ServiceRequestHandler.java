package org.plantainspur.standins.target;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

import org.plantainspur.standins.http.BadRequestException;
import org.plantainspur.standins.http.Handler;
import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.Response;
import org.plantainspur.standins.http.ServerExchange;

/**
 * Runs service requests in a limited number of slots, with the failures of the behaviour
 * in force.
 */
final class ServiceRequestHandler implements Handler {

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	private final TargetState state;

	private final RunRecords records;

	private final CrashInjector crashInjector;

	ServiceRequestHandler(TargetState state, RunRecords records, CrashInjector crashInjector) {
		this.state = state;
		this.records = records;
		this.crashInjector = crashInjector;
	}

	@Override
	public void handle(ServerExchange exchange) throws IOException {
		long deadlineMillis = parseDeadlineMillis(exchange.request());
		long startNanos = System.nanoTime();
		TargetState.ActiveBehaviour active = this.state.activeBehaviour();
		Behaviour behaviour = active.behaviour();
		boolean shed = ThreadLocalRandom.current().nextDouble() < behaviour.shedFraction();
		if (active.isRefusing() || shed || !this.state.acquireSlot(Math.min(behaviour.queueMillis(), deadlineMillis))) {
			exchange.respond(withDrainHeader(Response.text(SERVICE_UNAVAILABLE, "").withHeader("X-Not-Run", "true")));
			return;
		}
		try {
			long waitedMillis = (System.nanoTime() - startNanos) / 1_000_000;
			if (deadlineMillis <= waitedMillis) {
				exchange
					.respond(withDrainHeader(Response.text(SERVICE_UNAVAILABLE, "").withHeader("X-Not-Run", "true")));
				return;
			}
			run(exchange, active, deadlineMillis - waitedMillis);
		}
		finally {
			this.state.releaseSlot();
		}
	}

	private void run(ServerExchange exchange, TargetState.ActiveBehaviour active, long remainingMillis)
			throws IOException {
		Request request = exchange.request();
		this.records.recordStart(request);
		Behaviour.Crash crash = active.behaviour().crash();
		if (crash != null && this.crashInjector.matches(crash, request)) {
			this.crashInjector.crash(crash);
			exchange.reset();
			return;
		}
		PlannedResponse planned = plan(request, active);
		if (!exchange.waitWhileConnected((long) Math.min(planned.millis(), remainingMillis))) {
			this.records.recordCancellation(request);
			exchange.reset();
			return;
		}
		if (planned.millis() > remainingMillis) {
			this.records.recordCancellation(request);
			exchange.respond(withDrainHeader(
					Response.text(GATEWAY_TIMEOUT, "cancelled at its deadline after it had started\n")));
			return;
		}
		Response response = withDrainHeader(Response.text(planned.status(), responseText(request)));
		switch (planned.ending()) {
			case COMPLETE -> exchange.respond(response);
			case TRUNCATED -> exchange.truncate(response);
			case RESET -> exchange.reset();
		}
	}

	private PlannedResponse plan(Request request, TargetState.ActiveBehaviour active) {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		double millis = active.behaviour().serviceTime().sample(random)
				* active.behaviour().coldStartFactor(this.state.millisSinceStart());
		PlannedResponse planned = new PlannedResponse(request.header("X-Client-Account"), millis, Response.OK,
				PlannedResponse.Ending.COMPLETE);
		if (active.isImpaired()) {
			for (GrayFailure failure : active.behaviour().gray()) {
				planned = failure.apply(planned, random);
			}
		}
		return planned;
	}

	private Response withDrainHeader(Response response) {
		return this.state.activeBehaviour().behaviour().isDraining() ? response.withHeader("X-Target-State", "draining")
				: response;
	}

	private String responseText(Request request) {
		return this.state.id() + " ran " + request.method() + " " + request.target() + " for "
				+ request.header("X-Client-Account") + ", body of " + request.body().length + " bytes, key "
				+ ((request.header("X-Api-Key") != null) ? "seen" : "not seen") + "\n";
	}

	private static long parseDeadlineMillis(Request request) {
		String text = request.header("X-Deadline-Ms");
		if (text == null) {
			return Long.MAX_VALUE;
		}
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			throw new BadRequestException("X-Deadline-Ms '" + text + "' is not a whole number of milliseconds");
		}
	}

	/**
	 * Returns the text of a request that is searched for the text that causes a crash.
	 * @param request the request to search
	 * @return the path, the identity and the body, separated by line feeds
	 */
	static String searchableText(Request request) {
		return request.target() + "\n" + RunRecords.identity(request) + "\n"
				+ new String(request.body(), StandardCharsets.UTF_8);
	}

}
