package org.plantainspur.core.peer;

/**
 * Answers the messages of other members.
 */
@FunctionalInterface
public interface PeerHandler {

	/**
	 * Answers a message; may block for as long as a relayed request runs.
	 * @param message the message
	 * @return the answer
	 */
	PeerMessage handle(PeerMessage message);

}
