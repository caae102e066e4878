package org.plantainspur.host;

import java.io.IOException;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;

import org.plantainspur.adapters.peer.FleetSecret;
import org.plantainspur.adapters.peer.TcpPeerLink;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerHandler;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.request.PeerRequestRelay;
import org.plantainspur.core.request.RelayReceiver;
import org.plantainspur.core.request.RequestPipeline;
import org.plantainspur.core.request.RequestRelay;
import org.plantainspur.core.time.Clock;

/**
 * Binds the transport of messages between members, and the relay of requests.
 */
final class PeerModule extends AbstractModule {

	@Override
	protected void configure() {
		bind(PeerHandler.class).to(HostPeerHandler.class).in(Singleton.class);
	}

	@Provides
	@Singleton
	FleetSecret fleetSecret(HostSettings settings) {
		return FleetSecret.of(settings.fleetSecret());
	}

	@Provides
	@Singleton
	TcpPeerLink tcpPeerLink(FleetSecret secret, Clock clock) {
		return new TcpPeerLink(secret, clock);
	}

	@Provides
	PeerLink peerLink(TcpPeerLink link) {
		return link;
	}

	@Provides
	@Singleton
	RequestRelay requestRelay(PeerLink link, ConfigurationView view, Clock clock) {
		return new PeerRequestRelay(view, link, clock);
	}

	@Provides
	@Singleton
	RelayReceiver relayReceiver(Member self, RequestPipeline pipeline, Clock clock) {
		return new RelayReceiver(self, pipeline, clock);
	}

	@Provides
	@Singleton
	PeerTransport peerTransport(HostSettings settings, FleetSecret secret, PeerHandler handler, TcpPeerLink link)
			throws IOException {
		return new PeerTransport(settings, secret, handler, link);
	}

}
