package org.plantainspur.core.health;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.Clock;

/**
 * Lowers the weight of targets on this host's own evidence, never below
 * {@link FloorGuard#LEAST_WEIGHT}. It acts before the coordinator does, and where a path
 * is cut for this host only.
 */
public final class LocalWeights implements OutcomeRecorder {

	/** One failure among successes does not move a weight. */
	private static final double TOLERATED = 0.3;

	private static final double STEP = 0.2;

	/** Evidence fades, so that a target that gets little work is tried again. */
	private static final double FADE_MILLIS = 10_000;

	private final Clock clock;

	private final ConcurrentMap<String, AtomicReference<Level>> levels = new ConcurrentHashMap<>();

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
		AtomicReference<Level> level = this.levels.get(outcome.target().id());
		if (level == null && sample == 0) {
			return;
		}
		if (level == null) {
			level = this.levels.computeIfAbsent(outcome.target().id(),
					(id) -> new AtomicReference<>(new Level(0, now)));
		}
		level.updateAndGet((old) -> {
			double faded = old.at(now);
			return new Level(faded + STEP * (sample - faded), now);
		});
	}

	@Override
	public void leaving(Target target) {
		this.levels.remove(target.id());
	}

	/**
	 * Returns the weight of a target.
	 * @param targetId the target
	 * @return 0.1 to 1
	 */
	public double weight(String targetId) {
		AtomicReference<Level> level = this.levels.get(targetId);
		if (level == null) {
			return 1;
		}
		double failing = level.get().at(this.clock.millis());
		return (failing <= TOLERATED) ? 1 : Math.max(FloorGuard.LEAST_WEIGHT, 1 - failing);
	}

	private record Level(double failing, long atMillis) {

		double at(long now) {
			return this.failing * Math.exp(-(now - this.atMillis) / FADE_MILLIS);
		}

	}

}
