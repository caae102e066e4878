package org.plantainspur.core.fleet;

import java.util.Map;

/**
 * What the hosts of one failure domain used of the accounts' limits.
 *
 * @param failureDomain the failure domain
 * @param host the host that counted; another host's counts begin anew
 * @param stampMs when it was summed up, in Unix milliseconds of that host
 * @param accounts the usage by account
 */
public record DomainUsage(String failureDomain, String host, long stampMs, Map<String, Usage> accounts) {

	public DomainUsage {
		accounts = Map.copyOf(accounts);
	}

}
