package org.plantainspur.core.routing;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Takes a service for overloaded while targets with at least half of its slots shed load.
 * Fewer may be a few busy targets beside idle ones, where another attempt serves the
 * caller; the budget bounds the retries then.
 */
public final class SheddingTargets implements LoadShedding {

	private final AtomicReference<TargetDirectory> directory;

	private final AdaptiveLimits limits;

	/**
	 * Creates the signal.
	 * @param directory the targets, replaced as a whole
	 * @param limits what this host has seen of their refusals
	 */
	public SheddingTargets(AtomicReference<TargetDirectory> directory, AdaptiveLimits limits) {
		this.directory = directory;
		this.limits = limits;
	}

	@Override
	public boolean shedding(String service) {
		int slots = 0;
		int shedding = 0;
		for (Target target : this.directory.get().targets(service)) {
			if (!target.leaving()) {
				int own = Math.max(1, target.slots());
				slots += own;
				shedding += this.limits.shedding(target.id()) ? own : 0;
			}
		}
		return shedding > 0 && 2 * shedding >= slots;
	}

}
