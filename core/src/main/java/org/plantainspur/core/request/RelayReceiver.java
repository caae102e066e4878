package org.plantainspur.core.request;

import java.util.Locale;
import java.util.Set;

import org.plantainspur.core.idempotency.DispatchToken;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * Serves requests that other members relay to this process. A request whose dispatch
 * token was issued by another process is refused and not relayed again, so that requests
 * can't circulate between members.
 */
public final class RelayReceiver {

	private final Member self;

	private final RequestPipeline pipeline;

	private final Clock clock;

	/**
	 * Creates a receiver.
	 * @param self this process as a member of the fleet
	 * @param pipeline serves the requests as if callers had sent them to this process
	 * @param clock the process clock, which gives the time of arrival
	 */
	public RelayReceiver(Member self, RequestPipeline pipeline, Clock clock) {
		this.self = self;
		this.pipeline = pipeline;
		this.clock = clock;
	}

	/**
	 * Serves a relayed request; blocks until its answer is known.
	 * @param relay the request with the process it is meant for and the remaining time
	 * @return the answer, or a refusal with {@link Problem.Run#UNKNOWN} if another
	 * process may have run the request
	 */
	public PeerMessage.Relayed serve(PeerMessage.Relay relay) {
		if (!relay.processId().equals(this.self.processId()) || !hasTokenOfThisProcess(relay.request())) {
			return new PeerMessage.Relayed(
					Problem
						.unknown(Problem.Code.DISPATCH_TOKEN_EXPIRED,
								"the dispatch token was not issued by the process that now runs at host "
										+ this.self.hostId())
						.toRefusal());
		}
		return new PeerMessage.Relayed(this.pipeline.serve(withRemainingDeadline(relay)));
	}

	// The authentication code is verified when the pipeline registers the request.
	private boolean hasTokenOfThisProcess(CallerRequest request) {
		String key = request.headers().first(Headers.IDEMPOTENCY_KEY);
		try {
			DispatchToken token = DispatchToken.parseKey((key != null) ? key : "");
			return token.hostId().equals(this.self.hostId()) && token.processId().equals(this.self.processId());
		}
		catch (DispatchToken.MalformedException ex) {
			return false;
		}
	}

	private CallerRequest withRemainingDeadline(PeerMessage.Relay relay) {
		CallerRequest request = relay.request();
		Headers headers = request.headers()
			.without(Set.of(Headers.DEADLINE.toLowerCase(Locale.ROOT)))
			.with(Headers.DEADLINE, Long.toString(Math.max(1, relay.deadlineMillis())));
		return new CallerRequest(request.method(), request.path(), request.query(), headers, request.body(),
				request.keyHash(), this.clock.millis());
	}

}
