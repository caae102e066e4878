package org.plantainspur.standins.platform;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

import org.plantainspur.standins.http.Exchange;
import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.Response;

/**
 * Causes the faults around the platform's handlers.
 */
final class FaultGate {

	private final AtomicReference<Faults> faults = new AtomicReference<>(Faults.NONE);

	private final AtomicInteger repliesToDrop = new AtomicInteger();

	private final Set<Exchange> unanswered = ConcurrentHashMap.newKeySet();

	Faults faults() {
		return this.faults.get();
	}

	int repliesToDrop() {
		return this.repliesToDrop.get();
	}

	void set(Faults next) {
		this.repliesToDrop.set(next.dropRepliesToWrites());
		this.faults.set(next);
		this.unanswered.forEach(Exchange::reset);
	}

	/**
	 * Serves a request, unless a fault prevents it.
	 * @param exchange the request
	 * @param write whether the request writes
	 * @param service serves the request
	 * @throws IOException if the connection fails
	 */
	void pass(Exchange exchange, boolean write, Function<Request, Response> service) throws IOException {
		long delay = faults().delayMillis();
		if (isDown(exchange) || !exchange.pause(delay) || isDown(exchange)) {
			exchange.reset();
			return;
		}
		Response response = service.apply(exchange.request());
		boolean dropReply = write && response.status() < Response.BAD_REQUEST
				&& this.repliesToDrop.getAndUpdate((left) -> Math.max(0, left - 1)) > 0;
		// An outage that began while the request ran also takes its reply.
		if (dropReply || isDown(exchange)) {
			exchange.reset();
			return;
		}
		exchange.answer(response);
	}

	private boolean isDown(Exchange exchange) {
		Faults seen = faults();
		Faults.Unavailable outage = seen.outageFor(exchange.request());
		if (outage == Faults.Unavailable.SILENT) {
			this.unanswered.add(exchange);
			// A change of the faults between the two reads would leave this request
			// waiting after the outage.
			if (faults() == seen) {
				exchange.pause(Integer.MAX_VALUE);
			}
			this.unanswered.remove(exchange);
		}
		return outage != Faults.Unavailable.NO;
	}

}
