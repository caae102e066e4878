package org.plantainspur.core.routing;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the bytes of requests to other regions and of their answers, by route class: a
 * service, and whether the request is idempotent. The link between regions is billed by
 * volume.
 */
public final class CrossRegionTraffic {

	/** The class that counts the traffic of all classes beyond {@link #MAX_CLASSES}. */
	static final String OTHER = "other";

	/**
	 * The number of classes that are counted separately, which bounds the memory. It
	 * suffices for 790 services with two classes each.
	 */
	static final int MAX_CLASSES = 2000;

	private final String region;

	private final ConcurrentMap<String, LongAdder> bytes = new ConcurrentHashMap<>();

	/**
	 * Creates counters at zero.
	 * @param region the name of this host's region
	 */
	public CrossRegionTraffic(String region) {
		this.region = region;
	}

	/**
	 * Returns whether traffic with a target crosses between regions.
	 * @param target the target
	 * @return whether the target is in another region than this host
	 */
	public boolean isCrossRegion(Target target) {
		return !target.region().equals(this.region);
	}

	/**
	 * Counts the bytes of one dispatch if its target is in another region.
	 * @param target the target
	 * @param idempotent whether the request may run more than once
	 * @param bytesSentAndReceived the size of the request and of the answer together
	 */
	public void recordDispatch(Target target, boolean idempotent, long bytesSentAndReceived) {
		if (isCrossRegion(target)) {
			counter(target.service() + (idempotent ? " idempotent" : " non-idempotent")).add(bytesSentAndReceived);
		}
	}

	private LongAdder counter(String routeClass) {
		LongAdder existing = this.bytes.get(routeClass);
		if (existing != null) {
			return existing;
		}
		String name = (this.bytes.size() < MAX_CLASSES) ? routeClass : OTHER;
		return this.bytes.computeIfAbsent(name, (newClass) -> new LongAdder());
	}

	/**
	 * Returns the bytes counted so far.
	 * @return the bytes by route class, such as {@code booking non-idempotent}
	 */
	public Map<String, Long> bytes() {
		Map<String, Long> sums = new TreeMap<>();
		this.bytes.forEach((routeClass, sum) -> sums.put(routeClass, sum.sum()));
		return sums;
	}

	/**
	 * Returns the bytes counted so far for one route class.
	 * @param routeClass a class that {@link #bytes()} names
	 * @return the number of bytes, 0 if nothing was counted
	 */
	public long bytes(String routeClass) {
		LongAdder sum = this.bytes.get(routeClass);
		return (sum != null) ? sum.sum() : 0;
	}

}
