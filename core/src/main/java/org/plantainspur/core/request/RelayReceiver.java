package org.plantainspur.core.request;

import java.util.Locale;
import java.util.Set;

import org.plantainspur.core.membership.Member;
import org.plantainspur.core.once.DispatchToken;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * Serves requests that other members relay to this process. A request that is not this
 * process's to dispatch is refused and never relayed again, so that no loop can arise.
 */
public final class RelayReceiver {

	private final Member self;

	private final RequestPipeline pipeline;

	private final Clock clock;

	/**
	 * Creates a receiver.
	 * @param self this process
	 * @param pipeline serves the requests
	 * @param clock the process clock
	 */
	public RelayReceiver(Member self, RequestPipeline pipeline, Clock clock) {
		this.self = self;
		this.pipeline = pipeline;
		this.clock = clock;
	}

	/**
	 * Serves a relayed request; blocks until its answer is known.
	 * @param relay the message
	 * @return the answer, or a refusal with {@link Problem.Run#UNKNOWN} if another
	 * process may have run the request
	 */
	public PeerMessage.Relayed serve(PeerMessage.Relay relay) {
		if (!relay.processId().equals(this.self.processId()) || !owns(relay.request())) {
			return new PeerMessage.Relayed(
					Problem
						.unknown(Problem.Code.DISPATCH_TOKEN_EXPIRED,
								"the process that issued the dispatch token no longer answers at host "
										+ this.self.hostId())
						.refuse());
		}
		return new PeerMessage.Relayed(this.pipeline.serve(received(relay)));
	}

	private boolean owns(CallerRequest request) {
		String key = request.headers().first(Headers.IDEMPOTENCY_KEY);
		try {
			DispatchToken token = DispatchToken.ofKey((key != null) ? key : "");
			return token.hostId().equals(this.self.hostId()) && token.processId().equals(this.self.processId());
		}
		catch (DispatchToken.MalformedException ex) {
			return false;
		}
	}

	private CallerRequest received(PeerMessage.Relay relay) {
		CallerRequest request = relay.request();
		Headers headers = request.headers()
			.without(Set.of(Headers.DEADLINE.toLowerCase(Locale.ROOT)))
			.with(Headers.DEADLINE, Long.toString(Math.max(1, relay.deadlineMillis())));
		return new CallerRequest(request.method(), request.path(), request.query(), headers, request.body(),
				request.keyHash(), this.clock.millis());
	}

}
