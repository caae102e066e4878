package org.plantainspur.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;

/**
 * Fetches the list of targets from other members, so that a process that starts while the
 * platform is unavailable can serve requests. A list from the platform always replaces
 * it.
 */
public final class PeerTargetFetcher {

	private static final long TIMEOUT_MILLIS = 2000;

	private final AtomicReference<TargetDirectory> directory;

	private final ConfigurationView view;

	private final PeerLink link;

	private final Member self;

	private final AtomicInteger nextMember = new AtomicInteger();

	/**
	 * Creates a fetcher.
	 * @param directory the targets that this host uses, set when a list arrives
	 * @param view the configuration in force, which lists the members
	 * @param link sends messages to other members
	 * @param self the member that stands for this process
	 */
	public PeerTargetFetcher(AtomicReference<TargetDirectory> directory, ConfigurationView view, PeerLink link,
			Member self) {
		this.directory = directory;
		this.view = view;
		this.link = link;
		this.self = self;
	}

	/**
	 * Requests the list from one other member, in rotation, if this host has no targets
	 * yet.
	 */
	public void fetchIfMissing() {
		TargetDirectory known = this.directory.get();
		List<Member> others = this.view.current()
			.membership()
			.members()
			.stream()
			.filter((member) -> !member.hostId().equals(this.self.hostId()))
			.toList();
		if (!known.services().isEmpty() || others.isEmpty()) {
			return;
		}
		Member member = others.get(Math.floorMod(this.nextMember.getAndIncrement(), others.size()));
		this.link.ask(member, new PeerMessage.TargetListRequest(), TIMEOUT_MILLIS).whenComplete((reply, failure) -> {
			// A list that was read from the platform in the meantime is not overwritten.
			if (reply instanceof PeerMessage.TargetList list) {
				this.directory.compareAndSet(known, TargetDirectory.of(list.targets()));
			}
		});
	}

	/**
	 * Returns the list for a member that requests it.
	 * @return the targets that this host uses
	 */
	public PeerMessage.TargetList targetList() {
		TargetDirectory known = this.directory.get();
		List<Target> targets = new ArrayList<>();
		known.services().forEach((service) -> targets.addAll(known.targets(service)));
		return new PeerMessage.TargetList(targets);
	}

}
