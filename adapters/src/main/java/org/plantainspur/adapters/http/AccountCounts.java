package org.plantainspur.adapters.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Counts what each client account holds, up to a limit. An account that holds nothing
 * takes no memory.
 */
final class AccountCounts {

	private final int limit;

	private final ConcurrentMap<String, Integer> counts = new ConcurrentHashMap<>();

	AccountCounts(int limit) {
		this.limit = limit;
	}

	boolean tryAdd(String accountId) {
		boolean[] added = new boolean[1];
		this.counts.compute(accountId, (id, count) -> {
			int present = (count != null) ? count : 0;
			added[0] = present < this.limit;
			return (added[0]) ? (Integer) (present + 1) : count;
		});
		return added[0];
	}

	void remove(String accountId) {
		this.counts.computeIfPresent(accountId, (id, count) -> (count > 1) ? (Integer) (count - 1) : null);
	}

	int count(String accountId) {
		return this.counts.getOrDefault(accountId, 0);
	}

	Set<String> accounts() {
		return Set.copyOf(this.counts.keySet());
	}

}
