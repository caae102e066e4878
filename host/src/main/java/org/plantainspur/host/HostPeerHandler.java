package org.plantainspur.host;

import java.util.function.Function;
import java.util.function.Supplier;

import org.plantainspur.adapters.http.CallerActivity;
import org.plantainspur.core.peer.PeerHandler;
import org.plantainspur.core.peer.PeerMessage;

/**
 * Answers heartbeats and relayed requests.
 */
final class HostPeerHandler implements PeerHandler {

	private final CallerActivity activity;

	private final Function<PeerMessage.Relay, PeerMessage.Relayed> relays;

	private final Supplier<PeerMessage.Heartbeat> heartbeat;

	HostPeerHandler(CallerActivity activity, Function<PeerMessage.Relay, PeerMessage.Relayed> relays,
			Supplier<PeerMessage.Heartbeat> heartbeat) {
		this.activity = activity;
		this.relays = relays;
		this.heartbeat = heartbeat;
	}

	@Override
	public PeerMessage handle(PeerMessage message) {
		if (message instanceof PeerMessage.Heartbeat) {
			return this.heartbeat.get();
		}
		if (message instanceof PeerMessage.Relay relay) {
			return serve(relay);
		}
		if (message instanceof PeerMessage.Borrow) {
			return new PeerMessage.Lent(0);
		}
		return new PeerMessage.Acknowledged();
	}

	// A relayed request counts as in flight, so that a stop waits for it.
	private PeerMessage.Relayed serve(PeerMessage.Relay relay) {
		this.activity.begin();
		try {
			return this.relays.apply(relay);
		}
		finally {
			this.activity.end();
		}
	}

}
