package org.plantainspur.core.routing;

import org.plantainspur.core.configuration.ClientAccount;

/**
 * Admits every request at once; the baseline without fair queueing.
 */
public final class OpenAdmissionQueue implements AdmissionQueue {

	@Override
	public Admission admit(String service, ClientAccount account, long deadlineMillis) {
		return new Admission.Admitted(() -> {
		});
	}

}
