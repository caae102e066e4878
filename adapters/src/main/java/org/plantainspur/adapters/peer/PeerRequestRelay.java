package org.plantainspur.adapters.peer;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.request.RequestRelay;
import org.plantainspur.core.time.Clock;

/**
 * Relays requests as messages between members.
 */
public final class PeerRequestRelay implements RequestRelay {

	private final PeerLink link;

	private final ConfigurationView view;

	private final Clock clock;

	/**
	 * Creates a relay.
	 * @param link sends the messages
	 * @param view gives the members
	 * @param clock the process clock
	 */
	public PeerRequestRelay(PeerLink link, ConfigurationView view, Clock clock) {
		this.link = link;
		this.view = view;
		this.clock = clock;
	}

	@Override
	public CallerAnswer relay(String hostId, String processId, CallerRequest request, long deadlineMillis) {
		Member member = this.view.current().membership().member(hostId);
		if (member == null) {
			return notReachable(hostId, "is not a member");
		}
		long left = Math.max(1, deadlineMillis - this.clock.millis());
		try {
			PeerMessage answer = this.link.ask(member, new PeerMessage.Relay(processId, request, left), left)
				.get(left, TimeUnit.MILLISECONDS);
			return (answer instanceof PeerMessage.Relayed relayed) ? relayed.answer()
					: notReachable(hostId, "does not take relayed requests");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return notReachable(hostId, "was not waited for");
		}
		catch (ExecutionException | TimeoutException ex) {
			return notReachable(hostId, "gave no answer in time");
		}
	}

	private static CallerAnswer notReachable(String hostId, String reason) {
		return Problem.unknown(Problem.Code.OWNER_NOT_REACHABLE, "host " + hostId + " " + reason).refuse();
	}

}
