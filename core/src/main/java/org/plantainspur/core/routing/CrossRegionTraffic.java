package org.plantainspur.core.routing;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;

import org.plantainspur.core.configuration.Route;

/**
 * Counts the bytes that requests and answers send to the other region, by route class,
 * since the link is billed by volume.
 */
public final class CrossRegionTraffic {

	private final String region;

	private final ConcurrentMap<String, LongAdder> bytes = new ConcurrentHashMap<>();

	/**
	 * Creates counters at zero.
	 * @param region this host's region
	 */
	public CrossRegionTraffic(String region) {
		this.region = region;
	}

	/**
	 * Counts the bytes of one dispatch if its target is in another region.
	 * @param route the route
	 * @param target the target
	 * @param bytesSentAndReceived the size of both bodies
	 */
	public void dispatched(Route route, Target target, long bytesSentAndReceived) {
		if (!target.region().equals(this.region)) {
			String routeClass = route.service() + (route.idempotent() ? " idempotent" : " non-idempotent");
			this.bytes.computeIfAbsent(routeClass, (name) -> new LongAdder()).add(bytesSentAndReceived);
		}
	}

	/**
	 * Returns the bytes so far.
	 * @return bytes by route class, such as {@code booking non-idempotent}
	 */
	public Map<String, Long> bytes() {
		Map<String, Long> sums = new TreeMap<>();
		this.bytes.forEach((routeClass, sum) -> sums.put(routeClass, sum.sum()));
		return sums;
	}

}
