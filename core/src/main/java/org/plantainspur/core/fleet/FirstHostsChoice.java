package org.plantainspur.core.fleet;

import java.util.List;

/**
 * Sends callers to the first few hosts of their failure domain that take any. A host that
 * carries more of the traffic sees more of each target and of each account, and uses its
 * connections to targets again; the others stand by.
 */
public final class FirstHostsChoice implements EntryChoice {

	private final int hosts;

	/**
	 * Creates a choice.
	 * @param hosts how many hosts of a failure domain carry traffic, at least 1
	 */
	public FirstHostsChoice(int hosts) {
		this.hosts = hosts;
	}

	@Override
	public List<HostBeat> choose(List<HostBeat> candidates) {
		return candidates.stream().filter(HostBeat::taking).limit(this.hosts).toList();
	}

}
