package org.plantainspur.core.request;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * Relays requests over the peer protocol to their owner, the process that issued the
 * dispatch token. Without the owner's answer it is unknown whether the owner has run the
 * request or an earlier one with the same idempotency key, so every failure is reported
 * with {@link Problem.Run#UNKNOWN}.
 */
public final class PeerRequestRelay implements RequestRelay {

	private final ConfigurationView view;

	private final PeerLink link;

	private final Clock clock;

	/**
	 * Creates a relay.
	 * @param view holds the newest configuration, which lists the members
	 * @param link sends messages to other members
	 * @param clock the process clock, to which deadlines refer
	 */
	public PeerRequestRelay(ConfigurationView view, PeerLink link, Clock clock) {
		this.view = view;
		this.link = link;
		this.clock = clock;
	}

	@Override
	public CallerAnswer relay(String hostId, String processId, CallerRequest request, long deadlineMillis) {
		Member owner = this.view.current().membership().member(hostId);
		if (owner == null || !owner.processId().equals(processId)) {
			return unknown(Problem.Code.DISPATCH_TOKEN_EXPIRED,
					"the process that issued the dispatch token at host " + hostId + " is no longer a member");
		}
		long remainingMillis = deadlineMillis - this.clock.millis();
		if (remainingMillis <= 0) {
			return unknown(Problem.Code.OWNER_NOT_REACHABLE,
					"the deadline passed before the request was relayed to host " + hostId);
		}
		return ask(owner, new PeerMessage.Relay(processId, request, remainingMillis), remainingMillis);
	}

	private CallerAnswer ask(Member owner, PeerMessage.Relay relay, long remainingMillis) {
		try {
			PeerMessage answer = this.link.ask(owner, relay, remainingMillis)
				.get(remainingMillis, TimeUnit.MILLISECONDS);
			return (answer instanceof PeerMessage.Relayed relayed) ? relayed.answer() : noAnswer(owner);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return noAnswer(owner);
		}
		catch (ExecutionException | TimeoutException | RuntimeException ex) {
			return noAnswer(owner);
		}
	}

	private static CallerAnswer noAnswer(Member owner) {
		return unknown(Problem.Code.OWNER_NOT_REACHABLE,
				"host " + owner.hostId() + ", which issued the dispatch token, gave no answer");
	}

	private static CallerAnswer unknown(Problem.Code code, String detail) {
		return Problem.unknown(code, detail).toRefusal();
	}

}
