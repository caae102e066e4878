package org.plantainspur.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.plantainspur.core.time.Clock;

/**
 * The last heartbeat of each other host, and which of the hosts are alive. Thread-safe.
 */
public final class LiveHosts {

	/**
	 * A host without a heartbeat for this long counts as down. At one heartbeat every 500
	 * ms, two in a row may be lost and the next one may be up to 100 ms late.
	 */
	public static final long HEARTBEAT_TIMEOUT_MS = 1_600;

	private final Map<String, Received> lastHeartbeats = new ConcurrentHashMap<>();

	private final Clock clock;

	public LiveHosts(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records a heartbeat. A heartbeat of an earlier process of the same host is ignored.
	 * @param heartbeat the heartbeat as received
	 */
	public void receive(HostHeartbeat heartbeat) {
		Received received = new Received(heartbeat, this.clock.millis());
		this.lastHeartbeats.merge(heartbeat.host(), received, (previous,
				latest) -> (previous.heartbeat().startMs() > latest.heartbeat().startMs()) ? previous : latest);
	}

	/**
	 * Returns the last heartbeats of the hosts that are alive.
	 * @return a new list in no particular order
	 */
	public List<HostHeartbeat> alive() {
		long nowMs = this.clock.millis();
		List<HostHeartbeat> alive = new ArrayList<>();
		Collection<Received> all = this.lastHeartbeats.values();
		for (Received host : all) {
			if (nowMs - host.receivedMs() < HEARTBEAT_TIMEOUT_MS) {
				alive.add(host.heartbeat());
			}
		}
		return alive;
	}

	/**
	 * Returns the time since the last heartbeat of a host.
	 * @param host the host's name
	 * @return the time in milliseconds, {@link Long#MAX_VALUE} if none was received
	 */
	public long silenceMs(String host) {
		Received last = this.lastHeartbeats.get(host);
		return (last != null) ? this.clock.millis() - last.receivedMs() : Long.MAX_VALUE;
	}

	private record Received(HostHeartbeat heartbeat, long receivedMs) {
	}

}
