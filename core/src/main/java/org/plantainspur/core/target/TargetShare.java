package org.plantainspur.core.target;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Which targets of its failure domain this host uses first. The hosts that carry traffic
 * share the targets among themselves: a host does not see the requests that the others
 * have just sent, and would queue its own behind them while other targets are free.
 * Answers the load of short requests among long ones on targets with few slots.
 */
public final class TargetShare {

	private static final Part ALL = new Part(0, 1, false);

	private final AtomicReference<Part> part = new AtomicReference<>(ALL);

	/**
	 * Sets this host's part.
	 * @param position the position of this host among those that carry traffic, from 0;
	 * negative if it carries none
	 * @param hosts how many hosts carry traffic
	 */
	public void set(int position, int hosts) {
		this.part.set((position < 0 || hosts < 1) ? ALL : new Part(position, hosts, true));
	}

	/**
	 * Returns whether this host uses a target first.
	 * @param index the position of the target among those of its service in the failure
	 * domain
	 * @return {@code false} if another host does
	 */
	public boolean includes(int index) {
		Part own = this.part.get();
		return index % own.hosts() == own.position();
	}

	/**
	 * Returns whether this host carries traffic.
	 * @return {@code false} if it sees only few requests
	 */
	public boolean carries() {
		return this.part.get().carries();
	}

	private record Part(int position, int hosts, boolean carries) {
	}

}
