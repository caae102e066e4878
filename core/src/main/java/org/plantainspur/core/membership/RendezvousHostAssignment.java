package org.plantainspur.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.configuration.ClientAccount;

/**
 * Assigns accounts and services to members by rendezvous hashing: when one member joins
 * or leaves, only the assignments to that member change. The home hosts of an account
 * alternate between regions.
 */
public final class RendezvousHostAssignment implements HostAssignment {

	/**
	 * The maximum number of home hosts of an account. When one of four home hosts fails,
	 * 1/4 of the account's rate is unavailable until its share has moved.
	 */
	static final int MAXIMUM_HOME_HOSTS = 4;

	/**
	 * The burst, in requests, that an account needs for each of its home hosts, up to
	 * {@link #MAXIMUM_HOME_HOSTS}. An account with a smaller burst has one home host.
	 * With several home hosts, each share has a burst of at least this value.
	 */
	static final int BURST_PER_HOME_HOST = 4;

	// Caches the coordinators, since every host looks up the coordinator of each
	// service twice a second. Ranking 950 members for each of 790 services took a third
	// of a core without the cache.
	private final AtomicReference<CachedCoordinators> coordinators = new AtomicReference<>(
			new CachedCoordinators(Membership.empty(), new ConcurrentHashMap<>()));

	@Override
	public List<Member> homeHosts(ClientAccount account, Membership membership) {
		int count = Math.min(MAXIMUM_HOME_HOSTS, Math.max(1, (int) (account.burst() / BURST_PER_HOME_HOST)));
		Map<String, Integer> rankedByRegion = new HashMap<>();
		List<Ranked> ranked = rank("account/" + account.id(), membership);
		List<RegionRank> regionRanks = new ArrayList<>();
		for (int i = 0; i < ranked.size(); i++) {
			int rankInRegion = rankedByRegion.merge(ranked.get(i).member().region(), 1, Integer::sum);
			regionRanks.add(new RegionRank(ranked.get(i).member(), rankInRegion, i));
		}
		regionRanks.sort(Comparator.comparingInt(RegionRank::rankInRegion).thenComparingInt(RegionRank::overallRank));
		return regionRanks.stream().limit(count).map(RegionRank::member).toList();
	}

	@Override
	public List<Member> coordinator(String service, Membership membership) {
		CachedCoordinators cached = this.coordinators.get();
		if (cached.membership() != membership) {
			cached = new CachedCoordinators(membership, new ConcurrentHashMap<>());
			this.coordinators.set(cached);
		}
		return cached.byService()
			.computeIfAbsent(service,
					(name) -> rank("service/" + name, membership).stream().limit(1).map(Ranked::member).toList());
	}

	/**
	 * Returns the members in the order in which they take over a duty, such as the
	 * coordination of the membership.
	 * @param duty the duty's name
	 * @param membership the members
	 * @return all active members; each one takes over if all before it are unavailable
	 */
	public List<Member> precedence(String duty, Membership membership) {
		return rank("duty/" + duty, membership).stream().map(Ranked::member).toList();
	}

	private static List<Ranked> rank(String name, Membership membership) {
		long nameHash = hash(name);
		return membership.active()
			.stream()
			.map((member) -> new Ranked(member, mix(nameHash ^ hash(member.hostId()))))
			.sorted(Comparator.comparingLong(Ranked::score).thenComparing((ranked) -> ranked.member().hostId()))
			.toList();
	}

	// Computes the 64-bit FNV-1a hash of the UTF-16 code units and mixes it. Hosts choose
	// the same members only if they all compute the same hashes.
	private static long hash(String text) {
		long hash = 0xcbf29ce484222325L;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
		}
		return mix(hash);
	}

	// The 64-bit finalizer of MurmurHash3.
	private static long mix(long value) {
		long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
		mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return mixed ^ (mixed >>> 33);
	}

	/**
	 * The coordinators under one membership that were looked up so far.
	 *
	 * @param membership the membership
	 * @param byService the coordinators by the name of the service
	 */
	private record CachedCoordinators(Membership membership, ConcurrentMap<String, List<Member>> byService) {
	}

	private record Ranked(Member member, long score) {
	}

	private record RegionRank(Member member, int rankInRegion, int overallRank) {
	}

}
