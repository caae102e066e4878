package org.plantainspur.host;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.MembershipManager;
import org.plantainspur.core.rate.SharedRateLimiter;

/**
 * Writes the resignation to the change log.
 */
final class PlatformResignation implements Resignation {

	/** Each append after the first means that another change was written in between. */
	private static final int MAXIMUM_APPENDS = 20;

	private final ChangeLog log;

	private final Member member;

	private final SharedRateLimiter limiter;

	private final MembershipManager membershipManager;

	PlatformResignation(ChangeLog log, Member member, SharedRateLimiter limiter, MembershipManager membershipManager) {
		this.log = log;
		this.limiter = limiter;
		this.membershipManager = membershipManager;
		this.member = member;
	}

	@Override
	public void stopUsingShares() {
		this.limiter.resign();
		this.membershipManager.resign();
	}

	@Override
	public boolean resign() {
		Change change = new Change.MemberResigned(this.member.hostId(), this.member.processId());
		String changeId = "resign-" + this.member.processId();
		try {
			long head = this.log.head();
			for (int i = 0; i < MAXIMUM_APPENDS; i++) {
				ChangeLog.AppendResult result = this.log.append(head, changeId, change);
				if (result instanceof ChangeLog.AppendResult.HeadMoved moved) {
					head = moved.head();
				}
				else {
					return result instanceof ChangeLog.AppendResult.Appended || this.log.find(changeId).isPresent();
				}
			}
			return false;
		}
		catch (ChangeLog.UnavailableException ex) {
			return false;
		}
	}

}
