package org.plantainspur.standins.target;

import java.io.IOException;
import java.util.Map;

import org.plantainspur.standins.http.BadRequestException;
import org.plantainspur.standins.http.Handler;
import org.plantainspur.standins.http.JsonBody;
import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.Response;
import org.plantainspur.standins.http.ServerExchange;

/**
 * Routes requests: health and load checks and control endpoints are handled here, all
 * others are service requests.
 */
final class TargetRoutes implements Handler {

	private static final int SERVICE_UNAVAILABLE = 503;

	private final TargetState state;

	private final RunRecords records;

	private final Handler serviceRequestHandler;

	TargetRoutes(TargetState state, RunRecords records, Handler serviceRequestHandler) {
		this.state = state;
		this.records = records;
		this.serviceRequestHandler = serviceRequestHandler;
	}

	@Override
	public void handle(ServerExchange exchange) throws IOException {
		Request request = exchange.request();
		switch (request.method() + " " + request.path()) {
			case "GET /health" -> exchange.respond(health());
			case "GET /load" -> exchange.respond(load());
			case "PUT /.control/behaviour" -> exchange.respond(putBehaviour(request));
			case "GET /.control/behaviour" -> exchange.respond(behaviour());
			case "GET /.control/runs" -> exchange.respond(runs(request));
			case "DELETE /.control/runs" -> exchange.respond(clearRuns());
			case "GET /.emulator/runs" -> exchange.respond(Response.json(Response.OK, this.records.countsByIdentity()));
			default -> handleOther(exchange);
		}
	}

	private void handleOther(ServerExchange exchange) throws IOException {
		Request request = exchange.request();
		if (request.path().startsWith("/.control/")) {
			exchange
				.respond(Response.error(Response.NOT_FOUND, "there is no " + request.method() + " " + request.path()));
		}
		else {
			this.serviceRequestHandler.handle(exchange);
		}
	}

	private Response health() {
		Behaviour.Health health = this.state.activeBehaviour().behaviour().health();
		TargetState.ActiveBehaviour observed = this.state.activeBehaviourBefore(health.lagMillis());
		long millis = observed.activeMillis(health.lagMillis());
		boolean up = switch (health.report()) {
			case UP -> true;
			case DOWN -> false;
			case HONEST -> !observed.behaviour().isImpaired(millis);
		};
		boolean draining = observed.behaviour().isDraining();
		Response response = Response.json(up ? Response.OK : SERVICE_UNAVAILABLE,
				Map.of("status", up ? "up" : "down", "draining", draining));
		return draining ? response.withHeader("X-Target-State", "draining") : response;
	}

	private Response load() {
		Behaviour.Load load = this.state.activeBehaviour().behaviour().load();
		int inFlight = switch (load.report()) {
			case REAL -> this.state.inFlightBefore(load.lagMillis());
			case IDLE -> 0;
			case FULL -> this.state.slots();
		};
		return Response.json(Response.OK, Map.of("inFlight", inFlight, "slots", this.state.slots()));
	}

	private Response putBehaviour(Request request) {
		this.state.setBehaviour(JsonBody.read(request, Behaviour.class).validate());
		return behaviour();
	}

	private Response behaviour() {
		return Response.json(Response.OK, JsonBody.toTree(this.state.activeBehaviour().behaviour()));
	}

	private Response runs(Request request) {
		Map<String, String> query = request.query();
		return Response.json(Response.OK,
				this.records.report(query.get("identity"), parseCount(query.getOrDefault("minimumCount", "1"))));
	}

	private static int parseCount(String text) {
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
