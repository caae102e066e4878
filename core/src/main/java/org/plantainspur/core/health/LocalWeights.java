package org.plantainspur.core.health;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.Clock;

/**
 * Lowers the weight of targets on this host's own evidence, never below
 * {@link CapacityFloor#MIN_WEIGHT}. It takes effect before the coordinator's verdicts do,
 * and also for a fault of only this host's network path, for which the coordinator ejects
 * no target.
 */
public final class LocalWeights implements OutcomeRecorder {

	/**
	 * The smoothed failure rate up to which a target keeps its full weight, so that one
	 * failure among successes has no effect.
	 */
	private static final double TOLERATED_FAILURE_RATE = 0.3;

	/** The weight of the latest outcome in the exponential moving average. */
	private static final double SMOOTHING_FACTOR = 0.2;

	/**
	 * The time constant with which the failure rate decays, so that a target that
	 * receives few requests regains its weight and is tried again.
	 */
	private static final double DECAY_MILLIS = 10_000;

	private final Clock clock;

	private final ConcurrentMap<String, AtomicReference<SmoothedFailureRate>> failureRates = new ConcurrentHashMap<>();

	/**
	 * Creates weights that are all 1.
	 * @param clock the process clock
	 */
	public LocalWeights(Clock clock) {
		this.clock = clock;
	}

	@Override
	public void record(Outcome outcome) {
		if (outcome.kind() == Kind.SHED) {
			return;
		}
		long now = this.clock.millis();
		double sample = (outcome.kind() == Kind.SUCCESS) ? 0 : 1;
		AtomicReference<SmoothedFailureRate> failureRate = this.failureRates.get(outcome.target().id());
		if (failureRate == null && sample == 0) {
			return;
		}
		if (failureRate == null) {
			failureRate = this.failureRates.computeIfAbsent(outcome.target().id(),
					(id) -> new AtomicReference<>(new SmoothedFailureRate(0, now)));
		}
		failureRate.updateAndGet((old) -> {
			double decayed = old.decayedRate(now);
			return new SmoothedFailureRate(decayed + SMOOTHING_FACTOR * (sample - decayed), now);
		});
	}

	@Override
	public void targetLeaving(Target target) {
		this.failureRates.remove(target.id());
	}

	/**
	 * Returns the weight of a target.
	 * @param targetId the target's id
	 * @return the weight, 0.1 to 1
	 */
	public double weight(String targetId) {
		AtomicReference<SmoothedFailureRate> failureRate = this.failureRates.get(targetId);
		if (failureRate == null) {
			return 1;
		}
		double rate = failureRate.get().decayedRate(this.clock.millis());
		return (rate <= TOLERATED_FAILURE_RATE) ? 1 : Math.max(CapacityFloor.MIN_WEIGHT, 1 - rate);
	}

	private record SmoothedFailureRate(double rate, long atMillis) {

		double decayedRate(long now) {
			return this.rate * Math.exp(-(now - this.atMillis) / DECAY_MILLIS);
		}

	}

}
