package org.plantainspur.core.currency;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.membership.Majority;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.time.Clock;

/**
 * Takes the configuration as current while a read of the platform within the fencing
 * timeout, or answers from a majority of the members within it, show that no newer change
 * can have been accepted. Evidence is condensed to one instant outside the request path;
 * {@link #check()} compares that instant with the clock.
 */
public final class QuorumCurrencyRule implements CurrencyRule {

	/** How long evidence holds, in milliseconds. */
	public static final long FENCING_TIMEOUT_MILLIS = FencingByAge.FENCING_TIMEOUT_MILLIS;

	private static final long NEVER = Long.MIN_VALUE;

	private static final Currency CURRENT = new Currency.Current();

	private static final Currency NO_EVIDENCE = new Currency.Stale(
			"no read of the platform and no majority of members within " + FENCING_TIMEOUT_MILLIS + " ms");

	private static final Currency NOT_A_MEMBER = new Currency.Stale("this process is not a member");

	private final Clock clock;

	private final Member self;

	private final String platformRegion;

	private final long startMillis;

	private final AtomicReference<Evidence> evidence = new AtomicReference<>(
			new Evidence(NEVER, NO_EVIDENCE, false, false));

	/**
	 * Creates the rule.
	 * @param clock the process clock
	 * @param self this process
	 * @param platformRegion the region of the platform, which decides ties
	 */
	public QuorumCurrencyRule(Clock clock, Member self, String platformRegion) {
		this.clock = clock;
		this.self = self;
		this.platformRegion = platformRegion;
		this.startMillis = clock.millis();
	}

	@Override
	public Currency check() {
		Evidence now = this.evidence.get();
		return (this.clock.millis() <= now.validUntilMillis()) ? CURRENT : now.stale();
	}

	/**
	 * Returns whether this process has shown once that its sequence number was the newest
	 * that a majority knows. Before that its answers must not count, since a process that
	 * was replaced may have acknowledged changes that this one has never seen.
	 * @return whether it was shown
	 */
	public boolean established() {
		return this.evidence.get().established();
	}

	/**
	 * Weighs the evidence again. Not on the path of a request.
	 * @param configuration the configuration in force
	 * @param ownReadMillis the instant before this host's last complete read, or
	 * {@link Long#MIN_VALUE}
	 * @param heard the answers by host
	 */
	public void update(Configuration configuration, long ownReadMillis, Map<String, HeardMember> heard) {
		this.evidence.updateAndGet((before) -> weigh(before, configuration, ownReadMillis, heard));
	}

	private Evidence weigh(Evidence before, Configuration configuration, long ownReadMillis,
			Map<String, HeardMember> heard) {
		Membership membership = configuration.membership();
		Member seat = membership.member(this.self.hostId());
		boolean joined = seat != null && seat.processId().equals(this.self.processId());
		boolean joinedOnce = before.joinedOnce() || joined;
		long readMillis = newestRead(configuration, ownReadMillis, heard.values());
		boolean established = before.established() || establishes(configuration, readMillis, heard);
		if (!membership.hasSeat(this.self) || joined != joinedOnce) {
			return new Evidence(NEVER, NOT_A_MEMBER, established, joinedOnce);
		}
		long until = joined ? after(readMillis) : NEVER;
		if (established) {
			until = Math.max(until, after(majorityAsked(configuration, heard, true)));
		}
		return new Evidence(until, NO_EVIDENCE, established, joinedOnce);
	}

	// The majority must be of other members, and a read must have begun after this
	// process started: the process that held the seat before may have acknowledged a
	// change up to then.
	private boolean establishes(Configuration configuration, long readMillis, Map<String, HeardMember> heard) {
		return readMillis >= this.startMillis
				|| this.clock.millis() <= after(majorityAsked(configuration, heard, false));
	}

	private static long newestRead(Configuration configuration, long ownReadMillis, Collection<HeardMember> heard) {
		long newest = ownReadMillis;
		for (HeardMember member : heard) {
			if (knowsNothingNewer(member, configuration)) {
				newest = Math.max(newest, member.readMillis());
			}
		}
		return newest;
	}

	// Returns the newest instant such that a majority was asked at it or later and knew
	// of no newer change. Whether these members can read the platform is not asked: a
	// read within the timeout proves more than their answer does.
	private long majorityAsked(Configuration configuration, Map<String, HeardMember> heard, boolean countSelf) {
		Collection<Member> members = configuration.membership().members();
		List<Asked> asked = new ArrayList<>();
		for (Member member : members) {
			HeardMember answer = heard.get(member.hostId());
			if (member.hostId().equals(this.self.hostId())) {
				if (countSelf) {
					asked.add(new Asked(member, this.clock.millis()));
				}
			}
			else if (answer != null && knowsNothingNewer(answer, configuration)) {
				asked.add(new Asked(member, answer.askedMillis()));
			}
		}
		asked.sort(Comparator.comparingLong(Asked::millis).reversed());
		return Majority.smallestPrefix(members, asked.stream().map(Asked::member).toList(), this.platformRegion)
			.stream()
			.mapToObj((size) -> asked.get(size - 1).millis())
			.findFirst()
			.orElse(NEVER);
	}

	private static boolean knowsNothingNewer(HeardMember member, Configuration configuration) {
		return member.sequence() >= 0 && member.sequence() <= configuration.sequence();
	}

	private static long after(long evidenceMillis) {
		return (evidenceMillis == NEVER) ? NEVER : evidenceMillis + FENCING_TIMEOUT_MILLIS;
	}

	private record Asked(Member member, long millis) {
	}

	private record Evidence(long validUntilMillis, Currency stale, boolean established, boolean joinedOnce) {
	}

}
