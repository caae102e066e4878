package org.plantainspur.core.routing;

import org.plantainspur.core.configuration.ClientAccount;

/**
 * Admits every request at once. It is the baseline for comparison with fair queueing.
 */
public final class UnlimitedAdmissionQueue implements AdmissionQueue {

	@Override
	public Admission admit(String service, ClientAccount account, long deadlineMillis) {
		return new Admission.Admitted(() -> {
		});
	}

}
