package org.plantainspur.core.routing;

import org.plantainspur.core.configuration.ClientAccount;

/**
 * Admits requests of a service up to the capacity that this host may use, and divides
 * that capacity fairly among client accounts.
 */
public interface AdmissionQueue {

	/**
	 * Takes a permit to run a request, and may block until one is available.
	 * @param service the service's name
	 * @param account the account of the caller
	 * @param deadlineMillis the instant on the process clock by which the request must
	 * have been answered
	 * @return {@link Admission.Admitted} if the request may run, otherwise
	 * {@link Admission.Rejected}
	 */
	Admission admit(String service, ClientAccount account, long deadlineMillis);

	/**
	 * Whether a request may run.
	 */
	sealed interface Admission {

		/**
		 * The request may run.
		 *
		 * @param permit the permit, which must be closed when the request has ended
		 */
		record Admitted(Permit permit) implements Admission {
		}

		/**
		 * The request cannot be served before its deadline.
		 *
		 * @param retryAfterMillis the time in milliseconds after which capacity may be
		 * free
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
