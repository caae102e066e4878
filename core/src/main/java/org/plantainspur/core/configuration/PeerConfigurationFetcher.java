package org.plantainspur.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;

/**
 * Fetches changes from other members, so that a process can start and receive changes
 * while the platform is unavailable.
 */
public final class PeerConfigurationFetcher {

	private static final long TIMEOUT_MILLIS = 2000;

	private final ConfigurationView view;

	private final ConfigurationFollower follower;

	private final PeerLink link;

	private final List<Member> seeds;

	private final AtomicInteger nextSeed = new AtomicInteger();

	private final AtomicBoolean fetchingState = new AtomicBoolean();

	/**
	 * Creates the fetcher.
	 * @param view the configuration in force
	 * @param follower applies the fetched changes
	 * @param link sends the requests to other members
	 * @param seeds the members to ask in turn while this host has no configuration; only
	 * their peer addresses are used
	 */
	public PeerConfigurationFetcher(ConfigurationView view, ConfigurationFollower follower, PeerLink link,
			List<Member> seeds) {
		this.view = view;
		this.follower = follower;
		this.link = link;
		this.seeds = List.copyOf(seeds);
	}

	/**
	 * Requests the configuration from the next seed if this host has none yet.
	 */
	public void fetchIfMissing() {
		if (this.view.current().sequence() == 0 && !this.seeds.isEmpty()) {
			fetch(this.seeds.get(Math.floorMod(this.nextSeed.getAndIncrement(), this.seeds.size())));
		}
	}

	/**
	 * Requests from a member the changes that this host does not have. This has no effect
	 * while a whole state is being fetched.
	 * @param member the member
	 */
	public void fetch(Member member) {
		if (this.fetchingState.get()) {
			return;
		}
		this.link.ask(member, new PeerMessage.ConfigurationRequest(this.view.current().sequence()), TIMEOUT_MILLIS)
			.whenComplete((answer, failure) -> {
				if (answer instanceof PeerMessage.PartOfConfiguration first) {
					beginStateFetch(member, first.part());
				}
				else if (answer != null) {
					this.follower.adopt(answer);
				}
			});
	}

	private void beginStateFetch(Member member, ConfigurationPart first) {
		if (first.number() == 0 && first.sequence() > this.view.current().sequence()
				&& this.fetchingState.compareAndSet(false, true)) {
			fetchNextPart(member, List.of(first));
		}
	}

	private void fetchNextPart(Member member, List<ConfigurationPart> parts) {
		ConfigurationPart first = parts.get(0);
		if (parts.size() >= first.count()) {
			this.fetchingState.set(false);
			this.follower.adopt(ConfigurationParts.join(parts));
			return;
		}
		this.link.ask(member, new PeerMessage.ConfigurationPartRequest(first.sequence(), parts.size()), TIMEOUT_MILLIS)
			.whenComplete((answer, failure) -> {
				if (answer instanceof PeerMessage.PartOfConfiguration found
						&& found.part().sequence() == first.sequence() && found.part().number() == parts.size()) {
					List<ConfigurationPart> extended = new ArrayList<>(parts);
					extended.add(found.part());
					fetchNextPart(member, extended);
				}
				else {
					this.fetchingState.set(false);
				}
			});
	}

}
