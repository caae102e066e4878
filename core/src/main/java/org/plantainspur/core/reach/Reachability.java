package org.plantainspur.core.reach;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.target.HostLocation;
import org.plantainspur.core.target.ObservedTarget;

/**
 * Chooses a direct path while one is open, and otherwise one over another host that may
 * reach the target. A target that this host and {@link #MAX_UNREACHED} others do not
 * reach, among them one of each failure domain that can be asked, has no path: it is
 * down, and its service's requests must not be sent around. As nothing depends on a
 * majority, one host that reaches the targets serves all others, up to its room.
 */
public final class Reachability implements PathChooser {

	/**
	 * The fewest hosts that reach other targets, beside this one, that show together that
	 * a target is down.
	 */
	static final int MAX_UNREACHED = 3;

	/** Cost of the hop to another host of the failure domain. */
	static final double RELAY_COST = 0.05;

	/** Additional cost of a hop to another failure domain, for each step of distance. */
	static final double DISTANCE_COST = 0.1;

	/**
	 * Cost of a target that this host does not reach and no other is known to reach, as
	 * it may be down.
	 */
	static final double DOUBT_COST = 0.5;

	private final DirectPaths directPaths;

	private final RelayHosts relayHosts;

	private final HostLocation location;

	/**
	 * Creates the choice of paths.
	 * @param directPaths this host's own paths
	 * @param relayHosts the hosts that may relay attempts
	 * @param location the failure domain of this host and the regions of all domains
	 */
	public Reachability(DirectPaths directPaths, RelayHosts relayHosts, HostLocation location) {
		this.directPaths = directPaths;
		this.relayHosts = relayHosts;
		this.location = location;
	}

	@Override
	public @Nullable Choice choose(ObservedTarget target, OpenConnections connections) {
		if (this.directPaths.isOpen(target.listing().process())
				|| connections.isOpen(target, this.directPaths.connectionsProvenSinceMs(target.listing().process()))) {
			return Choice.DIRECT;
		}
		RelayHosts.Evidence evidence = this.relayHosts.evidence(target.listing().id());
		if (!evidence.reached() && evidence.unreached() >= MAX_UNREACHED
				&& this.relayHosts.isUnreachedFromAllDomains(evidence)) {
			return null;
		}
		RelayHost host = this.relayHosts.choose(evidence);
		if (host == null) {
			return null;
		}
		boolean doubtful = !evidence.reached() && (evidence.unreached() > 0 || !this.directPaths.isCutOff());
		double distance = this.location.distanceTo(host.failureDomain()).ordinal();
		return new Choice(new TargetPath.Relayed(host),
				RELAY_COST + distance * DISTANCE_COST + (doubtful ? DOUBT_COST * (1 + evidence.unreached()) : 0),
				doubtful);
	}

}
