package org.plantainspur.core.rate;

import java.util.List;
import java.util.Set;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.membership.Member;

/**
 * What share of an account this host holds, and whom it borrows from. A divisor of n
 * stands for 1/n of the account's rate and burst, 0 for no share.
 *
 * @param history the states that the plan is made from
 * @param account the account that the plan is made for
 * @param lenders the other home hosts
 * @param heldDivisor the share that no other host can hold at the same time
 * @param targetDivisor the share once the earlier holders have stopped
 * @param earlierHolders the processes that must have stopped first
 * @param sequence the sequence number that they must have in force
 * @param releasable whether it is known who the earlier holders are
 * @param takeoverMillis when the earlier holders have stopped in any case
 * @param releasedMillis when all of them were seen to have stopped,
 * {@link Long#MAX_VALUE} until then
 */
record SharePlan(ShareHistory history, ClientAccount account, List<Member> lenders, int heldDivisor, int targetDivisor,
		Set<Member> earlierHolders, long sequence, boolean releasable, long takeoverMillis, long releasedMillis) {

	boolean isFor(ShareHistory history, ClientAccount account) {
		return this.history == history && this.account.equals(account);
	}

	boolean waiting(long now) {
		return this.heldDivisor != this.targetDivisor && now < this.takeoverMillis;
	}

	boolean awaitsRelease(long now) {
		return waiting(now) && this.releasable && this.releasedMillis == Long.MAX_VALUE;
	}

	/**
	 * Keeps what the plan before has seen, if a change that has nothing to do with this
	 * account came between.
	 * @param before the plan before
	 * @return the plan
	 */
	SharePlan following(SharePlan before) {
		boolean same = before.sequence == this.sequence && before.earlierHolders.equals(this.earlierHolders);
		return same ? released(before.releasedMillis) : this;
	}

	SharePlan released(long atMillis) {
		return new SharePlan(this.history, this.account, this.lenders, this.heldDivisor, this.targetDivisor,
				this.earlierHolders, this.sequence, this.releasable, this.takeoverMillis, atMillis);
	}

	// Loans that the earlier holders gave just before they stopped may still be spent; a
	// gained share starts after that.
	int divisor(long now) {
		boolean released = this.releasedMillis != Long.MAX_VALUE
				&& now >= this.releasedMillis + ShareHistory.LOAN_OUT_MILLIS;
		return (released || !waiting(now)) ? this.targetDivisor : this.heldDivisor;
	}

}
