package org.plantainspur.adapters.metrics;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Latency histograms by one tag, with a bounded number of time series. The tag values
 * seen first get a series of their own, and all others share {@code other}, which bounds
 * the memory and the size of a scrape.
 */
final class BoundedTimers {

	/** The tag value that all values beyond the maximum number of series share. */
	static final String OTHER = "other";

	private static final Duration[] BUCKET_BOUNDS = { Duration.ofMillis(1), Duration.ofMillis(2), Duration.ofMillis(5),
			Duration.ofMillis(10), Duration.ofMillis(25), Duration.ofMillis(50), Duration.ofMillis(100),
			Duration.ofMillis(250), Duration.ofMillis(500), Duration.ofSeconds(1), Duration.ofSeconds(5),
			Duration.ofSeconds(30) };

	private final MeterRegistry registry;

	private final String name;

	private final String tag;

	private final int maximumSeries;

	private final AtomicInteger seriesCount = new AtomicInteger();

	private final ConcurrentMap<String, Timer> timers = new ConcurrentHashMap<>();

	private final Timer other;

	BoundedTimers(MeterRegistry registry, String name, String tag, int maximumSeries) {
		this.registry = registry;
		this.name = name;
		this.tag = tag;
		this.maximumSeries = maximumSeries;
		this.other = create(OTHER);
	}

	private Timer create(String value) {
		return Timer.builder(this.name)
			.tag(this.tag, value)
			.serviceLevelObjectives(BUCKET_BOUNDS)
			.register(this.registry);
	}

	Timer of(String value) {
		Timer existing = this.timers.get(value);
		if (existing != null) {
			return existing;
		}
		if (value.equals(OTHER) || this.seriesCount.get() >= this.maximumSeries) {
			return this.other;
		}
		return this.timers.computeIfAbsent(value,
				(newValue) -> (this.seriesCount.getAndIncrement() < this.maximumSeries) ? create(newValue)
						: this.other);
	}

}
