package org.plantainspur.core.routing;

import java.util.Comparator;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the target with the fewest requests in flight from this host. It is the
 * baseline for comparison and uses neither health nor weights.
 */
public final class LeastInFlightChooser implements TargetChooser {

	private final AtomicReference<TargetDirectory> directory;

	private final ConcurrentMap<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();

	/**
	 * Creates a chooser without requests in flight.
	 * @param directory the current targets
	 */
	public LeastInFlightChooser(AtomicReference<TargetDirectory> directory) {
		this.directory = directory;
	}

	@Override
	public @Nullable TargetLease choose(String service, Set<String> excluded) {
		return this.directory.get()
			.targets(service)
			.stream()
			.filter((target) -> !target.leaving() && !excluded.contains(target.id()))
			.min(Comparator.comparingInt((target) -> inFlight(target).get()))
			.map((target) -> new Lease(target, inFlight(target)))
			.orElse(null);
	}

	private AtomicInteger inFlight(Target target) {
		return this.inFlight.computeIfAbsent(target.id(), (id) -> new AtomicInteger());
	}

	private static final class Lease implements TargetLease {

		private final Target target;

		private final AtomicInteger count;

		Lease(Target target, AtomicInteger count) {
			this.target = target;
			this.count = count;
			count.incrementAndGet();
		}

		@Override
		public Target target() {
			return this.target;
		}

		@Override
		public void close() {
			this.count.decrementAndGet();
		}

	}

}
