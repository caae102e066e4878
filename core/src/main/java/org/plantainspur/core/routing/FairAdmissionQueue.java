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

	private final ConcurrentMap<String, ServiceAdmission> admissions = new ConcurrentHashMap<>();

	/**
	 * Creates a queue without waiting requests.
	 * @param clock the process clock
	 * @param limit the number of requests of a service that may run at once
	 */
	public FairAdmissionQueue(Clock clock, ConcurrencyLimit limit) {
		this.clock = clock;
		this.limit = limit;
	}

	@Override
	public Admission admit(String service, ClientAccount account, long deadlineMillis) {
		ServiceAdmission admission = this.admissions.get(service);
		if (admission == null) {
			admission = this.admissions.computeIfAbsent(service,
					(name) -> new ServiceAdmission(name, this.clock, this.limit));
		}
		return admission.admit(account, deadlineMillis);
	}

	/**
	 * Returns how many requests wait for a permit.
	 * @param service the service's name
	 * @return the number of waiting requests of the service
	 */
	public int waiting(String service) {
		ServiceAdmission admission = this.admissions.get(service);
		return (admission != null) ? admission.waiting() : 0;
	}

}
