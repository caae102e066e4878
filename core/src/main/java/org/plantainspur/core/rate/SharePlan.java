package org.plantainspur.core.rate;

import java.util.List;
import java.util.Set;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.membership.Member;

/**
 * The share of an account that this host holds, and the hosts it borrows from. A divisor
 * of n stands for 1/n of the account's rate and burst, 0 for no share.
 *
 * @param history the configuration history that the plan is computed from
 * @param account the account that the plan is computed for
 * @param lenders the account's other home hosts
 * @param exclusiveDivisor the share that is safe to use before the takeover: no other
 * host can hold any of it
 * @param targetDivisor the share once the earlier holders have stopped using theirs
 * @param earlierHolders the processes that must stop using their shares first
 * @param releaseSequence the configuration sequence number that shows, once a holder has
 * it in force, that the holder has stopped
 * @param holdersKnown whether all earlier holders are known
 * @param takeoverMillis the instant by which every earlier holder has stopped or is
 * fenced
 * @param releasedMillis the instant at which all earlier holders were seen to have
 * stopped, {@link Long#MAX_VALUE} until then
 */
record SharePlan(ShareHistory history, ClientAccount account, List<Member> lenders, int exclusiveDivisor,
		int targetDivisor, Set<Member> earlierHolders, long releaseSequence, boolean holdersKnown, long takeoverMillis,
		long releasedMillis) {

	boolean isFor(ShareHistory history, ClientAccount account) {
		return this.history == history && this.account.equals(account);
	}

	boolean takeoverPending(long now) {
		return this.exclusiveDivisor != this.targetDivisor && now < this.takeoverMillis;
	}

	boolean awaitsRelease(long now) {
		return takeoverPending(now) && this.holdersKnown && this.releasedMillis == Long.MAX_VALUE;
	}

	/**
	 * Carries over the release that the previous plan has recorded, if a change in
	 * between did not concern this account.
	 * @param previous the plan that this one replaces
	 * @return this plan, with the previous release time if the holders are the same
	 */
	SharePlan withReleaseOf(SharePlan previous) {
		boolean same = previous.releaseSequence == this.releaseSequence
				&& previous.earlierHolders.equals(this.earlierHolders);
		return same ? withRelease(previous.releasedMillis) : this;
	}

	SharePlan withRelease(long atMillis) {
		return new SharePlan(this.history, this.account, this.lenders, this.exclusiveDivisor, this.targetDivisor,
				this.earlierHolders, this.releaseSequence, this.holdersKnown, this.takeoverMillis, atMillis);
	}

	// Loans that the earlier holders granted just before they stopped may still be
	// spent, so a gained share starts after these have expired.
	int divisor(long now) {
		boolean released = this.releasedMillis != Long.MAX_VALUE
				&& now >= this.releasedMillis + ShareHistory.LOAN_OUTSTANDING_MILLIS;
		return (released || !takeoverPending(now)) ? this.targetDivisor : this.exclusiveDivisor;
	}

}
