package org.plantainspur.adapters.metrics;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Histograms by one tag. The first values seen have a series of their own and the rest
 * share {@code other}, so that the memory and the size of a scrape stay bounded.
 */
final class BoundedTimers {

	/** The value of the tag shared by all values beyond the limit. */
	static final String OTHER = "other";

	private static final Duration[] BUCKETS = { Duration.ofMillis(1), Duration.ofMillis(2), Duration.ofMillis(5),
			Duration.ofMillis(10), Duration.ofMillis(25), Duration.ofMillis(50), Duration.ofMillis(100),
			Duration.ofMillis(250), Duration.ofMillis(500), Duration.ofSeconds(1), Duration.ofSeconds(5),
			Duration.ofSeconds(30) };

	private final MeterRegistry registry;

	private final String name;

	private final String tag;

	private final int limit;

	private final AtomicInteger taken = new AtomicInteger();

	private final ConcurrentMap<String, Timer> timers = new ConcurrentHashMap<>();

	private final Timer other;

	BoundedTimers(MeterRegistry registry, String name, String tag, int limit) {
		this.registry = registry;
		this.name = name;
		this.tag = tag;
		this.limit = limit;
		this.other = create(OTHER);
	}

	private Timer create(String value) {
		return Timer.builder(this.name).tag(this.tag, value).serviceLevelObjectives(BUCKETS).register(this.registry);
	}

	Timer of(String value) {
		Timer present = this.timers.get(value);
		if (present != null) {
			return present;
		}
		if (value.equals(OTHER) || this.taken.get() >= this.limit) {
			return this.other;
		}
		return this.timers.computeIfAbsent(value,
				(absent) -> (this.taken.getAndIncrement() < this.limit) ? create(absent) : this.other);
	}

}
