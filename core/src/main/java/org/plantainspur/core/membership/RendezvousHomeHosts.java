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
 * Assigns by rendezvous hashing, so that a change of one member moves only what that
 * member held or gains. The homes of an account alternate between regions.
 */
public final class RendezvousHomeHosts implements HomeHosts {

	/**
	 * The most homes of an account. A home that fails takes 1/4 of the account's rate
	 * until its share has moved.
	 */
	static final int MAXIMUM_HOMES = 4;

	/**
	 * An account gets one home for each this many requests of burst, so that no share is
	 * below this.
	 */
	static final int BURST_PER_HOME = 4;

	// Every host asks for the coordinator of each service twice a second; ranking 950
	// members for each of 790 services each time took a third of a core.
	private final AtomicReference<Coordinators> coordinators = new AtomicReference<>(
			new Coordinators(Membership.empty(), new ConcurrentHashMap<>()));

	@Override
	public List<Member> homes(ClientAccount account, Membership membership) {
		int count = Math.min(MAXIMUM_HOMES, Math.max(1, (int) (account.burst() / BURST_PER_HOME)));
		Map<String, Integer> takenByRegion = new HashMap<>();
		List<Ranked> ranked = rank("account/" + account.id(), membership);
		List<Placed> placed = new ArrayList<>();
		for (int i = 0; i < ranked.size(); i++) {
			int round = takenByRegion.merge(ranked.get(i).member().region(), 1, Integer::sum);
			placed.add(new Placed(ranked.get(i).member(), round, i));
		}
		placed.sort(Comparator.comparingInt(Placed::round).thenComparingInt(Placed::rank));
		return placed.stream().limit(count).map(Placed::member).toList();
	}

	@Override
	public List<Member> coordinator(String service, Membership membership) {
		Coordinators known = this.coordinators.get();
		if (known.membership() != membership) {
			known = new Coordinators(membership, new ConcurrentHashMap<>());
			this.coordinators.set(known);
		}
		return known.byService()
			.computeIfAbsent(service,
					(name) -> rank("service/" + name, membership).stream().limit(1).map(Ranked::member).toList());
	}

	/**
	 * Returns the members in the order in which they take a duty.
	 * @param duty the duty's name
	 * @param membership the members
	 * @return every active member, the first in the order first
	 */
	public List<Member> order(String duty, Membership membership) {
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

	private static long hash(String text) {
		long hash = 0xcbf29ce484222325L;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
		}
		return mix(hash);
	}

	private static long mix(long value) {
		long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
		mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return mixed ^ (mixed >>> 33);
	}

	/**
	 * The coordinators under one membership, as far as they have been asked for.
	 *
	 * @param membership the membership
	 * @param byService the coordinators by service
	 */
	private record Coordinators(Membership membership, ConcurrentMap<String, List<Member>> byService) {
	}

	private record Ranked(Member member, long score) {
	}

	private record Placed(Member member, int round, int rank) {
	}

}
