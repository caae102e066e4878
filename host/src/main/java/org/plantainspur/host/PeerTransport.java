package org.plantainspur.host;

import java.io.IOException;
import java.net.InetSocketAddress;

import io.dropwizard.lifecycle.Managed;

import org.plantainspur.adapters.peer.FleetSecret;
import org.plantainspur.adapters.peer.TcpPeerLink;
import org.plantainspur.adapters.peer.TcpPeerServer;
import org.plantainspur.core.peer.PeerHandler;

/**
 * Accepts connections from other members as soon as it is constructed, and closes the
 * connections from and to them when the host stops.
 */
final class PeerTransport implements Managed {

	private final TcpPeerServer server;

	private final TcpPeerLink link;

	PeerTransport(HostSettings settings, FleetSecret secret, PeerHandler handler, TcpPeerLink link) throws IOException {
		String address = settings.peerAddress();
		int colon = address.lastIndexOf(':');
		this.server = new TcpPeerServer(
				new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
				secret, handler, new TcpPeerServer.Limits(settings.peerConnections(), settings.relayThreads()));
		this.link = link;
	}

	@Override
	public void stop() throws IOException {
		this.server.close();
		this.link.close();
	}

}
