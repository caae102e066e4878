package org.plantainspur.core.membership;

/**
 * Tells whether previous holders of shares of rate limits have released them, as shown by
 * the sequence numbers in force that processes report in their heartbeats.
 */
@FunctionalInterface
public interface PeerProgress {

	/**
	 * Returns whether a member has stopped using the shares that it held before a change.
	 * @param previousHolder the member that held shares before the change, identified by
	 * its host and process
	 * @param sequence the sequence number of the change
	 * @return {@code true} if a heartbeat of this process reported at least this sequence
	 * number in force, if the process has resigned, or if another process replaced it at
	 * its peer address
	 */
	boolean hasReleased(Member previousHolder, long sequence);

}
