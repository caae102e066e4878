package org.plantainspur.adapters.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Limits how many units of a resource, such as connections, each client account may hold
 * at a time. An account that holds none takes no memory.
 */
final class PerAccountLimiter {

	private final int limitPerAccount;

	private final ConcurrentMap<String, Integer> counts = new ConcurrentHashMap<>();

	PerAccountLimiter(int limitPerAccount) {
		this.limitPerAccount = limitPerAccount;
	}

	boolean tryAcquire(String accountId) {
		boolean[] acquired = new boolean[1];
		this.counts.compute(accountId, (id, count) -> {
			int held = (count != null) ? count : 0;
			acquired[0] = held < this.limitPerAccount;
			return (acquired[0]) ? (Integer) (held + 1) : count;
		});
		return acquired[0];
	}

	void release(String accountId) {
		this.counts.computeIfPresent(accountId, (id, count) -> (count > 1) ? (Integer) (count - 1) : null);
	}

	int count(String accountId) {
		return this.counts.getOrDefault(accountId, 0);
	}

	Set<String> holdingAccounts() {
		return Set.copyOf(this.counts.keySet());
	}

}
