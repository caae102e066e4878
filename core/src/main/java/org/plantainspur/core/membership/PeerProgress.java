package org.plantainspur.core.membership;

/**
 * Tells whether an earlier holder of something assigned by membership has given it up.
 */
public interface PeerProgress {

	/**
	 * Returns whether an earlier holder can no longer use what a change took from it.
	 * @param earlierHolder the member that held it before the change
	 * @param sequence the sequence number of the change
	 * @return whether the holder has that sequence number in force, has resigned, or was
	 * replaced by another process at its address
	 */
	boolean released(Member earlierHolder, long sequence);

}
