package org.plantainspur.core.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.plantainspur.core.membership.Majority;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.time.Clock;

/**
 * Decides when a change is accepted, from the members' acknowledgements. The members are
 * asked in rounds; a round begins after the one before has ended. For example <pre>
 * AcceptanceTracker tracker = new AcceptanceTracker(clock, configuration.membership(), sequence);
 * while (!tracker.accepted()) {
 *     tracker.round(askEveryMember());
 * }
 * </pre>
 */
public final class AcceptanceTracker {

	/**
	 * How long a member that has not acknowledged may still act on older evidence: the
	 * fencing timeout of 3,000 ms, 2% for the difference of clock rates, and 50 ms.
	 */
	public static final long FENCING_WAIT_MILLIS = 3110;

	private static final long NEVER = Long.MIN_VALUE;

	private final Clock clock;

	private final Membership membership;

	private final long sequence;

	private Map<String, String> before = Map.of();

	private Map<String, String> last = Map.of();

	private long majorityMillis = NEVER;

	private boolean accepted;

	/**
	 * Creates a tracker.
	 * @param clock the process clock
	 * @param membership the members at the change's sequence number or a later one
	 * @param sequence the change's sequence number
	 */
	public AcceptanceTracker(Clock clock, Membership membership, long sequence) {
		this.clock = clock;
		this.membership = membership;
		this.sequence = sequence;
	}

	/**
	 * Records the answers of one round. A member counts toward the majority if the same
	 * process acknowledged in two rounds in a row: only then do the members of the
	 * majority have the change in force at one common instant, while a process that was
	 * replaced between its answer and the last one does not.
	 * @param acknowledgements the newest answer of each member that answered
	 * @return this tracker
	 */
	public AcceptanceTracker round(List<Acknowledgement> acknowledgements) {
		Map<String, String> now = new HashMap<>();
		acknowledgements.stream()
			.filter((answer) -> answer.sequence() >= this.sequence)
			.forEach((answer) -> now.put(answer.hostId(), answer.processId()));
		this.before = this.last;
		this.last = now;
		if (this.majorityMillis == NEVER && majority()) {
			this.majorityMillis = this.clock.millis();
		}
		if (this.majorityMillis != NEVER) {
			boolean all = this.membership.members().stream().allMatch(this::holds);
			// A process that lost its seat is not asked, so it may still serve until it
			// is fenced.
			boolean noneDeparted = this.membership.departureSequence() == 0;
			boolean fenced = this.clock.millis() - this.majorityMillis >= FENCING_WAIT_MILLIS;
			this.accepted = this.accepted || fenced || (all && noneDeparted);
		}
		return this;
	}

	/**
	 * Returns whether the change is in force on every host that may serve keyed routes.
	 * @return whether it is accepted
	 */
	public boolean accepted() {
		return this.accepted;
	}

	/**
	 * Returns the members that have the change in force as of the last round.
	 * @return the members, ordered by host
	 */
	public List<Member> inForce() {
		return this.membership.members().stream().filter((member) -> acknowledged(this.last, member)).toList();
	}

	/**
	 * Returns the members that have not acknowledged as of the last round.
	 * @return the members, ordered by host
	 */
	public List<Member> missing() {
		return this.membership.members().stream().filter((member) -> !acknowledged(this.last, member)).toList();
	}

	private boolean majority() {
		return Majority.moreThanHalf(this.membership.members(), this::holds)
				&& Majority.moreThanHalf(this.membership.previousMembers(), this::holds);
	}

	private boolean holds(Member member) {
		return acknowledged(this.before, member) && acknowledged(this.last, member);
	}

	private boolean acknowledged(Map<String, String> round, Member member) {
		// A seat of the earlier membership is answered for by its present process.
		Member present = this.membership.member(member.hostId());
		return present != null && this.membership.hasSeat(member)
				&& present.processId().equals(round.get(member.hostId()));
	}

	/**
	 * The state that one member reported.
	 *
	 * @param hostId the member's host
	 * @param processId the process that answered
	 * @param sequence its sequence number in force
	 */
	public record Acknowledgement(String hostId, String processId, long sequence) {
	}

}
