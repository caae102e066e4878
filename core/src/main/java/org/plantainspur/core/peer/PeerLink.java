package org.plantainspur.core.peer;

import java.util.concurrent.CompletableFuture;

import org.plantainspur.core.membership.Member;

/**
 * Sends messages to other members.
 */
public interface PeerLink {

	/**
	 * Sends a request.
	 * @param member the member to ask
	 * @param message the request
	 * @param timeoutMillis the time for the answer, in milliseconds
	 * @return completes with the answer, or exceptionally if none came in time
	 */
	CompletableFuture<PeerMessage> ask(Member member, PeerMessage message, long timeoutMillis);

}
