package org.plantainspur.core.rate;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.membership.PeerProgress;
import org.plantainspur.core.time.Clock;

/**
 * Tracks when all other members have released the shares that they held before a change,
 * that is, have stopped using them. It does so for all accounts at once, so that an
 * account's first request at this host need not wait for the release.
 */
final class ReleaseTracker {

	private final PeerProgress progress;

	private final Member self;

	private final Clock clock;

	private final AtomicReference<Releases> releases = new AtomicReference<>(new Releases(List.of(), -1));

	ReleaseTracker(PeerProgress progress, Member self, Clock clock) {
		this.progress = progress;
		this.self = self;
		this.clock = clock;
	}

	/**
	 * Records the newest sequence number that all other members have in force. Called
	 * every 100 ms.
	 * @param history the configuration in force at this host and its past memberships
	 */
	void poll(ShareHistory history) {
		long newestSequence = history.current().sequence();
		Releases known = this.releases.get();
		if (known.newestSequence() >= newestSequence) {
			return;
		}
		Set<Member> otherMembers = otherMembers(history);
		if (!record(otherMembers, history, newestSequence) && known.awaitedSequence() > known.newestSequence()) {
			record(otherMembers, history, known.awaitedSequence());
		}
		this.releases.updateAndGet((state) -> state.await(newestSequence));
	}

	private boolean record(Set<Member> otherMembers, ShareHistory history, long sequence) {
		if (!otherMembers.stream().allMatch(hasReleased(history.current().membership(), sequence))) {
			return false;
		}
		// The clock is read after the check: with an earlier instant, a share would
		// start while loans that a holder granted in between may still be spent.
		long now = this.clock.millis();
		this.releases.updateAndGet((state) -> state.add(new Release(sequence, now)));
		return true;
	}

	// These include the earlier holders of every account, since members of older
	// memberships are fenced.
	private Set<Member> otherMembers(ShareHistory history) {
		Set<Member> otherMembers = new HashSet<>(history.current().membership().members());
		history.pastMembershipsAt(this.clock.millis())
			.forEach((past) -> otherMembers.addAll(past.membership().members()));
		otherMembers.removeIf((member) -> member.hostId().equals(this.self.hostId())
				&& member.processId().equals(this.self.processId()));
		return otherMembers;
	}

	/**
	 * Sets the release time of a plan whose earlier holders have all released their
	 * shares, as recorded by an earlier poll or checked now.
	 * @param plan the current plan of an account
	 * @return the plan with the release time, or the same plan if none is due
	 */
	SharePlan applyRelease(SharePlan plan) {
		if (!plan.awaitsRelease(this.clock.millis())) {
			return plan;
		}
		Release release = this.releases.get().firstCovering(plan.releaseSequence());
		if (release != null) {
			return plan.withRelease(release.atMillis());
		}
		Membership membership = plan.history().current().membership();
		boolean released = plan.earlierHolders().stream().allMatch(hasReleased(membership, plan.releaseSequence()));
		return released ? plan.withRelease(this.clock.millis()) : plan;
	}

	// A process that was replaced at its peer address has ended, and a process that has
	// resigned no longer uses its shares. The heartbeats decide for all others.
	private Predicate<Member> hasReleased(Membership membership, long sequence) {
		return (holder) -> {
			Member current = membership.member(holder.hostId());
			if (current != null && membership.hasSeat(holder)
					&& (!current.processId().equals(holder.processId()) || current.resigned())) {
				return true;
			}
			return this.progress.hasReleased(holder, sequence);
		};
	}

	/**
	 * A release by all other members.
	 *
	 * @param sequence the sequence number that every other member had in force, unless it
	 * had resigned
	 * @param atMillis an instant at which this was already so
	 */
	record Release(long sequence, long atMillis) {
	}

	/**
	 * The releases recorded so far.
	 *
	 * @param seen the recorded releases, by increasing sequence number
	 * @param awaitedSequence the sequence number to be recorded next
	 */
	private record Releases(List<Release> seen, long awaitedSequence) {

		long newestSequence() {
			return this.seen.isEmpty() ? -1 : this.seen.get(this.seen.size() - 1).sequence();
		}

		// An awaited sequence number is kept until it is reached, so that frequent
		// changes do not delay its release.
		Releases await(long sequence) {
			return (this.awaitedSequence > newestSequence()) ? this : new Releases(this.seen, sequence);
		}

		// Among the releases whose loans have expired, only the newest is needed.
		Releases add(Release release) {
			if (release.sequence() <= newestSequence()) {
				return this;
			}
			List<Release> next = new ArrayList<>(this.seen);
			while (next.size() > 1
					&& next.get(1).atMillis() + ShareHistory.LOAN_OUTSTANDING_MILLIS <= release.atMillis()) {
				next.remove(0);
			}
			next.add(release);
			return new Releases(List.copyOf(next), this.awaitedSequence);
		}

		@Nullable Release firstCovering(long sequence) {
			return this.seen.stream().filter((release) -> release.sequence() >= sequence).findFirst().orElse(null);
		}

	}

}
