package org.plantainspur.host;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Tells operators how this host currently treats targets and client accounts.
 */
interface StatusSource {

	/**
	 * Returns the state of each target.
	 * @return the states, sorted by the id of the target
	 */
	List<TargetState> targets();

	/**
	 * Returns the client accounts that have connections to this host.
	 * @return the ids of the accounts in ascending order
	 */
	Collection<String> accountsInUse();

	/**
	 * Explains how this host treats a target and why.
	 * @param targetId the id of the target
	 * @return the values by field name, empty if the target is unknown
	 */
	Map<String, Object> explainTarget(String targetId);

	/**
	 * Explains the limits and home hosts of a client account.
	 * @param accountId the id of the client account
	 * @return the values by field name, empty if the account is unknown
	 */
	Map<String, Object> explainAccount(String accountId);

	/**
	 * How this host treats one target.
	 *
	 * @param id the id of the target
	 * @param service the service that the target runs
	 * @param ejected whether it gets no requests because it is unhealthy
	 * @param weight its weight in load balancing, from 0.1 to 1
	 * @param reason why it is ejected or its weight is below 1: the evidence in the words
	 * of the health coordinator, marked if the verdict has expired, or
	 * {@code slow start}; empty if it is not ejected and the weight is 1
	 * @param leaving whether it is draining before it stops
	 */
	record TargetState(String id, String service, boolean ejected, double weight, String reason, boolean leaving) {
	}

}
