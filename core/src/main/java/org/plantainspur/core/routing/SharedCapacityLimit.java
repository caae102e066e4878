package org.plantainspur.core.routing;

import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.health.CapacityFloor;
import org.plantainspur.core.health.HealthView;
import org.plantainspur.core.time.Clock;

/**
 * Lets this host use the slots of a service that the other hosts leave free, less the
 * headroom. An equal division among the hosts would leave capacity unused, since the
 * callers of a large account connect to a few hosts only.
 */
public final class SharedCapacityLimit implements ConcurrencyLimit {

	private final Clock clock;

	private final AtomicReference<TargetDirectory> directory;

	private final ConfigurationView view;

	private final HealthView health;

	/**
	 * Creates a limit for all services.
	 * @param clock the process clock
	 * @param directory the current targets
	 * @param view the configuration in force
	 * @param health the load of all hosts and the ejections, as this host knows them
	 */
	public SharedCapacityLimit(Clock clock, AtomicReference<TargetDirectory> directory, ConfigurationView view,
			HealthView health) {
		this.clock = clock;
		this.directory = directory;
		this.view = view;
		this.health = health;
	}

	@Override
	public int limit(String service, int inUse) {
		long now = this.clock.millis();
		HealthView.ServiceHealth serviceHealth = this.health.service(service);
		var active = this.directory.get()
			.targets(service)
			.stream()
			.filter((target) -> !target.leaving() && !serviceHealth.leaving(target.id(), now))
			.toList();
		var policy = this.view.current().service(service);
		int slots = 0;
		int load = 0;
		for (CapacityFloor.Usable usable : CapacityFloor.usable(active, serviceHealth, policy.capacityFloor(), now)) {
			slots += usable.target().slots();
			load += usable.load();
		}
		int usedByOthers = Math.max(0, load - inUse);
		return Math.max(1, (int) (slots * (1 - policy.headroom())) - usedByOthers);
	}

}
