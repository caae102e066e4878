package org.plantainspur.core.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.plantainspur.core.membership.Majority;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.time.Clock;

/**
 * Decides from the members' acknowledgements when a change is accepted, that is, in force
 * on every host that may serve routes that need a key. All members are asked in each
 * round, and a round begins after the previous one has ended. For example <pre>
 * AcceptanceTracker tracker = new AcceptanceTracker(clock, configuration.membership(), sequence);
 * while (!tracker.accepted()) {
 *     tracker.recordRound(askEveryMember());
 * }
 * </pre>
 */
public final class AcceptanceTracker {

	/**
	 * How long after the acknowledgement by a majority a member that has not acknowledged
	 * the change may still serve on older evidence: the fencing timeout of 3,000 ms, 2%
	 * for the difference of clock rates, and a margin of 50 ms. After this wait the
	 * change is accepted without the missing acknowledgements.
	 */
	public static final long FENCING_WAIT_MILLIS = 3110;

	private static final long NEVER = Long.MIN_VALUE;

	private final Clock clock;

	private final Membership membership;

	private final long sequence;

	private Map<String, String> previousRound = Map.of();

	private Map<String, String> latestRound = Map.of();

	private long majorityMillis = NEVER;

	private boolean accepted;

	/**
	 * Creates a tracker.
	 * @param clock the process clock
	 * @param membership the membership at the change's sequence number or at a later one
	 * @param sequence the change's sequence number
	 */
	public AcceptanceTracker(Clock clock, Membership membership, long sequence) {
		this.clock = clock;
		this.membership = membership;
		this.sequence = sequence;
	}

	/**
	 * Records the acknowledgements of one round. A member counts toward the majority if
	 * the same process acknowledged the change in two consecutive rounds. Then all
	 * members of the majority have the change in force at one common instant, the end of
	 * the first of these rounds. After a single round this is not certain, since a
	 * process can be replaced between its acknowledgement and the last one of the round.
	 * @param acknowledgements the newest acknowledgement of each member that answered
	 * @return this tracker
	 */
	public AcceptanceTracker recordRound(List<Acknowledgement> acknowledgements) {
		Map<String, String> processes = new HashMap<>();
		acknowledgements.stream()
			.filter((answer) -> answer.sequence() >= this.sequence)
			.forEach((answer) -> processes.put(answer.hostId(), answer.processId()));
		this.previousRound = this.latestRound;
		this.latestRound = processes;
		if (this.majorityMillis == NEVER && hasMajority()) {
			this.majorityMillis = this.clock.millis();
		}
		if (this.majorityMillis != NEVER) {
			boolean all = this.membership.members().stream().allMatch(this::acknowledgedTwice);
			// A process that lost its seat is not asked, so it may serve until the
			// fencing timeout has passed.
			boolean noneDeparted = this.membership.departureSequence() == 0;
			boolean fenced = this.clock.millis() - this.majorityMillis >= FENCING_WAIT_MILLIS;
			this.accepted = this.accepted || fenced || (all && noneDeparted);
		}
		return this;
	}

	/**
	 * Returns whether the change is in force on every host that may serve routes that
	 * need a key.
	 * @return {@code true} once the change is accepted
	 */
	public boolean accepted() {
		return this.accepted;
	}

	/**
	 * Returns the members that acknowledged the change in the latest round.
	 * @return the members, ordered by host
	 */
	public List<Member> inForce() {
		return this.membership.members().stream().filter((member) -> acknowledged(this.latestRound, member)).toList();
	}

	/**
	 * Returns the members that did not acknowledge the change in the latest round.
	 * @return the members, ordered by host
	 */
	public List<Member> missing() {
		return this.membership.members().stream().filter((member) -> !acknowledged(this.latestRound, member)).toList();
	}

	private boolean hasMajority() {
		return Majority.moreThanHalf(this.membership.members(), this::acknowledgedTwice)
				&& Majority.moreThanHalf(this.membership.previousMembers(), this::acknowledgedTwice);
	}

	private boolean acknowledgedTwice(Member member) {
		return acknowledged(this.previousRound, member) && acknowledged(this.latestRound, member);
	}

	private boolean acknowledged(Map<String, String> round, Member member) {
		// The current process at a seat acknowledges for a previous member with the
		// same seat.
		Member current = this.membership.member(member.hostId());
		return current != null && this.membership.hasSeat(member)
				&& current.processId().equals(round.get(member.hostId()));
	}

	/**
	 * The sequence number that one member reported to have in force.
	 *
	 * @param hostId the host name of the member
	 * @param processId the identifier of the process that answered
	 * @param sequence the sequence number that this process has in force
	 */
	public record Acknowledgement(String hostId, String processId, long sequence) {
	}

}
