package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Collects the services whose coordinators have asked this host to report before its next
 * interval ends. Several requests for the same service lead to one report.
 */
public final class PendingReportRequests {

	/**
	 * The largest number of services, which bounds the memory used by requests with
	 * unknown service names. Requests for further services are dropped.
	 */
	private static final int MAX_SERVICES = 4096;

	private final Set<String> services = ConcurrentHashMap.newKeySet();

	/**
	 * Adds a request; may be called from any thread.
	 * @param service the service's name
	 */
	public void add(String service) {
		if (this.services.size() < MAX_SERVICES) {
			this.services.add(service);
		}
	}

	/**
	 * Returns the requested services and clears them.
	 * @return the services' names; empty if there was no request
	 */
	public List<String> take() {
		if (this.services.isEmpty()) {
			return List.of();
		}
		List<String> requested = new ArrayList<>(this.services);
		// A request that arrives after the copy stays for the next call.
		requested.removeIf((service) -> !this.services.remove(service));
		return requested;
	}

}
