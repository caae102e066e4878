package org.plantainspur.core.fleet;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.plantainspur.core.health.RequestCrash;

/**
 * Selects the crashes of requests that other failure domains have not been told of yet.
 * Bytes between failure domains are billed, so each crash is sent only
 * {@link #SENDS_PER_CRASH} times. Used by one thread.
 */
public final class CrashReports {

	/** A crash is sent once more in case a datagram is lost. */
	static final int SENDS_PER_CRASH = 2;

	/** The most crashes whose sends are counted; the oldest is forgotten beyond it. */
	private static final int MAX_COUNTED = 1_000;

	private final Map<Long, Integer> sendsById = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Integer> eldest) {
			return size() > MAX_COUNTED;
		}

	};

	/**
	 * Records crashes that another failure domain has reported. It reports them to all
	 * domains itself.
	 * @param crashes the crashes, which are not sent from here
	 */
	public void addReceived(Collection<RequestCrash> crashes) {
		crashes.forEach((crash) -> this.sendsById.put(crash.id(), SENDS_PER_CRASH));
	}

	/**
	 * Returns the crashes to send now; they count as sent.
	 * @param current the crashes that this host reports within its failure domain
	 * @return those that have been sent less often than {@link #SENDS_PER_CRASH}
	 */
	public List<RequestCrash> take(List<RequestCrash> current) {
		return current.stream()
			.filter((crash) -> this.sendsById.merge(crash.id(), 1, Integer::sum) <= SENDS_PER_CRASH)
			.toList();
	}

}
