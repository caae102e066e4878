package org.plantainspur.adapters.metrics;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * Counters by two tags, with a bounded number of time series. The first tag may have any
 * number of values: those seen first get series of their own, and all others share the
 * value {@code other}. The second tag must have few values, since their number is not
 * limited here.
 */
final class BoundedCounters {

	private final MeterRegistry registry;

	private final String name;

	private final String boundedTag;

	private final String lowCardinalityTag;

	private final int maximumValues;

	private final AtomicInteger valueCount = new AtomicInteger();

	private final ConcurrentMap<String, ConcurrentMap<String, Counter>> countersByValue = new ConcurrentHashMap<>();

	BoundedCounters(MeterRegistry registry, String name, String boundedTag, String lowCardinalityTag,
			int maximumValues) {
		this.registry = registry;
		this.name = name;
		this.boundedTag = boundedTag;
		this.lowCardinalityTag = lowCardinalityTag;
		this.maximumValues = maximumValues;
		this.countersByValue.put(BoundedTimers.OTHER, new ConcurrentHashMap<>());
	}

	Counter of(String boundedValue, String lowCardinalityValue) {
		ConcurrentMap<String, Counter> countersOfValue = this.countersByValue.get(boundedValue);
		if (countersOfValue == null && this.valueCount.getAndIncrement() < this.maximumValues) {
			countersOfValue = this.countersByValue.computeIfAbsent(boundedValue,
					(absentValue) -> new ConcurrentHashMap<>());
		}
		if (countersOfValue == null) {
			this.valueCount.decrementAndGet();
			return of(BoundedTimers.OTHER, lowCardinalityValue);
		}
		return countersOfValue.computeIfAbsent(lowCardinalityValue,
				(value) -> Counter.builder(this.name)
					.tag(this.boundedTag, boundedValue)
					.tag(this.lowCardinalityTag, value)
					.register(this.registry));
	}

}
