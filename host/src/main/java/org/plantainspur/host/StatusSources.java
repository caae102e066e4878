package org.plantainspur.host;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * What operators may ask about the decisions in force.
 */
interface StatusSources {

	/**
	 * Returns the state of each target.
	 * @return the states in the order of ids
	 */
	List<TargetState> targets();

	/**
	 * Returns the client accounts that hold state at this host.
	 * @return the ids in order
	 */
	Collection<String> accountsInUse();

	/**
	 * Explains the decisions on a target.
	 * @param targetId the target
	 * @return facts by name, empty if the target is not known
	 */
	Map<String, Object> explainTarget(String targetId);

	/**
	 * Explains the decisions on an account.
	 * @param accountId the account
	 * @return facts by name, empty if the account is not known
	 */
	Map<String, Object> explainAccount(String accountId);

	/**
	 * The state of one target.
	 *
	 * @param id the target
	 * @param service the service
	 * @param ejected whether it gets no work because it is sick
	 * @param weight its weight from 0 to 1
	 * @param reason the evidence as the coordinator words it, empty if the weight is 1
	 * @param leaving whether it is leaving
	 */
	record TargetState(String id, String service, boolean ejected, double weight, String reason, boolean leaving) {
	}

}
