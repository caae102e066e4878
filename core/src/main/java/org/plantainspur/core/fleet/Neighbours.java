package org.plantainspur.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.plantainspur.core.time.Clock;

/**
 * The other hosts that are heard from. Thread-safe.
 */
public final class Neighbours {

	/** Three beats may be lost or late before a host counts as down. */
	public static final long SILENCE_MS = 1_600;

	private final Map<String, Heard> heard = new ConcurrentHashMap<>();

	private final Clock clock;

	public Neighbours(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Takes a beat. A beat of an earlier process of the same host is dropped.
	 * @param beat the beat
	 */
	public void heard(HostBeat beat) {
		Heard now = new Heard(beat, this.clock.millis());
		this.heard.merge(beat.host(), now,
				(before, latest) -> (before.beat().start() > latest.beat().start()) ? before : latest);
	}

	/**
	 * Returns the last beats of the hosts that were heard of late.
	 * @return a new list
	 */
	public List<HostBeat> alive() {
		long now = this.clock.millis();
		List<HostBeat> alive = new ArrayList<>();
		Collection<Heard> all = this.heard.values();
		for (Heard host : all) {
			if (now - host.atMs() < SILENCE_MS) {
				alive.add(host.beat());
			}
		}
		return alive;
	}

	/**
	 * Returns the time since a host was last heard.
	 * @param host the host's name
	 * @return the time in milliseconds, {@link Long#MAX_VALUE} if it was never heard
	 */
	public long silenceMs(String host) {
		Heard last = this.heard.get(host);
		return (last != null) ? this.clock.millis() - last.atMs() : Long.MAX_VALUE;
	}

	private record Heard(HostBeat beat, long atMs) {
	}

}
