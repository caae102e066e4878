package org.plantainspur.core.fleet;

import java.util.Map;

/**
 * The demand that reaches one failure domain.
 *
 * @param failureDomain the failure domain
 * @param stampMs when it was summed up, in Unix milliseconds of the host that did so
 * @param hosts the hosts of the failure domain that take callers
 * @param demand requests a second by account
 */
public record DomainDemand(String failureDomain, long stampMs, int hosts, Map<String, Double> demand) {

	public DomainDemand {
		demand = Map.copyOf(demand);
	}

}
