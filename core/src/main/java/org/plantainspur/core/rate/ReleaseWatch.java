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
 * Records when all other members have stopped using the shares that they held before a
 * change, so that an account's first request at this host need not wait for it.
 */
final class ReleaseWatch {

	private final PeerProgress progress;

	private final Member self;

	private final Clock clock;

	private final AtomicReference<Releases> releases = new AtomicReference<>(new Releases(List.of(), -1));

	ReleaseWatch(PeerProgress progress, Member self, Clock clock) {
		this.progress = progress;
		this.self = self;
		this.clock = clock;
	}

	/**
	 * Records the newest sequence number that all other members have in force. Called
	 * every 100 ms.
	 * @param history the states in force at this host
	 */
	void poll(ShareHistory history) {
		long newest = history.current().sequence();
		Releases before = this.releases.get();
		if (before.newest() >= newest) {
			return;
		}
		Set<Member> others = others(history);
		if (!record(others, history, newest) && before.awaited() > before.newest()) {
			record(others, history, before.awaited());
		}
		this.releases.updateAndGet((state) -> state.await(newest));
	}

	private boolean record(Set<Member> others, ShareHistory history, long sequence) {
		if (!others.stream().allMatch(stopped(history.current().membership(), sequence))) {
			return false;
		}
		// Read after the check: an earlier instant would let a share start while loans
		// that a holder gave in between may still be spent.
		long now = this.clock.millis();
		this.releases.updateAndGet((state) -> state.add(new Release(sequence, now)));
		return true;
	}

	// The earlier holders of every account are among these: members of older states are
	// fenced.
	private Set<Member> others(ShareHistory history) {
		Set<Member> others = new HashSet<>(history.current().membership().members());
		history.pastAt(this.clock.millis()).forEach((past) -> others.addAll(past.membership().members()));
		others.removeIf((member) -> member.hostId().equals(this.self.hostId())
				&& member.processId().equals(this.self.processId()));
		return others;
	}

	/**
	 * Notes the release of a plan's earlier holders, seen by an earlier poll or now.
	 * @param plan the plan
	 * @return the plan
	 */
	SharePlan observe(SharePlan plan) {
		if (!plan.awaitsRelease(this.clock.millis())) {
			return plan;
		}
		Release release = this.releases.get().of(plan.sequence());
		if (release != null) {
			return plan.released(release.atMillis());
		}
		Membership membership = plan.history().current().membership();
		boolean all = plan.earlierHolders().stream().allMatch(stopped(membership, plan.sequence()));
		return all ? plan.released(this.clock.millis()) : plan;
	}

	private Predicate<Member> stopped(Membership membership, long sequence) {
		return (holder) -> {
			Member present = membership.member(holder.hostId());
			if (present != null && membership.hasSeat(holder)
					&& (!present.processId().equals(holder.processId()) || present.resigned())) {
				return true;
			}
			return this.progress.released(holder, sequence);
		};
	}

	/**
	 * A release that was seen.
	 *
	 * @param sequence the sequence number that all other members had in force or had
	 * resigned
	 * @param atMillis an instant by which this was so
	 */
	record Release(long sequence, long atMillis) {
	}

	/**
	 * What was seen so far.
	 *
	 * @param seen the releases, by increasing sequence number
	 * @param awaited the sequence number that is awaited next
	 */
	private record Releases(List<Release> seen, long awaited) {

		long newest() {
			return this.seen.isEmpty() ? -1 : this.seen.get(this.seen.size() - 1).sequence();
		}

		// A number that is awaited stays until it is reached, so that frequent changes do
		// not delay it.
		Releases await(long sequence) {
			return (this.awaited > newest()) ? this : new Releases(this.seen, sequence);
		}

		// Of the releases whose loans have ended only the newest tells more.
		Releases add(Release release) {
			if (release.sequence() <= newest()) {
				return this;
			}
			List<Release> next = new ArrayList<>(this.seen);
			while (next.size() > 1 && next.get(1).atMillis() + ShareHistory.LOAN_OUT_MILLIS <= release.atMillis()) {
				next.remove(0);
			}
			next.add(release);
			return new Releases(List.copyOf(next), this.awaited);
		}

		@Nullable Release of(long sequence) {
			return this.seen.stream().filter((release) -> release.sequence() >= sequence).findFirst().orElse(null);
		}

	}

}
