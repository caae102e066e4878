package org.plantainspur.standins.target;

import java.io.IOException;
import java.util.Map;

import org.plantainspur.standins.http.BadRequestException;
import org.plantainspur.standins.http.Exchange;
import org.plantainspur.standins.http.Handler;
import org.plantainspur.standins.http.JsonBody;
import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.Response;

/**
 * Maps requests to the checks, the control calls and the work.
 */
final class TargetRoutes implements Handler {

	private static final int SERVICE_UNAVAILABLE = 503;

	private final TargetState state;

	private final RunRecords records;

	private final Handler work;

	TargetRoutes(TargetState state, RunRecords records, Handler work) {
		this.state = state;
		this.records = records;
		this.work = work;
	}

	@Override
	public void handle(Exchange exchange) throws IOException {
		Request request = exchange.request();
		switch (request.method() + " " + request.path()) {
			case "GET /health" -> exchange.answer(health());
			case "GET /load" -> exchange.answer(load());
			case "PUT /.control/behaviour" -> exchange.answer(behave(request));
			case "GET /.control/behaviour" -> exchange.answer(behaviour());
			case "GET /.control/runs" -> exchange.answer(runs(request));
			case "DELETE /.control/runs" -> exchange.answer(clearRuns());
			case "GET /.emulator/runs" -> exchange.answer(Response.json(Response.OK, this.records.counts()));
			default -> other(exchange);
		}
	}

	private void other(Exchange exchange) throws IOException {
		Request request = exchange.request();
		if (request.path().startsWith("/.control/")) {
			exchange
				.answer(Response.error(Response.NOT_FOUND, "there is no " + request.method() + " " + request.path()));
		}
		else {
			this.work.handle(exchange);
		}
	}

	private Response health() {
		Behaviour.Health health = this.state.active().behaviour().health();
		TargetState.Active seen = this.state.activeBefore(health.lagMillis());
		long millis = seen.millis(health.lagMillis());
		boolean up = switch (health.report()) {
			case UP -> true;
			case DOWN -> false;
			case HONEST -> !seen.behaviour().isSick(millis);
		};
		boolean draining = seen.behaviour().isDraining();
		Response response = Response.json(up ? Response.OK : SERVICE_UNAVAILABLE,
				Map.of("status", up ? "up" : "down", "draining", draining));
		return draining ? response.with("X-Target-State", "draining") : response;
	}

	private Response load() {
		Behaviour.Load load = this.state.active().behaviour().load();
		int inFlight = switch (load.report()) {
			case REAL -> this.state.inFlightBefore(load.lagMillis());
			case IDLE -> 0;
			case FULL -> this.state.slots();
		};
		return Response.json(Response.OK, Map.of("inFlight", inFlight, "slots", this.state.slots()));
	}

	private Response behave(Request request) {
		this.state.behave(JsonBody.read(request, Behaviour.class).check());
		return behaviour();
	}

	private Response behaviour() {
		return Response.json(Response.OK, JsonBody.write(this.state.active().behaviour()));
	}

	private Response runs(Request request) {
		Map<String, String> query = request.query();
		return Response.json(Response.OK,
				this.records.report(query.get("identity"), count(query.getOrDefault("minimumCount", "1"))));
	}

	private static int count(String text) {
		try {
			return Integer.parseInt(text);
		}
		catch (NumberFormatException ex) {
			throw new BadRequestException("minimumCount '" + text + "' is not a whole number; write one such as 2");
		}
	}

	private Response clearRuns() {
		this.records.clear();
		return Response.json(Response.OK, Map.of());
	}

}
