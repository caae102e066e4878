package org.plantainspur.core.rate;

import java.util.ArrayList;
import java.util.List;

/**
 * The tokens that a host has borrowed.
 *
 * @param grants the grants, the first to end first
 */
record Borrowed(List<Grant> grants) {

	static final Borrowed NONE = new Borrowed(List.of());

	Borrowed valid(long now) {
		if (this.grants.isEmpty() || this.grants.get(0).untilMillis() > now) {
			return this;
		}
		return new Borrowed(this.grants.stream().filter((grant) -> grant.untilMillis() > now).toList());
	}

	long total() {
		long sum = 0;
		for (Grant grant : this.grants) {
			sum += grant.amount();
		}
		return sum;
	}

	Borrowed add(long amount, long untilMillis) {
		List<Grant> next = new ArrayList<>(this.grants);
		int place = next.size();
		while (place > 0 && next.get(place - 1).untilMillis() > untilMillis) {
			place--;
		}
		next.add(place, new Grant(amount, untilMillis));
		return new Borrowed(List.copyOf(next));
	}

	Borrowed take(long amount) {
		List<Grant> next = new ArrayList<>(this.grants.size());
		long missing = amount;
		for (Grant grant : this.grants) {
			long used = Math.min(missing, grant.amount());
			missing -= used;
			if (used < grant.amount()) {
				next.add(new Grant(grant.amount() - used, grant.untilMillis()));
			}
		}
		return new Borrowed(List.copyOf(next));
	}

	/**
	 * Tokens that may be spent before an instant.
	 *
	 * @param amount the amount
	 * @param untilMillis the instant
	 */
	record Grant(long amount, long untilMillis) {
	}

}
