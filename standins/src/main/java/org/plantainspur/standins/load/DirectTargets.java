package org.plantainspur.standins.load;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends to targets in turn, without entry hosts.
 */
final class DirectTargets implements Destinations {

	private final List<String> addresses;

	private final AtomicLong turn = new AtomicLong();

	DirectTargets(List<String> addresses) {
		this.addresses = List.copyOf(addresses);
	}

	@Override
	public Destination next(LoadPlan.AccountShare account) {
		String address = this.addresses.get((int) (this.turn.getAndIncrement() % this.addresses.size()));
		return new Destination(address, "direct");
	}

	@Override
	public void close() {
	}

}
