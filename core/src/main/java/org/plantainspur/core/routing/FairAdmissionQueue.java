package org.plantainspur.core.routing;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.time.Clock;

/**
 * Admits requests of each service up to a limit and queues the rest fairly by client
 * account. With free capacity an admission is one atomic update; only requests that wait
 * use a lock, and they park.
 */
public final class FairAdmissionQueue implements AdmissionQueue {

	private final Clock clock;

	private final ConcurrencyLimit limit;

	private final ConcurrentMap<String, ServiceGate> gates = new ConcurrentHashMap<>();

	/**
	 * Creates a queue.
	 * @param clock the process clock
	 * @param limit how many requests may run at once
	 */
	public FairAdmissionQueue(Clock clock, ConcurrencyLimit limit) {
		this.clock = clock;
		this.limit = limit;
	}

	@Override
	public Admission admit(String service, ClientAccount account, long deadlineMillis) {
		ServiceGate gate = this.gates.get(service);
		if (gate == null) {
			gate = this.gates.computeIfAbsent(service, (name) -> new ServiceGate(name, this.clock, this.limit));
		}
		return gate.admit(account, deadlineMillis);
	}

	/**
	 * Returns the number of requests that wait for a service.
	 * @param service the service's name
	 * @return the number
	 */
	public int waiting(String service) {
		ServiceGate gate = this.gates.get(service);
		return (gate != null) ? gate.waiting() : 0;
	}

}
