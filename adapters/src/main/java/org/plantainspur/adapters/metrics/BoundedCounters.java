package org.plantainspur.adapters.metrics;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * Counters by two tags. The first values seen of the first tag have series of their own
 * and the rest share {@code other}; the second tag must have few values.
 */
final class BoundedCounters {

	private final MeterRegistry registry;

	private final String name;

	private final String boundedTag;

	private final String smallTag;

	private final int limit;

	private final AtomicInteger taken = new AtomicInteger();

	private final ConcurrentMap<String, ConcurrentMap<String, Counter>> counters = new ConcurrentHashMap<>();

	BoundedCounters(MeterRegistry registry, String name, String boundedTag, String smallTag, int limit) {
		this.registry = registry;
		this.name = name;
		this.boundedTag = boundedTag;
		this.smallTag = smallTag;
		this.limit = limit;
		this.counters.put(BoundedTimers.OTHER, new ConcurrentHashMap<>());
	}

	Counter of(String bounded, String small) {
		ConcurrentMap<String, Counter> present = this.counters.get(bounded);
		if (present == null && this.taken.getAndIncrement() < this.limit) {
			present = this.counters.computeIfAbsent(bounded, (absent) -> new ConcurrentHashMap<>());
		}
		if (present == null) {
			this.taken.decrementAndGet();
			return of(BoundedTimers.OTHER, small);
		}
		return present.computeIfAbsent(small,
				(absent) -> Counter.builder(this.name)
					.tag(this.boundedTag, bounded)
					.tag(this.smallTag, absent)
					.register(this.registry));
	}

}
