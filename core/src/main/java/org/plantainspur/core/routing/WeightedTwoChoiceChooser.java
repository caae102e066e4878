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
 * Draws two targets with probabilities in proportion to slots times weight, and chooses
 * the less loaded one. The other region gets a request only if every local target is full
 * or at its connection or concurrency limit.
 */
public final class WeightedTwoChoiceChooser implements TargetChooser {

	/**
	 * A target with this many requests per slot has a queue and counts as full: any
	 * target below this load is preferred, even one in the other region.
	 */
	private static final double FULL_LOAD_PER_SLOT = 2;

	private final String region;

	private final Clock clock;

	private final AtomicReference<TargetDirectory> directory;

	private final ConfigurationView view;

	private final HealthView health;

	private final LocalWeights localWeights;

	private final AdaptiveLimits limits;

	private final Predicate<String> observedLeaving;

	private final DoubleSupplier random;

	private WeightedTwoChoiceChooser(Builder builder) {
		this.region = builder.region;
		this.clock = builder.clock;
		this.directory = Required.of(builder.directory, "directory");
		this.view = Required.of(builder.view, "view");
		this.health = (builder.health != null) ? builder.health : new HealthView(builder.clock);
		this.localWeights = (builder.localWeights != null) ? builder.localWeights : new LocalWeights(builder.clock);
		this.limits = (builder.limits != null) ? builder.limits : new AdaptiveLimits(builder.clock);
		this.observedLeaving = builder.observedLeaving;
		this.random = builder.random;
	}

	/**
	 * Returns a builder on which at least the directory and the view must be set.
	 * @param region the name of this host's region
	 * @param clock the process clock
	 * @return a builder with defaults for everything else
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
				List<Candidate> candidates = target.region().equals(this.region) ? local : remote;
				candidates.add(candidate(usable, members));
			}
		}
		TargetLease lease = tryLease(local, Candidate::belowFullLoad);
		lease = (lease != null) ? lease : tryLease(remote, Candidate::belowFullLoad);
		lease = (lease != null) ? lease : tryLease(local, (candidate) -> true);
		return (lease != null) ? lease : tryLease(remote, (candidate) -> true);
	}

	private List<CapacityFloor.Usable> usable(String service) {
		long now = this.clock.millis();
		HealthView.ServiceHealth serviceHealth = this.health.service(service);
		List<Target> active = new ArrayList<>();
		for (Target target : this.directory.get().targets(service)) {
			if (!target.leaving() && !serviceHealth.leaving(target.id(), now)
					&& !this.observedLeaving.test(target.id())) {
				active.add(target);
			}
		}
		return CapacityFloor.usable(active, serviceHealth, this.view.current().service(service).capacityFloor(), now);
	}

	private Candidate candidate(CapacityFloor.Usable usable, int members) {
		Target target = usable.target();
		double weight = Math.max(CapacityFloor.MIN_WEIGHT, usable.weight() * this.localWeights.weight(target.id()));
		int connections = Math.max(1, target.connections() / members);
		return new Candidate(target, Math.max(1, target.slots()) * weight,
				this.limits.inFlight(target.id()) + usable.load(), connections);
	}

	private @Nullable TargetLease tryLease(List<Candidate> candidates, Predicate<Candidate> eligible) {
		List<Candidate> remaining = new ArrayList<>(candidates.size());
		for (Candidate candidate : candidates) {
			if (eligible.test(candidate) && this.limits.hasCapacity(candidate.target().id(), candidate.connections())) {
				remaining.add(candidate);
			}
		}
		while (!remaining.isEmpty()) {
			Candidate chosen = lessLoaded(draw(remaining), draw(remaining));
			if (this.limits.tryAcquire(chosen.target().id(), chosen.connections())) {
				return new Lease(chosen.target(), this.limits);
			}
			remaining.remove(chosen);
		}
		return null;
	}

	private static Candidate lessLoaded(Candidate first, Candidate second) {
		return (second.loadPerWeightedSlot() < first.loadPerWeightedSlot()) ? second : first;
	}

	private Candidate draw(List<Candidate> candidates) {
		double total = 0;
		for (Candidate candidate : candidates) {
			total += candidate.weightedSlots();
		}
		double remainingWeight = this.random.getAsDouble() * total;
		for (Candidate candidate : candidates) {
			remainingWeight -= candidate.weightedSlots();
			if (remainingWeight < 0) {
				return candidate;
			}
		}
		return candidates.get(candidates.size() - 1);
	}

	/**
	 * A target that may be chosen.
	 *
	 * @param target the target
	 * @param weightedSlots the target's slots times its weight
	 * @param load the requests in flight from this host plus the load last reported for
	 * all hosts
	 * @param connections the number of connections to the target that this host may use
	 */
	private record Candidate(Target target, double weightedSlots, int load, int connections) {

		double loadPerWeightedSlot() {
			return this.load / this.weightedSlots;
		}

		boolean belowFullLoad() {
			return this.load < FULL_LOAD_PER_SLOT * this.target.slots();
		}

	}

	private static final class Lease implements TargetLease {

		private final Target target;

		private final AdaptiveLimits limits;

		private final AtomicBoolean unreleased = new AtomicBoolean(true);

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
			if (this.unreleased.getAndSet(false)) {
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

		private Predicate<String> observedLeaving = (id) -> false;

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

		/**
		 * Sets which targets this host itself has observed to be leaving.
		 * @param observedLeaving tests a target's id; by default no target is leaving
		 * @return this builder
		 */
		public Builder observedLeaving(Predicate<String> observedLeaving) {
			this.observedLeaving = observedLeaving;
			return this;
		}

		/**
		 * Sets the source of random numbers for the draws.
		 * @param random returns numbers from 0 up to but excluding 1; by default those of
		 * the current thread's generator
		 * @return this builder
		 */
		public Builder random(DoubleSupplier random) {
			this.random = random;
			return this;
		}

		public WeightedTwoChoiceChooser build() {
			return new WeightedTwoChoiceChooser(this);
		}

	}

}
