package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.List;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;

/**
 * Creates targets, members and evidence for tests.
 */
final class HealthFixtures {

	static final String SERVICE = "booking";

	private HealthFixtures() {
	}

	static Target target(int number, int slots) {
		return new Target("t" + number, SERVICE, "127.0.0.1:" + (9000 + number), "pdx", "pdx-a", slots, 400, false);
	}

	static List<Target> targets(int count, int slots) {
		List<Target> targets = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			targets.add(target(i, slots));
		}
		return targets;
	}

	static Membership members(int count) {
		Membership membership = Membership.empty();
		for (int i = 0; i < count; i++) {
			membership = membership.apply(new Change.MemberJoined(member(i, i)), i);
		}
		return membership;
	}

	static Member member(int host, int process) {
		return Member.builder("h" + host, "p" + process)
			.region((host % 2 == 0) ? "pdx" : "sea")
			.failureDomain((host % 2 == 0) ? "pdx-a" : "sea-a")
			.build();
	}

	static PeerMessage.TargetEvidence evidence(String targetId, PeerMessage.AccountEvidence... accounts) {
		return new PeerMessage.TargetEvidence(targetId, List.of(accounts), List.of(), 0, false);
	}

	static PeerMessage.AccountEvidence account(String id, int successes, int failures) {
		return new PeerMessage.AccountEvidence(id, successes, failures, 0, 0, 0, 0);
	}

	static PeerMessage.AccountEvidence overdue(String id, int successes, int overdueChange) {
		return new PeerMessage.AccountEvidence(id, successes, 0, 0, 0, 0, overdueChange);
	}

	static PeerMessage.AccountEvidence unanswered(String id, int successes, int unanswered) {
		return new PeerMessage.AccountEvidence(id, successes, 0, unanswered, 0, 0, 0);
	}

}
