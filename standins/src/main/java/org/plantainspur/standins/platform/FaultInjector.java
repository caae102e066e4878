package org.plantainspur.standins.platform;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.Response;
import org.plantainspur.standins.http.ServerExchange;

/**
 * Applies the configured faults to the requests of the platform stand-in: outages, delays
 * and lost replies.
 */
final class FaultInjector {

	private final AtomicReference<Faults> faults = new AtomicReference<>(Faults.NONE);

	private final AtomicInteger repliesToDrop = new AtomicInteger();

	private final Set<ServerExchange> silencedExchanges = ConcurrentHashMap.newKeySet();

	Faults faults() {
		return this.faults.get();
	}

	int repliesToDrop() {
		return this.repliesToDrop.get();
	}

	void setFaults(Faults next) {
		this.repliesToDrop.set(next.dropRepliesToWrites());
		this.faults.set(next);
		this.silencedExchanges.forEach(ServerExchange::reset);
	}

	/**
	 * Serves a request, unless a fault prevents it.
	 * @param exchange the request and its connection
	 * @param write whether the request writes; the replies to successful writes may be
	 * dropped
	 * @param handler computes the response
	 * @throws IOException if the connection fails
	 */
	void serve(ServerExchange exchange, boolean write, Function<Request, Response> handler) throws IOException {
		long delayMillis = faults().delayMillis();
		if (applyOutage(exchange) || !exchange.waitWhileConnected(delayMillis) || applyOutage(exchange)) {
			exchange.reset();
			return;
		}
		Response response = handler.apply(exchange.request());
		boolean dropReply = write && response.status() < Response.BAD_REQUEST
				&& this.repliesToDrop.getAndUpdate((remaining) -> Math.max(0, remaining - 1)) > 0;
		// An outage that began while the request ran also prevents its reply.
		if (dropReply || applyOutage(exchange)) {
			exchange.reset();
			return;
		}
		exchange.respond(response);
	}

	// Returns whether an outage applies to the request; holds the request for as long as
	// a silent outage lasts.
	private boolean applyOutage(ServerExchange exchange) {
		Faults observed = faults();
		Faults.Unavailable outage = observed.outageFor(exchange.request());
		if (outage == Faults.Unavailable.SILENT) {
			this.silencedExchanges.add(exchange);
			// If the faults changed after the first read, setFaults may have missed this
			// exchange, which would then wait on after the end of the outage.
			if (faults() == observed) {
				exchange.waitWhileConnected(Integer.MAX_VALUE);
			}
			this.silencedExchanges.remove(exchange);
		}
		return outage != Faults.Unavailable.NO;
	}

}
