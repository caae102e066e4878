package org.plantainspur.core.routing;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Reports a service as overloaded while targets with at least half of its slots shed
 * load. With fewer slots shedding, other targets may be idle and a retry may succeed; the
 * retry budget then bounds the retries.
 */
public final class TargetLoadSheddingDetector implements LoadSheddingDetector {

	private final AtomicReference<TargetDirectory> directory;

	private final AdaptiveLimits limits;

	/**
	 * Creates a detector.
	 * @param directory the current targets
	 * @param limits knows which targets have refused requests of this host lately
	 */
	public TargetLoadSheddingDetector(AtomicReference<TargetDirectory> directory, AdaptiveLimits limits) {
		this.directory = directory;
		this.limits = limits;
	}

	@Override
	public boolean shedding(String service) {
		int totalSlots = 0;
		int sheddingSlots = 0;
		for (Target target : this.directory.get().targets(service)) {
			if (!target.leaving()) {
				int targetSlots = Math.max(1, target.slots());
				totalSlots += targetSlots;
				sheddingSlots += this.limits.shedding(target.id()) ? targetSlots : 0;
			}
		}
		return sheddingSlots > 0 && 2 * sheddingSlots >= totalSlots;
	}

}
