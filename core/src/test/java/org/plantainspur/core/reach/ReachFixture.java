package org.plantainspur.core.reach;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.plantainspur.core.target.ConnectFailure;
import org.plantainspur.core.target.HostLocation;
import org.plantainspur.core.target.ObservedTarget;
import org.plantainspur.core.target.TargetListing;
import org.plantainspur.core.target.TargetProcess;
import org.plantainspur.core.target.TargetRegistry;
import org.plantainspur.core.time.ManualClock;

/**
 * The paths of one host in a fleet of two regions, with targets of three services.
 */
final class ReachFixture {

	static final HostLocation LOCATION = new HostLocation("a", Map.of("a", "r", "b", "r", "c", "q"));

	final ManualClock clock = new ManualClock();

	final TargetRegistry registry = new TargetRegistry(this.clock);

	final DirectPaths paths = new DirectPaths(this.registry, this.clock, () -> {
	});

	final RelayHosts hosts = new RelayHosts("own", LOCATION, this.clock);

	final Reachability reachability = new Reachability(this.paths, this.hosts, LOCATION);

	ReachFixture(int targetsPerService, String... services) {
		this.clock.advance(100_000);
		List<TargetListing> listings = new ArrayList<>();
		for (String service : services) {
			for (int i = 1; i <= targetsPerService; i++) {
				listings.add(new TargetListing(service + i, service, "127.0.0.1", 1_000 + i, "a", 4, false, 0, 0));
			}
		}
		this.registry.replace(listings);
	}

	ObservedTarget target(String id) {
		ObservedTarget target = this.registry.target(id);
		if (target == null) {
			throw new IllegalArgumentException("no target " + id);
		}
		return target;
	}

	TargetProcess process(String id) {
		return target(id).listing().process();
	}

	/** Records a connect that began just now and has failed. */
	void fail(String id, ConnectFailure failure) {
		this.paths.recordFailed(process(id), failure, this.clock.millis());
	}

	static RelayHost host(String name, String failureDomain) {
		return new RelayHost(name, failureDomain, 1, "127.0.0.1", 7_342, RelayKey.random());
	}

	PathChooser.Choice choose(String id) {
		return this.reachability.choose(target(id), PathChooser.OpenConnections.NONE);
	}

	boolean isDirect(String id) {
		PathChooser.Choice choice = choose(id);
		return choice != null && choice.path() instanceof TargetPath.Direct;
	}

	/** Returns the host over which a target is reached, or the empty text. */
	String relayOf(String id) {
		PathChooser.Choice choice = choose(id);
		return (choice != null && choice.path() instanceof TargetPath.Relayed relayed) ? relayed.host().name() : "";
	}

}
