package org.plantainspur.core.peer;

import java.util.concurrent.CompletableFuture;

import org.plantainspur.core.membership.Member;

/**
 * Sends requests to other members and returns their answers.
 */
public interface PeerLink {

	/**
	 * Sends a request to a member without blocking the caller.
	 * @param member the member to ask
	 * @param message the request
	 * @param timeoutMillis how long to wait for the answer, in milliseconds
	 * @return a future that completes with the answer, or exceptionally if the request
	 * cannot be sent or no answer arrives in time; it may complete on a thread of the
	 * link
	 */
	CompletableFuture<PeerMessage> ask(Member member, PeerMessage message, long timeoutMillis);

}
