package org.plantainspur.standins.platform;

import java.io.IOException;
import java.util.Map;
import java.util.UUID;
import java.util.function.Function;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;

import org.plantainspur.standins.http.Handler;
import org.plantainspur.standins.http.JsonBody;
import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.Response;
import org.plantainspur.standins.http.ServerExchange;

/**
 * Routes requests to the table, the object store, the host list and the control
 * endpoints. Faults and counters apply only to what hosts request: not to the control
 * endpoints, and not to {@code PUT /hosts}, which stands for an action of the platform
 * itself.
 */
final class PlatformRoutes implements Handler {

	private final TableHandlers table = new TableHandlers();

	private final ObjectStore objects = new ObjectStore();

	private final LaggingHostList hosts;

	private final FaultInjector faultInjector = new FaultInjector();

	private final RateCounter reads = new RateCounter();

	private final RateCounter writes = new RateCounter();

	PlatformRoutes() {
		this.hosts = new LaggingHostList(
				JsonNodeFactory.instance.objectNode().set("hosts", JsonNodeFactory.instance.arrayNode()));
	}

	@Override
	public void handle(ServerExchange exchange) throws IOException {
		Request request = exchange.request();
		String methodAndPath = request.method() + " " + request.path();
		switch (methodAndPath) {
			case "GET /table/row" -> handleRead(exchange, this.table::row);
			case "GET /table/rows" -> handleRead(exchange, this.table::rows);
			case "POST /table/transact" -> handleWrite(exchange, this.table::transact);
			case "GET /hosts" -> handleRead(exchange, this::visibleHosts);
			case "PUT /hosts" -> exchange.respond(putHosts(request));
			case "PUT /.control/faults" -> exchange.respond(putFaults(request));
			case "GET /.control/faults" -> exchange.respond(faults());
			case "GET /.control/counters" -> exchange.respond(counters());
			case "DELETE /.control/counters" -> exchange.respond(resetCounters());
			default -> handleOther(exchange);
		}
	}

	private void handleOther(ServerExchange exchange) throws IOException {
		Request request = exchange.request();
		boolean isObject = request.path().startsWith(ObjectStore.PREFIX);
		if (isObject && request.method().equals("GET")) {
			handleRead(exchange, this.objects::serve);
		}
		else if (isObject && request.method().equals("PUT")) {
			handleWrite(exchange, this.objects::serve);
		}
		else {
			exchange.respond(Response.error(isObject ? Response.METHOD_NOT_ALLOWED : Response.NOT_FOUND,
					"there is no " + request.method() + " " + request.path()));
		}
	}

	private void handleRead(ServerExchange exchange, Function<Request, Response> handler) throws IOException {
		this.faultInjector.serve(exchange, false, counted(this.reads, handler));
	}

	private void handleWrite(ServerExchange exchange, Function<Request, Response> handler) throws IOException {
		this.faultInjector.serve(exchange, true, counted(this.writes, handler));
	}

	private static Function<Request, Response> counted(RateCounter counter, Function<Request, Response> handler) {
		return (request) -> {
			counter.count(System.nanoTime());
			return handler.apply(request);
		};
	}

	// A conditional read (RFC 9110, 13.1.2) gets no body if the client has the current
	// list.
	private Response visibleHosts(Request request) {
		Response response = Response.json(Response.OK, this.hosts.visible(System.nanoTime()));
		String entityTag = '"' + UUID.nameUUIDFromBytes(response.body()).toString() + '"';
		if (entityTag.equals(request.header("If-None-Match"))) {
			return new Response(Response.NOT_MODIFIED, Map.of("ETag", entityTag), new byte[0]);
		}
		return response.withHeader("ETag", entityTag);
	}

	private Response putHosts(Request request) {
		this.hosts.put(HostListValidator.validate(JsonBody.readObject(request)), System.nanoTime(),
				this.faultInjector.faults().hostListLagMillis());
		return visibleHosts(request);
	}

	private Response putFaults(Request request) {
		this.faultInjector.setFaults(JsonBody.read(request, Faults.class).validate());
		return faults();
	}

	private Response faults() {
		return Response.json(Response.OK, JsonBody.toTree(this.faultInjector.faults()));
	}

	private Response counters() {
		long now = System.nanoTime();
		return Response.json(Response.OK, Map.of("reads", this.reads.rates(now), "writes", this.writes.rates(now),
				"repliesToDrop", this.faultInjector.repliesToDrop()));
	}

	private Response resetCounters() {
		this.reads.reset();
		this.writes.reset();
		return counters();
	}

}
