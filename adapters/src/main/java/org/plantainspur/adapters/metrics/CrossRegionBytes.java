package org.plantainspur.adapters.metrics;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;

import org.plantainspur.core.routing.CrossRegionTraffic;

/**
 * Shows the bytes that cross between regions, with a counter for each route class.
 */
final class CrossRegionBytes {

	private final MeterRegistry registry;

	private final CrossRegionTraffic traffic;

	private final Set<String> registered = ConcurrentHashMap.newKeySet();

	CrossRegionBytes(MeterRegistry registry, CrossRegionTraffic traffic) {
		this.registry = registry;
		this.traffic = traffic;
	}

	/**
	 * Registers a counter for each class that is new since the last call.
	 */
	void registerNewClasses() {
		for (String routeClass : this.traffic.bytes().keySet()) {
			if (this.registered.add(routeClass)) {
				register(routeClass);
			}
		}
	}

	private void register(String routeClass) {
		FunctionCounter.builder("plantainspur.cross.region.bytes", this.traffic, (counted) -> counted.bytes(routeClass))
			.tag("class", routeClass)
			.register(this.registry);
	}

}
