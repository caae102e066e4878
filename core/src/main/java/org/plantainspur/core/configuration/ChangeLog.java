package org.plantainspur.core.configuration;

import java.util.List;
import java.util.OptionalLong;

/**
 * The sequence of changes, kept by the platform.
 */
public interface ChangeLog {

	/**
	 * Returns the newest sequence number.
	 * @return the sequence number, 0 if nothing was ever changed
	 * @throws UnavailableException if the platform gave no answer
	 */
	long head();

	/**
	 * Reads changes in order.
	 * @param after the sequence number to start after
	 * @return the changes, perhaps only the first part of them
	 * @throws UnavailableException if the platform gave no answer
	 */
	List<ChangeEntry> read(long after);

	/**
	 * Appends a change if the head is still the expected one.
	 * @param expectedHead the sequence number that the change follows
	 * @param changeId the change's identity
	 * @param change the change
	 * @return the outcome
	 */
	AppendResult append(long expectedHead, String changeId, Change change);

	/**
	 * Finds a change by its identity, to settle a lost reply.
	 * @param changeId the change's identity
	 * @return its sequence number, if it was written
	 * @throws UnavailableException if the platform gave no answer
	 */
	OptionalLong find(String changeId);

	/**
	 * The outcome of an append.
	 */
	sealed interface AppendResult {

		/**
		 * The change was written.
		 *
		 * @param sequence its sequence number
		 */
		record Appended(long sequence) implements AppendResult {
		}

		/**
		 * Another change was written first; nothing was written.
		 *
		 * @param head the newest sequence number
		 */
		record HeadMoved(long head) implements AppendResult {
		}

		/**
		 * No answer came; the change may have been written.
		 *
		 * @param reason what went wrong
		 */
		record Unknown(String reason) implements AppendResult {
		}

	}

	/**
	 * Thrown if the platform gave no answer to a read.
	 */
	class UnavailableException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		public UnavailableException(String message, Throwable cause) {
			super(message, cause);
		}

	}

}
