package org.plantainspur.core.fleet;

import java.util.List;

/**
 * Selects the hosts that carry the traffic of a failure domain: new callers are sent to
 * them.
 */
@FunctionalInterface
public interface TrafficHostSelector {

	/**
	 * Returns the hosts that new callers are sent to.
	 * @param hosts the heartbeats of the live hosts of the callers' failure domain, in a
	 * fixed order
	 * @return the heartbeats of the selected hosts
	 */
	List<HostHeartbeat> select(List<HostHeartbeat> hosts);

}
