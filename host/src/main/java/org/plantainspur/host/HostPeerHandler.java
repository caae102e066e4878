package org.plantainspur.host;

import java.util.function.Supplier;

import com.google.inject.Provider;

import org.plantainspur.adapters.http.CallerActivity;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerHandler;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.request.RequestPipeline;
import org.plantainspur.core.time.Clock;

/**
 * Answers heartbeats and relayed requests.
 */
final class HostPeerHandler implements PeerHandler {

	private final Member member;

	private final CallerActivity activity;

	private final Provider<RequestPipeline> pipeline;

	private final Clock clock;

	private final Supplier<PeerMessage.Heartbeat> heartbeat;

	HostPeerHandler(Member member, CallerActivity activity, Provider<RequestPipeline> pipeline, Clock clock,
			Supplier<PeerMessage.Heartbeat> heartbeat) {
		this.member = member;
		this.activity = activity;
		this.pipeline = pipeline;
		this.clock = clock;
		this.heartbeat = heartbeat;
	}

	@Override
	public PeerMessage handle(PeerMessage message) {
		if (message instanceof PeerMessage.Heartbeat) {
			return this.heartbeat.get();
		}
		if (message instanceof PeerMessage.Relay relay) {
			return new PeerMessage.Relayed(serve(relay));
		}
		if (message instanceof PeerMessage.Borrow) {
			return new PeerMessage.Lent(0);
		}
		return new PeerMessage.Acknowledged();
	}

	private CallerAnswer serve(PeerMessage.Relay relay) {
		if (!relay.processId().equals(this.member.processId())) {
			return Problem
				.unknown(Problem.Code.DISPATCH_TOKEN_EXPIRED,
						"the process that issued the dispatch token no longer runs at host " + this.member.hostId())
				.refuse();
		}
		this.activity.begin();
		try {
			return this.pipeline.get().serve(received(relay));
		}
		finally {
			this.activity.end();
		}
	}

	private CallerRequest received(PeerMessage.Relay relay) {
		CallerRequest request = relay.request();
		Headers headers = request.headers()
			.without(java.util.Set.of(Headers.DEADLINE.toLowerCase(java.util.Locale.ROOT)))
			.with(Headers.DEADLINE, Long.toString(Math.max(1, relay.deadlineMillis())));
		return new CallerRequest(request.method(), request.path(), request.query(), headers, request.body(),
				this.clock.millis());
	}

}
