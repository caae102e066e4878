package org.plantainspur.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.finding.Required;
import org.plantainspur.core.health.CapacityFloor;
import org.plantainspur.core.health.HealthView;
import org.plantainspur.core.health.LocalWeights;
import org.plantainspur.core.time.Clock;

/**
 * Draws two targets in proportion to slots and weight and takes the less loaded one. The
 * local region comes first; the other region only takes what finds no local capacity.
 */
public final class WeightedTwoChoiceChooser implements TargetChooser {

	/** A target with this many requests for each slot has a queue; it is full. */
	private static final double FULL = 2;

	private final String region;

	private final Clock clock;

	private final AtomicReference<TargetDirectory> directory;

	private final ConfigurationView view;

	private final HealthView health;

	private final LocalWeights localWeights;

	private final AdaptiveLimits limits;

	private final Predicate<String> seesLeaving;

	private final DoubleSupplier random;

	private WeightedTwoChoiceChooser(Builder builder) {
		this.region = builder.region;
		this.clock = builder.clock;
		this.directory = Required.of(builder.directory, "directory");
		this.view = Required.of(builder.view, "view");
		this.health = (builder.health != null) ? builder.health : new HealthView(builder.clock);
		this.localWeights = (builder.localWeights != null) ? builder.localWeights : new LocalWeights(builder.clock);
		this.limits = (builder.limits != null) ? builder.limits : new AdaptiveLimits(builder.clock);
		this.seesLeaving = builder.seesLeaving;
		this.random = builder.random;
	}

	/**
	 * Returns a builder; the directory and the view must be set.
	 * @param region this host's region
	 * @param clock the process clock
	 * @return the builder
	 */
	public static Builder builder(String region, Clock clock) {
		return new Builder(region, clock);
	}

	@Override
	public @Nullable TargetLease choose(String service, Set<String> excluded) {
		List<Candidate> local = new ArrayList<>();
		List<Candidate> remote = new ArrayList<>();
		int members = Math.max(1, this.view.current().membership().size());
		for (CapacityFloor.Usable usable : usable(service)) {
			Target target = usable.target();
			if (!excluded.contains(target.id())) {
				List<Candidate> list = target.region().equals(this.region) ? local : remote;
				list.add(candidate(usable, members));
			}
		}
		TargetLease lease = lease(local, Candidate::hasCapacity);
		lease = (lease != null) ? lease : lease(remote, Candidate::hasCapacity);
		lease = (lease != null) ? lease : lease(local, (candidate) -> true);
		return (lease != null) ? lease : lease(remote, (candidate) -> true);
	}

	private List<CapacityFloor.Usable> usable(String service) {
		long now = this.clock.millis();
		HealthView.ServiceHealth held = this.health.service(service);
		List<Target> staying = new ArrayList<>();
		for (Target target : this.directory.get().targets(service)) {
			if (!target.leaving() && !held.leaving(target.id(), now) && !this.seesLeaving.test(target.id())) {
				staying.add(target);
			}
		}
		return CapacityFloor.usable(staying, held, this.view.current().service(service).capacityFloor(), now);
	}

	private Candidate candidate(CapacityFloor.Usable usable, int members) {
		Target target = usable.target();
		double weight = Math.max(CapacityFloor.MIN_WEIGHT, usable.weight() * this.localWeights.weight(target.id()));
		int connections = Math.max(1, target.connections() / members);
		return new Candidate(target, Math.max(1, target.slots()) * weight,
				this.limits.inFlight(target.id()) + usable.load(), connections);
	}

	private @Nullable TargetLease lease(List<Candidate> candidates, Predicate<Candidate> eligible) {
		List<Candidate> left = new ArrayList<>(candidates.size());
		for (Candidate candidate : candidates) {
			if (eligible.test(candidate) && this.limits.free(candidate.target().id(), candidate.connections())) {
				left.add(candidate);
			}
		}
		while (!left.isEmpty()) {
			Candidate chosen = lessLoaded(draw(left), draw(left));
			if (this.limits.tryAcquire(chosen.target().id(), chosen.connections())) {
				return new Lease(chosen.target(), this.limits);
			}
			left.remove(chosen);
		}
		return null;
	}

	private static Candidate lessLoaded(Candidate first, Candidate second) {
		return (second.loadPerShare() < first.loadPerShare()) ? second : first;
	}

	private Candidate draw(List<Candidate> candidates) {
		double total = 0;
		for (Candidate candidate : candidates) {
			total += candidate.share();
		}
		double drawn = this.random.getAsDouble() * total;
		for (Candidate candidate : candidates) {
			drawn -= candidate.share();
			if (drawn < 0) {
				return candidate;
			}
		}
		return candidates.get(candidates.size() - 1);
	}

	/**
	 * A target that may be chosen.
	 *
	 * @param target the target
	 * @param share slots times weight
	 * @param load requests in flight from this host, and from all hosts as last reported
	 * @param connections this host's part of the connection limit
	 */
	private record Candidate(Target target, double share, int load, int connections) {

		double loadPerShare() {
			return this.load / this.share;
		}

		boolean hasCapacity() {
			return this.load < FULL * this.target.slots();
		}

	}

	private static final class Lease implements TargetLease {

		private final Target target;

		private final AdaptiveLimits limits;

		private final AtomicBoolean open = new AtomicBoolean(true);

		Lease(Target target, AdaptiveLimits limits) {
			this.target = target;
			this.limits = limits;
		}

		@Override
		public Target target() {
			return this.target;
		}

		@Override
		public void close() {
			if (this.open.getAndSet(false)) {
				this.limits.release(this.target.id());
			}
		}

	}

	/**
	 * Builds a {@link WeightedTwoChoiceChooser}.
	 */
	public static final class Builder {

		private final String region;

		private final Clock clock;

		private @Nullable AtomicReference<TargetDirectory> directory;

		private @Nullable ConfigurationView view;

		private @Nullable HealthView health;

		private @Nullable LocalWeights localWeights;

		private @Nullable AdaptiveLimits limits;

		private Predicate<String> seesLeaving = (id) -> false;

		private DoubleSupplier random = () -> ThreadLocalRandom.current().nextDouble();

		Builder(String region, Clock clock) {
			this.region = region;
			this.clock = clock;
		}

		public Builder directory(AtomicReference<TargetDirectory> directory) {
			this.directory = directory;
			return this;
		}

		public Builder view(ConfigurationView view) {
			this.view = view;
			return this;
		}

		public Builder health(HealthView health) {
			this.health = health;
			return this;
		}

		public Builder localWeights(LocalWeights localWeights) {
			this.localWeights = localWeights;
			return this;
		}

		public Builder limits(AdaptiveLimits limits) {
			this.limits = limits;
			return this;
		}

		public Builder seesLeaving(Predicate<String> seesLeaving) {
			this.seesLeaving = seesLeaving;
			return this;
		}

		public Builder random(DoubleSupplier random) {
			this.random = random;
			return this;
		}

		public WeightedTwoChoiceChooser build() {
			return new WeightedTwoChoiceChooser(this);
		}

	}

}
