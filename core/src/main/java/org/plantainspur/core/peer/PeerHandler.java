package org.plantainspur.core.peer;

/**
 * Answers the requests of other members.
 */
@FunctionalInterface
public interface PeerHandler {

	/**
	 * Handles a request of another member. Several threads may call this at once. The
	 * call may block for as long as a relayed request runs.
	 * @param message the request
	 * @return the answer to send back
	 */
	PeerMessage handle(PeerMessage message);

}
