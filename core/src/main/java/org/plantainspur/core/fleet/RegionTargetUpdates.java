package org.plantainspur.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects the outcomes that the hosts of a failure domain observed on targets, for the
 * other failure domains of the region. A failure domain with few targets of a service
 * sends requests to the other domains when its own targets are unhealthy; without these
 * updates it would find the unhealthy targets there only by failed requests. Used by one
 * thread.
 */
public final class RegionTargetUpdates {

	/**
	 * The shortest interval between two batches. Bytes between failure domains are
	 * billed, and targets stay unhealthy for seconds.
	 */
	static final long MIN_INTERVAL_MS = 200;

	private final Set<String> failed = new LinkedHashSet<>();

	private final Set<String> recovered = new LinkedHashSet<>();

	private long sentMs = Long.MIN_VALUE / 2;

	/**
	 * Adds outcomes that a host observed. A later outcome of a target replaces an earlier
	 * one.
	 * @param failedTargets identities of targets that failed
	 * @param recoveredTargets identities of suspect targets that succeeded
	 */
	public void add(Collection<String> failedTargets, Collection<String> recoveredTargets) {
		this.recovered.removeAll(failedTargets);
		this.failed.addAll(failedTargets);
		this.failed.removeAll(recoveredTargets);
		this.recovered.addAll(recoveredTargets);
	}

	/** Drops the collected outcomes, since another host sends them. */
	public void clear() {
		this.failed.clear();
		this.recovered.clear();
	}

	/**
	 * Takes the collected outcomes if a batch is due.
	 * @param nowMs the clock's current reading in milliseconds
	 * @return the batch to send, empty if none is due
	 */
	public Batch take(long nowMs) {
		if (nowMs - this.sentMs < MIN_INTERVAL_MS || (this.failed.isEmpty() && this.recovered.isEmpty())) {
			return Batch.EMPTY;
		}
		this.sentMs = nowMs;
		Batch batch = new Batch(new ArrayList<>(this.failed), new ArrayList<>(this.recovered));
		clear();
		return batch;
	}

	/**
	 * The outcomes that are sent together.
	 *
	 * @param failed identities of targets that failed
	 * @param recovered identities of suspect targets that succeeded
	 */
	public record Batch(List<String> failed, List<String> recovered) {

		/** The batch without outcomes. */
		public static final Batch EMPTY = new Batch(List.of(), List.of());

		/**
		 * Returns whether there is nothing to send.
		 * @return {@code true} if both lists are empty
		 */
		public boolean isEmpty() {
			return this.failed.isEmpty() && this.recovered.isEmpty();
		}

	}

}
