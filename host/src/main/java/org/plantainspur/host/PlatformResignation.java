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

	/**
	 * The maximum number of appends of one resignation. An append is repeated if another
	 * change was written first.
	 */
	private static final int MAXIMUM_APPENDS = 20;

	private final ChangeLog log;

	private final Member self;

	private final SharedRateLimiter limiter;

	private final MembershipManager membershipManager;

	PlatformResignation(ChangeLog log, Member self, SharedRateLimiter limiter, MembershipManager membershipManager) {
		this.log = log;
		this.limiter = limiter;
		this.membershipManager = membershipManager;
		this.self = self;
	}

	@Override
	public void stopUsingShares() {
		this.limiter.resign();
		this.membershipManager.resign();
	}

	@Override
	public boolean resign() {
		Change change = new Change.MemberResigned(this.self.hostId(), this.self.processId());
		String changeId = "resign-" + this.self.processId();
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
