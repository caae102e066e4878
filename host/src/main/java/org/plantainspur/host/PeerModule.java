package org.plantainspur.host;

import java.io.IOException;
import java.util.List;

import com.google.inject.AbstractModule;
import com.google.inject.Provider;
import com.google.inject.Provides;
import com.google.inject.Singleton;

import org.plantainspur.adapters.http.CallerActivity;
import org.plantainspur.adapters.http.StopSignal;
import org.plantainspur.adapters.peer.FleetSecret;
import org.plantainspur.adapters.peer.TcpPeerLink;
import org.plantainspur.core.configuration.ConfigurationFollower;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerHandler;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.request.PeerRequestRelay;
import org.plantainspur.core.request.RelayReceiver;
import org.plantainspur.core.request.RequestPipeline;
import org.plantainspur.core.request.RequestRelay;
import org.plantainspur.core.time.Clock;

/**
 * Wires the messages between members.
 */
final class PeerModule extends AbstractModule {

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
	PeerHandler peerHandler(Member member, ConfigurationView view, ConfigurationFollower follower,
			StopSignal stopSignal, CallerActivity activity, Provider<RequestPipeline> pipeline, Clock clock) {
		return new HostPeerHandler(activity, (relay) -> new RelayReceiver(member, pipeline.get(), clock).serve(relay),
				() -> heartbeat(member, view, follower, stopSignal));
	}

	private static PeerMessage.Heartbeat heartbeat(Member member, ConfigurationView view,
			ConfigurationFollower follower, StopSignal stopSignal) {
		long age = follower.readAgeMillis();
		return new PeerMessage.Heartbeat(member.hostId(), member.processId(), view.current().sequence(),
				(age == Long.MAX_VALUE) ? -1 : age, stopSignal.stopping(), List.of());
	}

	@Provides
	@Singleton
	PeerTransport peerTransport(HostSettings settings, FleetSecret secret, PeerHandler handler, TcpPeerLink link)
			throws IOException {
		return new PeerTransport(settings, secret, handler, link);
	}

}
