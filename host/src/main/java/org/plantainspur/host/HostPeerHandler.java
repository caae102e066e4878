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
 * Passes each message to the decision that answers it.
 */
final class HostPeerHandler implements PeerHandler {

	private final HeartbeatExchange heartbeats;

	private final ConfigurationUpdates updates;

	private final ConfigurationFollower follower;

	private final SharedRateLimiter limiter;

	private final HealthCoordinatorRegistry coordinators;

	private final CrashQuarantine quarantine;

	private final InFlightRequestCounter activity;

	private final RelayReceiver relays;

	private final PeerTargetFetcher targets;

	private final PendingReportRequests requestedReports;

	@Inject
	HostPeerHandler(HeartbeatExchange heartbeats, ConfigurationUpdates updates, ConfigurationFollower follower,
			SharedRateLimiter limiter, HealthCoordinatorRegistry coordinators, CrashQuarantine quarantine,
			InFlightRequestCounter activity, RelayReceiver relays, PeerTargetFetcher targets,
			PendingReportRequests requestedReports) {
		this.heartbeats = heartbeats;
		this.updates = updates;
		this.follower = follower;
		this.limiter = limiter;
		this.coordinators = coordinators;
		this.quarantine = quarantine;
		this.activity = activity;
		this.relays = relays;
		this.targets = targets;
		this.requestedReports = requestedReports;
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
			return serve(relay);
		}
		if (message instanceof PeerMessage.ConfigurationRequest request) {
			return this.follower.answer(request);
		}
		if (message instanceof PeerMessage.ConfigurationPartRequest request) {
			return this.follower.answer(request);
		}
		if (message instanceof PeerMessage.TargetListRequest) {
			return this.targets.targetList();
		}
		return acknowledge(message);
	}

	private PeerMessage acknowledge(PeerMessage message) {
		if (message instanceof PeerMessage.Nudge nudge) {
			this.updates.nudged(nudge.sequence());
		}
		else if (message instanceof PeerMessage.Suspect suspect) {
			this.quarantine.recordCrash(suspect);
		}
		else if (message instanceof PeerMessage.ReportRequest request) {
			this.requestedReports.add(request.service());
		}
		return new PeerMessage.Acknowledged();
	}

	// A relayed request counts as in flight, so that a stop waits for it.
	private PeerMessage.Relayed serve(PeerMessage.Relay relay) {
		this.activity.requestStarted();
		try {
			return this.relays.serve(relay);
		}
		finally {
			this.activity.requestEnded();
		}
	}

}
