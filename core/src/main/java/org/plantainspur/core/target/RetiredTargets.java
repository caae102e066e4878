package org.plantainspur.core.target;

import java.util.HashMap;
import java.util.Map;

import org.plantainspur.core.store.StoreVersion;
import org.plantainspur.core.time.Clock;

/**
 * The targets that have left or are gone, so that their entries do not bring them back
 * when the store is restored from a copy that still has them. Used by one thread.
 */
public final class RetiredTargets {

	/**
	 * How long the entry of a target that is gone stays out of use in a new era. The
	 * platform has removed it by then unless the target is alive.
	 */
	public static final long RESTORED_ENTRY_HOLD_MS = 6_000;

	/** How long a target is remembered; a copy of the store is seconds old. */
	private static final long RETENTION_MS = 600_000;

	private final Clock clock;

	private final Map<String, Retired> retired = new HashMap<>();

	private long era;

	private long eraMetMs;

	public RetiredTargets(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records that a target is leaving or that its entry was removed.
	 * @param listing its last entry
	 * @param version the version at which the entry was written
	 */
	public void retire(TargetListing listing, StoreVersion version) {
		long nowMs = this.clock.millis();
		this.retired.values().removeIf((target) -> nowMs - target.sinceMs() > RETENTION_MS);
		this.retired.put(listing.id(), new Retired(listing, version, nowMs));
	}

	/**
	 * Returns whether an entry is one of a restored copy and older than what this host
	 * knows of the target. A target that was leaving is leaving for as long as its
	 * incarnation lasts; one that is gone may have been written again.
	 * @param listing the entry
	 * @param version the version at which it was written
	 * @return {@code true} if the target must get no requests
	 */
	public boolean contains(TargetListing listing, StoreVersion version) {
		if (version.era() > this.era) {
			this.era = version.era();
			this.eraMetMs = this.clock.millis();
		}
		Retired known = this.retired.get(listing.id());
		if (known == null || known.version().era() >= version.era()
				|| !known.listing().incarnation().equals(listing.incarnation())) {
			return false;
		}
		boolean left = known.listing().leaving() && listing.startedMs() > 0;
		return left || (version.number() <= known.version().number()
				&& this.clock.millis() - this.eraMetMs < RESTORED_ENTRY_HOLD_MS);
	}

	private record Retired(TargetListing listing, StoreVersion version, long sinceMs) {
	}

}
