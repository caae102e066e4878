package org.plantainspur.core.routing;

import org.plantainspur.core.configuration.ClientAccount;

/**
 * Admits requests to a service's capacity at this host, fairly by client account.
 */
public interface AdmissionQueue {

	/**
	 * Waits for a permit.
	 * @param service the service's name
	 * @param account the account that the request is for
	 * @param deadlineMillis the instant, on the process clock, by which the request must
	 * have been answered
	 * @return {@link Admission.Admitted} or {@link Admission.Rejected}
	 */
	Admission admit(String service, ClientAccount account, long deadlineMillis);

	/**
	 * The outcome of an admission.
	 */
	sealed interface Admission {

		/**
		 * The request may run.
		 *
		 * @param permit to be closed when the request has ended
		 */
		record Admitted(Permit permit) implements Admission {
		}

		/**
		 * The request cannot be served in time.
		 *
		 * @param retryAfterMillis when capacity may be free, in milliseconds from now
		 */
		record Rejected(long retryAfterMillis) implements Admission {
		}

	}

	/**
	 * The right to run one request.
	 */
	interface Permit extends AutoCloseable {

		@Override
		void close();

	}

}
