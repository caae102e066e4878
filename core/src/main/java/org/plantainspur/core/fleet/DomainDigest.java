package org.plantainspur.core.fleet;

import java.util.List;
import java.util.Map;

/**
 * A summary that one failure domain sends to another: its usage of the accounts' limits,
 * and the outcomes that its hosts observed on targets.
 *
 * @param failureDomain the name of the failure domain that is summarized
 * @param host the name of the host that computed the totals. Counts of different hosts
 * cannot be compared, since each host starts its totals from zero
 * @param createdMs when the digest was created, in Unix milliseconds of that host
 * @param accounts the usage by the account's name, of some or all accounts
 * @param failedTargets identities of the targets that failed since the last digest
 * @param recoveredTargets identities of suspect targets that succeeded since then
 */
public record DomainDigest(String failureDomain, String host, long createdMs, Map<String, AccountUsage> accounts,
		List<String> failedTargets, List<String> recoveredTargets) {

	public DomainDigest {
		accounts = Map.copyOf(accounts);
		failedTargets = List.copyOf(failedTargets);
		recoveredTargets = List.copyOf(recoveredTargets);
	}

}
