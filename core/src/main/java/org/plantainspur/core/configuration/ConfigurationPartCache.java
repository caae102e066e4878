package org.plantainspur.core.configuration;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.time.Clock;

/**
 * Keeps the parts of one configuration state while peers fetch them, since parts of
 * different states cannot be joined.
 */
final class ConfigurationPartCache {

	/**
	 * The age, in milliseconds, after which the cached state is replaced by the current
	 * one when a peer requests its first part. A peer that is still fetching the older
	 * state then has to start again. This is rare, since 37 parts at 60 ms each take
	 * about 2 s.
	 */
	static final long LIFETIME_MILLIS = 30_000;

	private final AtomicReference<@Nullable CachedParts> newest = new AtomicReference<>();

	private final Clock clock;

	ConfigurationPartCache(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the first part of the state that a peer should fetch.
	 * @param after the sequence number that the peer has in force
	 * @param current the configuration in force
	 * @return part 0 of the cached state if that is newer than the peer's and has not
	 * expired, otherwise of the current state, which is cached
	 */
	ConfigurationPart firstPart(long after, Configuration current) {
		CachedParts cached = this.newest.get();
		if (cached == null || cached.sequence() <= after
				|| this.clock.millis() - cached.createdMillis() > LIFETIME_MILLIS) {
			cached = new CachedParts(current.sequence(), this.clock.millis(),
					ConfigurationParts.split(current.state()));
			this.newest.set(cached);
		}
		return cached.parts().get(0);
	}

	/**
	 * Returns one part of a state.
	 * @param sequence the sequence number of the state that the peer is fetching
	 * @param number the number of the part
	 * @param current the configuration in force
	 * @return the part, or part 0 of the cached or current state if the requested state
	 * is no longer cached
	 */
	ConfigurationPart part(long sequence, int number, Configuration current) {
		CachedParts cached = this.newest.get();
		if (cached == null || cached.sequence() != sequence || number < 0 || number >= cached.parts().size()) {
			return firstPart(sequence, current);
		}
		return cached.parts().get(number);
	}

	private record CachedParts(long sequence, long createdMillis, List<ConfigurationPart> parts) {
	}

}
