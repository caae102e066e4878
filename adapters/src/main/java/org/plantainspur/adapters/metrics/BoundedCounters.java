package org.plantainspur.adapters.metrics;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * Counters by two tags, with a bounded number of time series. The first tag may have any
 * number of values: those seen first get series of their own, and all others share the
 * value {@code other}. The second tag must have few values, since it is not bounded.
 */
final class BoundedCounters {

	private final MeterRegistry registry;

	private final String name;

	private final String boundedTag;

	private final String unboundedTag;

	private final int maximumSeries;

	private final AtomicInteger seriesCount = new AtomicInteger();

	private final ConcurrentMap<String, ConcurrentMap<String, Counter>> countersByValue = new ConcurrentHashMap<>();

	BoundedCounters(MeterRegistry registry, String name, String boundedTag, String unboundedTag, int maximumSeries) {
		this.registry = registry;
		this.name = name;
		this.boundedTag = boundedTag;
		this.unboundedTag = unboundedTag;
		this.maximumSeries = maximumSeries;
		this.countersByValue.put(BoundedTimers.OTHER, new ConcurrentHashMap<>());
	}

	Counter of(String boundedValue, String unboundedValue) {
		ConcurrentMap<String, Counter> countersOfValue = this.countersByValue.get(boundedValue);
		if (countersOfValue == null && this.seriesCount.getAndIncrement() < this.maximumSeries) {
			countersOfValue = this.countersByValue.computeIfAbsent(boundedValue,
					(absentValue) -> new ConcurrentHashMap<>());
		}
		if (countersOfValue == null) {
			this.seriesCount.decrementAndGet();
			return of(BoundedTimers.OTHER, unboundedValue);
		}
		return countersOfValue.computeIfAbsent(unboundedValue,
				(value) -> Counter.builder(this.name)
					.tag(this.boundedTag, boundedValue)
					.tag(this.unboundedTag, value)
					.register(this.registry));
	}

}
