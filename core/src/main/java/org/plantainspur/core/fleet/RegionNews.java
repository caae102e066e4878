package org.plantainspur.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects what the hosts of a failure domain see of targets, for the other failure
 * domains of the region. A failure domain with few targets of a service sends work to the
 * others when its own are sick, and would find out by requests which of those are sick
 * too. Used by one thread.
 */
public final class RegionNews {

	/**
	 * Bytes between failure domains are billed; a spell of failures lasts for seconds.
	 */
	static final long PAUSE_MS = 200;

	private final Set<String> failed = new LinkedHashSet<>();

	private final Set<String> sound = new LinkedHashSet<>();

	private long toldMs = Long.MIN_VALUE / 2;

	/**
	 * Adds what a host saw. The later news of a target replaces the earlier.
	 * @param failedTargets identities of targets that failed
	 * @param soundTargets identities of doubtful targets that answered well
	 */
	public void add(Collection<String> failedTargets, Collection<String> soundTargets) {
		this.sound.removeAll(failedTargets);
		this.failed.addAll(failedTargets);
		this.failed.removeAll(soundTargets);
		this.sound.addAll(soundTargets);
	}

	/** Drops the news: another host tells them. */
	public void clear() {
		this.failed.clear();
		this.sound.clear();
	}

	/**
	 * Takes the news if they are due.
	 * @param now the reading of the clock
	 * @return the identities of the failed and of the sound targets, both empty if
	 * nothing is due
	 */
	public Told take(long now) {
		if (now - this.toldMs < PAUSE_MS || (this.failed.isEmpty() && this.sound.isEmpty())) {
			return Told.NOTHING;
		}
		this.toldMs = now;
		Told told = new Told(new ArrayList<>(this.failed), new ArrayList<>(this.sound));
		clear();
		return told;
	}

	/**
	 * What is told at once.
	 *
	 * @param failed identities of targets that failed
	 * @param sound identities of doubtful targets that answered well
	 */
	public record Told(List<String> failed, List<String> sound) {

		/** Nothing is due. */
		public static final Told NOTHING = new Told(List.of(), List.of());

		/**
		 * Returns whether there is nothing to tell.
		 * @return {@code true} if both lists are empty
		 */
		public boolean isEmpty() {
			return this.failed.isEmpty() && this.sound.isEmpty();
		}

	}

}
