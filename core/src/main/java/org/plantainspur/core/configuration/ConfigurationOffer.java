package org.plantainspur.core.configuration;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.time.Clock;

/**
 * Keeps the parts of one state while peers fetch them, since a state that changed between
 * two parts could not be joined.
 */
final class ConfigurationOffer {

	/**
	 * After this time a peer that starts gets a newer state. A peer that is still
	 * fetching the older one starts again; 37 parts at 60 ms each take about 2 s.
	 */
	static final long LIFETIME_MILLIS = 30_000;

	private final AtomicReference<@Nullable Offer> newest = new AtomicReference<>();

	private final Clock clock;

	ConfigurationOffer(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the first part of a state.
	 * @param after the sequence number that the peer has
	 * @param current the configuration in force
	 * @return part 0 of a state with a greater sequence number
	 */
	ConfigurationPart first(long after, Configuration current) {
		Offer offer = this.newest.get();
		if (offer == null || offer.sequence() <= after || this.clock.millis() - offer.sinceMillis() > LIFETIME_MILLIS) {
			offer = new Offer(current.sequence(), this.clock.millis(), ConfigurationParts.split(current.state()));
			this.newest.set(offer);
		}
		return offer.parts().get(0);
	}

	/**
	 * Returns one part.
	 * @param sequence the sequence number of the state that the peer is fetching
	 * @param number the number of the part
	 * @param current the configuration in force
	 * @return the part, or part 0 of a newer state if that one is no longer offered
	 */
	ConfigurationPart part(long sequence, int number, Configuration current) {
		Offer offer = this.newest.get();
		if (offer == null || offer.sequence() != sequence || number < 0 || number >= offer.parts().size()) {
			return first(sequence, current);
		}
		return offer.parts().get(number);
	}

	private record Offer(long sequence, long sinceMillis, List<ConfigurationPart> parts) {
	}

}
