package org.plantainspur.host;

import jakarta.inject.Inject;

import org.plantainspur.adapters.http.InFlightRequestCounter;
import org.plantainspur.core.configuration.ConfigurationFollower;
import org.plantainspur.core.currency.HeartbeatExchange;
import org.plantainspur.core.health.CrashQuarantine;
import org.plantainspur.core.health.HealthCoordinatorRegistry;
import org.plantainspur.core.health.PendingReportRequests;
import org.plantainspur.core.peer.PeerHandler;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.rate.SharedRateLimiter;
import org.plantainspur.core.request.RelayReceiver;
import org.plantainspur.core.routing.PeerTargetFetcher;

/**
 * Passes each message from another member to the component that answers it.
 */
final class HostPeerHandler implements PeerHandler {

	private final HeartbeatExchange heartbeats;

	private final ConfigurationPoller configurationPoller;

	private final ConfigurationFollower follower;

	private final SharedRateLimiter limiter;

	private final HealthCoordinatorRegistry coordinators;

	private final CrashQuarantine quarantine;

	private final InFlightRequestCounter inFlightRequests;

	private final RelayReceiver relayReceiver;

	private final PeerTargetFetcher targetFetcher;

	private final PendingReportRequests pendingReportRequests;

	@Inject
	HostPeerHandler(HeartbeatExchange heartbeats, ConfigurationPoller configurationPoller,
			ConfigurationFollower follower, SharedRateLimiter limiter, HealthCoordinatorRegistry coordinators,
			CrashQuarantine quarantine, InFlightRequestCounter inFlightRequests, RelayReceiver relayReceiver,
			PeerTargetFetcher targetFetcher, PendingReportRequests pendingReportRequests) {
		this.heartbeats = heartbeats;
		this.configurationPoller = configurationPoller;
		this.follower = follower;
		this.limiter = limiter;
		this.coordinators = coordinators;
		this.quarantine = quarantine;
		this.inFlightRequests = inFlightRequests;
		this.relayReceiver = relayReceiver;
		this.targetFetcher = targetFetcher;
		this.pendingReportRequests = pendingReportRequests;
	}

	@Override
	public PeerMessage handle(PeerMessage message) {
		if (message instanceof PeerMessage.Heartbeat heartbeat) {
			return this.heartbeats.answer(heartbeat);
		}
		if (message instanceof PeerMessage.Borrow borrow) {
			return this.limiter.lend(borrow);
		}
		if (message instanceof PeerMessage.Report report) {
			return this.coordinators.report(report);
		}
		if (message instanceof PeerMessage.Relay relay) {
			return serveRelayed(relay);
		}
		if (message instanceof PeerMessage.ConfigurationRequest request) {
			return this.follower.answer(request);
		}
		if (message instanceof PeerMessage.ConfigurationPartRequest request) {
			return this.follower.answer(request);
		}
		if (message instanceof PeerMessage.TargetListRequest) {
			return this.targetFetcher.targetList();
		}
		return handleNotification(message);
	}

	private PeerMessage handleNotification(PeerMessage message) {
		if (message instanceof PeerMessage.Nudge nudge) {
			this.configurationPoller.onNudge(nudge.sequence());
		}
		else if (message instanceof PeerMessage.Suspect suspect) {
			this.quarantine.recordCrash(suspect);
		}
		else if (message instanceof PeerMessage.ReportRequest request) {
			this.pendingReportRequests.add(request.service());
		}
		return new PeerMessage.Acknowledged();
	}

	// Counts a relayed request as in flight, so that a graceful shutdown waits for it.
	private PeerMessage.Relayed serveRelayed(PeerMessage.Relay relay) {
		this.inFlightRequests.requestStarted();
		try {
			return this.relayReceiver.serve(relay);
		}
		finally {
			this.inFlightRequests.requestEnded();
		}
	}

}
