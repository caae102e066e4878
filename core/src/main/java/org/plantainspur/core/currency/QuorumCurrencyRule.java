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
 * Treats the configuration as current while there is evidence that no newer change can
 * have been accepted: a read of the platform, or heartbeat responses of a majority of the
 * members, within the fencing timeout. {@link #update} computes the instant at which the
 * evidence expires; {@link #check()}, which is called for each request, only compares
 * that instant with the clock.
 */
public final class QuorumCurrencyRule implements CurrencyRule {

	/** The fencing timeout in milliseconds: how long evidence stays valid. */
	public static final long FENCING_TIMEOUT_MILLIS = ReadAgeCurrencyRule.FENCING_TIMEOUT_MILLIS;

	private static final long NEVER = Long.MIN_VALUE;

	private static final Currency CURRENT = new Currency.Current();

	private static final Currency NO_EVIDENCE = new Currency.Stale(
			"no read of the platform and no majority of members within " + FENCING_TIMEOUT_MILLIS + " ms");

	private static final Currency NOT_A_MEMBER = new Currency.Stale("this process is not a member");

	private final Clock clock;

	private final Member self;

	private final String platformRegion;

	private final long startMillis;

	private final AtomicReference<Evaluation> evaluation = new AtomicReference<>(
			new Evaluation(NEVER, NO_EVIDENCE, false, false));

	/**
	 * Creates the rule.
	 * @param clock the process clock
	 * @param self this process
	 * @param platformRegion the region of the platform; half of the members count as a
	 * majority if they include more than half of those in this region
	 */
	public QuorumCurrencyRule(Clock clock, Member self, String platformRegion) {
		this.clock = clock;
		this.self = self;
		this.platformRegion = platformRegion;
		this.startMillis = clock.millis();
	}

	@Override
	public Currency check() {
		Evaluation latest = this.evaluation.get();
		return (this.clock.millis() <= latest.validUntilMillis()) ? CURRENT : latest.stale();
	}

	/**
	 * Returns whether this process has ever had evidence that its sequence number was the
	 * newest that a majority knows. Before that, other members must not count its
	 * responses, since a process that it replaced may have acknowledged changes that this
	 * one has never read.
	 * @return {@code true} from the first such evidence on
	 */
	public boolean isEstablished() {
		return this.evaluation.get().established();
	}

	/**
	 * Evaluates the evidence again. This is not called on the path of a request, since it
	 * visits all members.
	 * @param configuration the configuration in force
	 * @param ownReadMillis the instant just before this host's last complete read of the
	 * platform, or {@link Long#MIN_VALUE} if there was none
	 * @param responses the newest heartbeat response of each member by host name
	 */
	public void update(Configuration configuration, long ownReadMillis, Map<String, HeartbeatResponse> responses) {
		this.evaluation.updateAndGet((before) -> evaluate(before, configuration, ownReadMillis, responses));
	}

	private Evaluation evaluate(Evaluation before, Configuration configuration, long ownReadMillis,
			Map<String, HeartbeatResponse> responses) {
		Membership membership = configuration.membership();
		Member member = membership.member(this.self.hostId());
		boolean joined = member != null && member.processId().equals(this.self.processId());
		boolean joinedOnce = before.joinedOnce() || joined;
		long readMillis = newestRead(configuration, ownReadMillis, responses.values());
		boolean established = before.established() || establishes(configuration, readMillis, responses);
		// A process that was a member must still be one. A new process at an existing
		// seat may serve before it has joined, so that a process can be replaced while
		// the platform is unavailable; until it joins, only a majority counts as
		// evidence, not a read.
		if (!membership.hasSeat(this.self) || joined != joinedOnce) {
			return new Evaluation(NEVER, NOT_A_MEMBER, established, joinedOnce);
		}
		long validUntil = joined ? expiry(readMillis) : NEVER;
		if (established) {
			validUntil = Math.max(validUntil, expiry(majoritySentMillis(configuration, responses, true)));
		}
		return new Evaluation(validUntil, NO_EVIDENCE, established, joinedOnce);
	}

	// A majority must consist of other members, and a read must have begun after this
	// process started: a process that held the same seat before may have acknowledged
	// changes until then.
	private boolean establishes(Configuration configuration, long readMillis,
			Map<String, HeartbeatResponse> responses) {
		return readMillis >= this.startMillis
				|| this.clock.millis() <= expiry(majoritySentMillis(configuration, responses, false));
	}

	private static long newestRead(Configuration configuration, long ownReadMillis,
			Collection<HeartbeatResponse> responses) {
		long newest = ownReadMillis;
		for (HeartbeatResponse response : responses) {
			if (knowsNothingNewer(response, configuration)) {
				newest = Math.max(newest, response.platformReadMillis());
			}
		}
		return newest;
	}

	// Returns the latest instant for which heartbeats sent at or after it were answered
	// by a majority that knew of no newer change. It does not matter whether these
	// members can read the platform, since such a read is stronger evidence than their
	// response and counts on its own.
	private long majoritySentMillis(Configuration configuration, Map<String, HeartbeatResponse> responses,
			boolean countSelf) {
		Collection<Member> members = configuration.membership().members();
		List<Confirmation> confirmations = new ArrayList<>();
		for (Member member : members) {
			HeartbeatResponse response = responses.get(member.hostId());
			if (member.hostId().equals(this.self.hostId())) {
				if (countSelf) {
					confirmations.add(new Confirmation(member, this.clock.millis()));
				}
			}
			else if (response != null && knowsNothingNewer(response, configuration)) {
				confirmations.add(new Confirmation(member, response.sentMillis()));
			}
		}
		confirmations.sort(Comparator.comparingLong(Confirmation::millis).reversed());
		return Majority
			.smallestPrefix(members, confirmations.stream().map(Confirmation::member).toList(), this.platformRegion)
			.stream()
			.mapToObj((size) -> confirmations.get(size - 1).millis())
			.findFirst()
			.orElse(NEVER);
	}

	private static boolean knowsNothingNewer(HeartbeatResponse response, Configuration configuration) {
		return response.sequence() >= 0 && response.sequence() <= configuration.sequence();
	}

	private static long expiry(long evidenceMillis) {
		return (evidenceMillis == NEVER) ? NEVER : evidenceMillis + FENCING_TIMEOUT_MILLIS;
	}

	/**
	 * A member that knew of no newer change.
	 *
	 * @param member the member
	 * @param millis the latest instant for which this is certain, as a reading of the
	 * process clock
	 */
	private record Confirmation(Member member, long millis) {
	}

	/**
	 * The result of an update.
	 *
	 * @param validUntilMillis the instant until which the configuration is current, as a
	 * reading of the process clock
	 * @param stale the result of a check after that instant
	 * @param established see {@link #isEstablished()}
	 * @param joinedOnce whether this process has ever been a member in the configuration
	 * in force
	 */
	private record Evaluation(long validUntilMillis, Currency stale, boolean established, boolean joinedOnce) {
	}

}
