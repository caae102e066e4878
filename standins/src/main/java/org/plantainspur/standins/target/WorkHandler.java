package org.plantainspur.standins.target;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

import org.plantainspur.standins.http.BadRequestException;
import org.plantainspur.standins.http.Exchange;
import org.plantainspur.standins.http.Handler;
import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.Response;

/**
 * Runs real work in slots.
 */
final class WorkHandler implements Handler {

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	private final TargetState state;

	private final RunRecords records;

	private final Crasher crasher;

	WorkHandler(TargetState state, RunRecords records, Crasher crasher) {
		this.state = state;
		this.records = records;
		this.crasher = crasher;
	}

	@Override
	public void handle(Exchange exchange) throws IOException {
		long deadline = deadline(exchange.request());
		long start = System.nanoTime();
		TargetState.Active active = this.state.active();
		Behaviour behaviour = active.behaviour();
		boolean sheds = ThreadLocalRandom.current().nextDouble() < behaviour.shedFraction();
		if (active.isRefusing() || sheds || !this.state.takeSlot(Math.min(behaviour.queueMillis(), deadline))) {
			exchange.answer(signal(Response.text(SERVICE_UNAVAILABLE, "").with("X-Not-Run", "true")));
			return;
		}
		try {
			long waited = (System.nanoTime() - start) / 1_000_000;
			if (deadline <= waited) {
				exchange.answer(signal(Response.text(SERVICE_UNAVAILABLE, "").with("X-Not-Run", "true")));
				return;
			}
			run(exchange, active, deadline - waited);
		}
		finally {
			this.state.releaseSlot();
		}
	}

	private void run(Exchange exchange, TargetState.Active active, long millisLeft) throws IOException {
		Request request = exchange.request();
		this.records.begin(request);
		Behaviour.Crash crash = active.behaviour().crash();
		if (crash != null && this.crasher.crashes(crash, request)) {
			this.crasher.crash(crash);
			exchange.reset();
			return;
		}
		Work work = course(request, active);
		if (!exchange.pause((long) Math.min(work.millis(), millisLeft))) {
			this.records.cancel(request);
			exchange.reset();
			return;
		}
		if (work.millis() > millisLeft) {
			this.records.cancel(request);
			exchange.answer(signal(Response.text(GATEWAY_TIMEOUT, "given up at the deadline after it had begun\n")));
			return;
		}
		Response response = signal(Response.text(work.status(), text(request)));
		switch (work.ending()) {
			case COMPLETE -> exchange.answer(response);
			case TRUNCATED -> exchange.truncate(response);
			case RESET -> exchange.reset();
		}
	}

	private Work course(Request request, TargetState.Active active) {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		double millis = active.behaviour().serviceTime().draw(random)
				* active.behaviour().coldFactor(this.state.millisSinceStart());
		Work work = new Work(request.header("X-Client-Account"), millis, Response.OK, Work.Ending.COMPLETE);
		if (active.isSick()) {
			for (GrayMode mode : active.behaviour().gray()) {
				work = mode.apply(work, random);
			}
		}
		return work;
	}

	private Response signal(Response response) {
		return this.state.active().behaviour().isDraining() ? response.with("X-Target-State", "draining") : response;
	}

	private String text(Request request) {
		return this.state.id() + " ran " + request.method() + " " + request.target() + " for "
				+ request.header("X-Client-Account") + ", body of " + request.body().length + " bytes, key "
				+ ((request.header("X-Api-Key") != null) ? "seen" : "not seen") + "\n";
	}

	private static long deadline(Request request) {
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
	 * Text of a request in which a crash looks for its mark.
	 * @param request the request
	 * @return the path, the identity and the body
	 */
	static String searchable(Request request) {
		return request.target() + "\n" + RunRecords.identity(request) + "\n"
				+ new String(request.body(), StandardCharsets.UTF_8);
	}

}
