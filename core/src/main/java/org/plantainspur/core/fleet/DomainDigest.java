package org.plantainspur.core.fleet;

import java.util.List;
import java.util.Map;

/**
 * What the hosts of one failure domain tell those of another: what they used of the
 * accounts' limits, and what they saw of targets.
 *
 * @param failureDomain the failure domain
 * @param host the host that counted; another host's counts begin anew
 * @param stampMs when it was summed up, in Unix milliseconds of that host
 * @param accounts the usage by account, of some or all accounts
 * @param failedTargets identities of the targets that failed of late
 * @param soundTargets identities of doubtful targets that answered well since then
 */
public record DomainDigest(String failureDomain, String host, long stampMs, Map<String, Usage> accounts,
		List<String> failedTargets, List<String> soundTargets) {

	public DomainDigest {
		accounts = Map.copyOf(accounts);
		failedTargets = List.copyOf(failedTargets);
		soundTargets = List.copyOf(soundTargets);
	}

}
