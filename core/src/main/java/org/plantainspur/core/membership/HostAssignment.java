package org.plantainspur.core.membership;

import java.util.List;

import org.plantainspur.core.configuration.ClientAccount;

/**
 * Chooses the members that are responsible for an account or a service. All hosts with
 * the same membership make the same choice.
 */
public interface HostAssignment {

	/**
	 * Returns the home hosts of a client account. Each of them holds a share of the
	 * account's rate limit.
	 * @param account the account
	 * @param membership the members
	 * @return the home hosts in order of preference; empty only if there is no active
	 * member
	 */
	List<Member> homeHosts(ClientAccount account, Membership membership);

	/**
	 * Returns the health coordinator of a service, which collects the reports of all
	 * hosts on the targets of that service.
	 * @param service the service's name
	 * @param membership the members
	 * @return a list with the coordinator as its only element; empty only if there is no
	 * active member
	 */
	List<Member> coordinator(String service, Membership membership);

}
