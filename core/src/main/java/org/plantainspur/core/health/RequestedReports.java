package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The services whose coordinators ask this host to report before its next interval ends.
 * Requests for the same service that arrive together lead to one report.
 */
public final class RequestedReports {

	/** Bounds the memory that requests with unknown names take. */
	private static final int MAX_SERVICES = 4096;

	private final Set<String> services = ConcurrentHashMap.newKeySet();

	/**
	 * Takes a request; may be called from any thread.
	 * @param service the service's name
	 */
	public void add(String service) {
		if (this.services.size() < MAX_SERVICES) {
			this.services.add(service);
		}
	}

	/**
	 * Returns and forgets the services that were asked for.
	 * @return the names, empty if there was no request
	 */
	public List<String> take() {
		if (this.services.isEmpty()) {
			return List.of();
		}
		List<String> taken = new ArrayList<>(this.services);
		// A request that arrives after the copy stays for the next call.
		taken.removeIf((service) -> !this.services.remove(service));
		return taken;
	}

}
