package org.plantainspur.core.routing;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the bytes that requests and answers send to the other region, by route class,
 * since the link is billed by volume.
 */
public final class CrossRegionTraffic {

	/** The class that counts for all classes beyond {@link #MAXIMUM_CLASSES}. */
	static final String OTHER = "other";

	/** Above two classes for each of the 790 services planned for. */
	static final int MAXIMUM_CLASSES = 2000;

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
	 * Returns whether traffic with a target crosses between regions.
	 * @param target the target
	 * @return whether it is in another region
	 */
	public boolean crosses(Target target) {
		return !target.region().equals(this.region);
	}

	/**
	 * Counts the bytes of one dispatch if its target is in another region.
	 * @param target the target
	 * @param idempotent whether the request may run more than once
	 * @param bytesSentAndReceived the size of the request and of the answer
	 */
	public void dispatched(Target target, boolean idempotent, long bytesSentAndReceived) {
		if (crosses(target)) {
			sum(target.service() + (idempotent ? " idempotent" : " non-idempotent")).add(bytesSentAndReceived);
		}
	}

	private LongAdder sum(String routeClass) {
		LongAdder present = this.bytes.get(routeClass);
		if (present != null) {
			return present;
		}
		String name = (this.bytes.size() < MAXIMUM_CLASSES) ? routeClass : OTHER;
		return this.bytes.computeIfAbsent(name, (absent) -> new LongAdder());
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

	/**
	 * Returns the bytes of one route class so far.
	 * @param routeClass a class that {@link #bytes()} names
	 * @return the bytes, 0 if nothing was counted
	 */
	public long bytes(String routeClass) {
		LongAdder sum = this.bytes.get(routeClass);
		return (sum != null) ? sum.sum() : 0;
	}

}
