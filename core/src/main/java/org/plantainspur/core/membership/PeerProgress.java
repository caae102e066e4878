package org.plantainspur.core.membership;

/**
 * What other members have told about the sequence number that they have in force.
 */
@FunctionalInterface
public interface PeerProgress {

	/**
	 * Tells whether a member has stopped using the shares that it held before a change.
	 * @param earlierHolder the member; the process counts, not only the host
	 * @param sequence the sequence number of the change
	 * @return whether a heartbeat of this very process showed at least this sequence
	 * number in force, or the process has resigned or was replaced at its address
	 */
	boolean released(Member earlierHolder, long sequence);

}
