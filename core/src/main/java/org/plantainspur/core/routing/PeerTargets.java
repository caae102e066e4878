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
 * platform is unavailable has targets to send to. A list from the platform always
 * replaces it.
 */
public final class PeerTargets {

	private static final long TIMEOUT_MILLIS = 2000;

	private final AtomicReference<TargetDirectory> directory;

	private final ConfigurationView view;

	private final PeerLink link;

	private final Member self;

	private final AtomicInteger next = new AtomicInteger();

	/**
	 * Creates the fetcher.
	 * @param directory the list in use
	 * @param view the configuration in force, which lists the members
	 * @param link sends to other members
	 * @param self this process
	 */
	public PeerTargets(AtomicReference<TargetDirectory> directory, ConfigurationView view, PeerLink link, Member self) {
		this.directory = directory;
		this.view = view;
		this.link = link;
		this.self = self;
	}

	/**
	 * Asks the next member if this host has no list yet.
	 */
	public void tick() {
		TargetDirectory present = this.directory.get();
		List<Member> others = this.view.current()
			.membership()
			.members()
			.stream()
			.filter((member) -> !member.hostId().equals(this.self.hostId()))
			.toList();
		if (!present.services().isEmpty() || others.isEmpty()) {
			return;
		}
		Member member = others.get(Math.floorMod(this.next.getAndIncrement(), others.size()));
		this.link.ask(member, new PeerMessage.TargetListRequest(), TIMEOUT_MILLIS).whenComplete((answer, failure) -> {
			// The exchange fails if a read of the platform was faster.
			if (answer instanceof PeerMessage.TargetList list) {
				this.directory.compareAndSet(present, TargetDirectory.of(list.targets()));
			}
		});
	}

	/**
	 * Answers a member that asks for the list.
	 * @return the list in use
	 */
	public PeerMessage.TargetList answer() {
		TargetDirectory present = this.directory.get();
		List<Target> targets = new ArrayList<>();
		present.services().forEach((service) -> targets.addAll(present.targets(service)));
		return new PeerMessage.TargetList(targets);
	}

}
