package org.plantainspur.core.configuration;

import java.util.List;
import java.util.OptionalLong;

/**
 * The ordered log of all changes, stored by the platform. Its head is the newest sequence
 * number.
 */
public interface ChangeLog {

	/**
	 * Returns the newest sequence number.
	 * @return the sequence number, 0 if the log is empty
	 * @throws UnavailableException if the platform gave no answer
	 */
	long head();

	/**
	 * Reads changes in the order of their sequence numbers.
	 * @param after the sequence number before that of the first change to read
	 * @return the first page of the changes; empty if there are none
	 * @throws UnavailableException if the platform gave no answer
	 */
	List<ChangeEntry> read(long after);

	/**
	 * Appends a change if the newest sequence number is the expected one.
	 * @param expectedHead the sequence number that the change follows
	 * @param changeId the identifier of the change
	 * @param change the change to append
	 * @return the outcome
	 */
	AppendResult append(long expectedHead, String changeId, Change change);

	/**
	 * Finds a change by its identifier, to learn after a lost reply whether it was
	 * written.
	 * @param changeId the identifier of the change
	 * @return the sequence number of the change, or empty if it was not written
	 * @throws UnavailableException if the platform gave no answer
	 */
	OptionalLong find(String changeId);

	/**
	 * The outcome of an append to the log.
	 */
	sealed interface AppendResult {

		/**
		 * The change was written, by this call or by an earlier one with the same
		 * identifier.
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
		 * @param reason why no answer came
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
