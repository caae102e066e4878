package org.plantainspur.adapters.metrics;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;

import org.plantainspur.core.routing.CrossRegionTraffic;

/**
 * Publishes the number of bytes sent between regions, as one counter for each route
 * class. A route class is a service together with the idempotency of its requests, such
 * as {@code booking non-idempotent}.
 */
final class CrossRegionByteCounters {

	private final MeterRegistry registry;

	private final CrossRegionTraffic traffic;

	private final Set<String> registeredClasses = ConcurrentHashMap.newKeySet();

	CrossRegionByteCounters(MeterRegistry registry, CrossRegionTraffic traffic) {
		this.registry = registry;
		this.traffic = traffic;
	}

	/**
	 * Registers a counter for each route class that has appeared since the last call.
	 */
	void registerNewClasses() {
		for (String routeClass : this.traffic.bytes().keySet()) {
			if (this.registeredClasses.add(routeClass)) {
				register(routeClass);
			}
		}
	}

	private void register(String routeClass) {
		FunctionCounter.builder("plantainspur.cross.region.bytes", this.traffic, (source) -> source.bytes(routeClass))
			.tag("class", routeClass)
			.register(this.registry);
	}

}
