package org.plantainspur.core.configuration;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;

/**
 * Fetches changes from other members, so that a process can start and catch up while the
 * platform is unavailable.
 */
public final class PeerConfiguration {

	private static final long TIMEOUT_MILLIS = 2000;

	private final ConfigurationView view;

	private final ConfigurationFollower follower;

	private final PeerLink link;

	private final List<Member> seeds;

	private final AtomicInteger next = new AtomicInteger();

	/**
	 * Creates the fetcher.
	 * @param view the configuration in force
	 * @param follower adopts the changes
	 * @param link sends to other members
	 * @param seeds members to ask while no configuration is known; only their peer
	 * address is used
	 */
	public PeerConfiguration(ConfigurationView view, ConfigurationFollower follower, PeerLink link,
			List<Member> seeds) {
		this.view = view;
		this.follower = follower;
		this.link = link;
		this.seeds = List.copyOf(seeds);
	}

	/**
	 * Asks the next seed if no configuration is known yet.
	 */
	public void tick() {
		if (this.view.current().sequence() == 0 && !this.seeds.isEmpty()) {
			fetch(this.seeds.get(Math.floorMod(this.next.getAndIncrement(), this.seeds.size())));
		}
	}

	/**
	 * Asks a member for the changes that this host does not have.
	 * @param member the member
	 */
	public void fetch(Member member) {
		this.link.ask(member, new PeerMessage.ConfigurationRequest(this.view.current().sequence()), TIMEOUT_MILLIS)
			.whenComplete((answer, failure) -> {
				if (answer instanceof PeerMessage.ConfigurationChanges changes) {
					this.follower.adopt(changes);
				}
			});
	}

}
