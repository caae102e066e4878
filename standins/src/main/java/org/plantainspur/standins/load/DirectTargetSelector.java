package org.plantainspur.standins.load;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Selects targets in round-robin order, for load that bypasses the entry hosts.
 */
final class DirectTargetSelector implements DestinationSelector {

	private final List<String> addresses;

	private final AtomicLong nextIndex = new AtomicLong();

	DirectTargetSelector(List<String> addresses) {
		this.addresses = List.copyOf(addresses);
	}

	@Override
	public Destination select(LoadPlan.AccountShare account) {
		String address = this.addresses.get((int) (this.nextIndex.getAndIncrement() % this.addresses.size()));
		return new Destination(address, "direct");
	}

	@Override
	public void close() {
	}

}
