package org.plantainspur.standins.platform;

import java.io.IOException;
import java.util.Map;
import java.util.UUID;
import java.util.function.Function;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;

import org.plantainspur.standins.http.Exchange;
import org.plantainspur.standins.http.Handler;
import org.plantainspur.standins.http.JsonBody;
import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.Response;

/**
 * Maps requests to the table, the objects, the host list and the control calls. Control
 * calls meet no fault. The list of hosts is set as by operators of the platform, so
 * setting it meets no fault and is not counted either.
 */
final class PlatformRoutes implements Handler {

	private final TableHandlers table = new TableHandlers();

	private final ObjectStore objects = new ObjectStore();

	private final LaggingHostList hosts;

	private final FaultGate gate = new FaultGate();

	private final RateCounter reads = new RateCounter();

	private final RateCounter writes = new RateCounter();

	PlatformRoutes() {
		this.hosts = new LaggingHostList(
				JsonNodeFactory.instance.objectNode().set("hosts", JsonNodeFactory.instance.arrayNode()));
	}

	@Override
	public void handle(Exchange exchange) throws IOException {
		Request request = exchange.request();
		String call = request.method() + " " + request.path();
		switch (call) {
			case "GET /table/row" -> read(exchange, this.table::row);
			case "GET /table/rows" -> read(exchange, this.table::rows);
			case "POST /table/transact" -> write(exchange, this.table::transact);
			case "GET /hosts" -> read(exchange, this::visibleHosts);
			case "PUT /hosts" -> exchange.answer(putHosts(request));
			case "PUT /.control/faults" -> exchange.answer(putFaults(request));
			case "GET /.control/faults" -> exchange.answer(faults());
			case "GET /.control/counters" -> exchange.answer(counters());
			case "DELETE /.control/counters" -> exchange.answer(resetCounters());
			default -> other(exchange);
		}
	}

	private void other(Exchange exchange) throws IOException {
		Request request = exchange.request();
		boolean object = request.path().startsWith(ObjectStore.PREFIX);
		if (object && request.method().equals("GET")) {
			read(exchange, this.objects::serve);
		}
		else if (object && request.method().equals("PUT")) {
			write(exchange, this.objects::serve);
		}
		else {
			exchange.answer(Response.error(object ? Response.METHOD_NOT_ALLOWED : Response.NOT_FOUND,
					"there is no " + request.method() + " " + request.path()));
		}
	}

	private void read(Exchange exchange, Function<Request, Response> service) throws IOException {
		this.gate.pass(exchange, false, counted(this.reads, service));
	}

	private void write(Exchange exchange, Function<Request, Response> service) throws IOException {
		this.gate.pass(exchange, true, counted(this.writes, service));
	}

	private static Function<Request, Response> counted(RateCounter counter, Function<Request, Response> service) {
		return (request) -> {
			counter.count(System.nanoTime());
			return service.apply(request);
		};
	}

	// A conditional read (RFC 9110, 13.1.2) gets no body if the list is the known one.
	private Response visibleHosts(Request request) {
		Response whole = Response.json(Response.OK, this.hosts.visible(System.nanoTime()));
		String tag = '"' + UUID.nameUUIDFromBytes(whole.body()).toString() + '"';
		if (tag.equals(request.header("If-None-Match"))) {
			return new Response(Response.NOT_MODIFIED, Map.of("ETag", tag), new byte[0]);
		}
		return whole.with("ETag", tag);
	}

	private Response putHosts(Request request) {
		this.hosts.put(HostListCheck.check(JsonBody.object(request)), System.nanoTime(),
				this.gate.faults().hostListLagMillis());
		return visibleHosts(request);
	}

	private Response putFaults(Request request) {
		this.gate.set(JsonBody.read(request, Faults.class).check());
		return faults();
	}

	private Response faults() {
		return Response.json(Response.OK, JsonBody.write(this.gate.faults()));
	}

	private Response counters() {
		long now = System.nanoTime();
		return Response.json(Response.OK, Map.of("reads", this.reads.rates(now), "writes", this.writes.rates(now),
				"repliesToDrop", this.gate.repliesToDrop()));
	}

	private Response resetCounters() {
		this.reads.reset();
		this.writes.reset();
		return counters();
	}

}
