package org.plantainspur.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
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

	private final AtomicBoolean fetchingState = new AtomicBoolean();

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
	 * Asks a member for the changes that this host does not have. Has no effect while a
	 * whole state is being fetched.
	 * @param member the member
	 */
	public void fetch(Member member) {
		if (this.fetchingState.get()) {
			return;
		}
		this.link.ask(member, new PeerMessage.ConfigurationRequest(this.view.current().sequence()), TIMEOUT_MILLIS)
			.whenComplete((answer, failure) -> {
				if (answer instanceof PeerMessage.PartOfConfiguration first) {
					start(member, first.part());
				}
				else if (answer != null) {
					this.follower.adopt(answer);
				}
			});
	}

	private void start(Member member, ConfigurationPart first) {
		if (first.number() == 0 && first.sequence() > this.view.current().sequence()
				&& this.fetchingState.compareAndSet(false, true)) {
			fetchNext(member, List.of(first));
		}
	}

	private void fetchNext(Member member, List<ConfigurationPart> parts) {
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
					List<ConfigurationPart> more = new ArrayList<>(parts);
					more.add(found.part());
					fetchNext(member, more);
				}
				else {
					this.fetchingState.set(false);
				}
			});
	}

}
