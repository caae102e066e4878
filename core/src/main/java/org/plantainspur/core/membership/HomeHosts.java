package org.plantainspur.core.membership;

import java.util.List;

import org.plantainspur.core.configuration.ClientAccount;

/**
 * Assigns accounts and services to members.
 */
public interface HomeHosts {

	/**
	 * Returns the home hosts of a client account, which hold its shares.
	 * @param account the account
	 * @param membership the members
	 * @return the homes, the most preferred first; empty only if there is no active
	 * member
	 */
	List<Member> homes(ClientAccount account, Membership membership);

	/**
	 * Returns the coordinator of a service, which gathers the evidence on its targets.
	 * @param service the service's name
	 * @param membership the members
	 * @return the coordinator as a list of one; empty only if there is no active member
	 */
	List<Member> coordinator(String service, Membership membership);

}
