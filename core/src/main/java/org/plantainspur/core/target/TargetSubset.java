package org.plantainspur.core.target;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The subset of the failure domain's targets that this host prefers. The hosts that carry
 * traffic divide the targets among themselves: a host does not see the requests that the
 * others have just sent, and would queue its own behind them while other targets are
 * free. This matters most for short requests among long ones on targets with few slots.
 * Thread-safe.
 */
public final class TargetSubset {

	private static final Assignment WHOLE_DOMAIN = new Assignment(0, 1, false);

	private final AtomicReference<Assignment> assignment = new AtomicReference<>(WHOLE_DOMAIN);

	/**
	 * Assigns this host its subset.
	 * @param position the position of this host among those that carry traffic, from 0;
	 * negative if it carries none, in which case its subset is the whole domain
	 * @param hosts the number of hosts that carry traffic
	 */
	public void assign(int position, int hosts) {
		this.assignment.set((position < 0 || hosts < 1) ? WHOLE_DOMAIN : new Assignment(position, hosts, true));
	}

	/**
	 * Returns whether a target is in this host's subset.
	 * @param index the position of the target among those of its service in the failure
	 * domain
	 * @return {@code false} if the target is in the subset of another host
	 */
	public boolean contains(int index) {
		Assignment current = this.assignment.get();
		return index % current.hosts() == current.position();
	}

	/**
	 * Returns whether this host carries traffic.
	 * @return {@code false} if it stands by and sees only few requests
	 */
	public boolean carriesTraffic() {
		return this.assignment.get().carriesTraffic();
	}

	private record Assignment(int position, int hosts, boolean carriesTraffic) {
	}

}
