package org.plantainspur.core.fleet;

import java.util.List;

/**
 * Chooses the hosts that callers are sent to.
 */
@FunctionalInterface
public interface EntryChoice {

	/**
	 * Returns the hosts for new callers.
	 * @param hosts the hosts of the callers' failure domain that are alive, in a fixed
	 * order
	 * @return some of them
	 */
	List<HostBeat> choose(List<HostBeat> hosts);

}
