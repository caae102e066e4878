package org.plantainspur.core.routing;

import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.health.CapacityFloor;
import org.plantainspur.core.health.HealthView;
import org.plantainspur.core.time.Clock;

/**
 * Lets this host use what the other hosts leave of a service's slots, less the headroom.
 * An equal division among hosts would strand capacity, since a large account's callers
 * connect to a few hosts only.
 */
public final class SharedCapacityLimit implements ConcurrencyLimit {

	private final Clock clock;

	private final AtomicReference<TargetDirectory> directory;

	private final ConfigurationView view;

	private final HealthView health;

	/**
	 * Creates a limit.
	 * @param clock the process clock
	 * @param directory the targets, replaced as a whole
	 * @param view the configuration in force
	 * @param health the pooled load and the ejections that this host holds
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
		HealthView.ServiceHealth held = this.health.service(service);
		var staying = this.directory.get()
			.targets(service)
			.stream()
			.filter((target) -> !target.leaving() && !held.leaving(target.id(), now))
			.toList();
		var policy = this.view.current().service(service);
		int slots = 0;
		int load = 0;
		for (CapacityFloor.Usable usable : CapacityFloor.usable(staying, held, policy.capacityFloor(), now)) {
			slots += usable.target().slots();
			load += usable.load();
		}
		int others = Math.max(0, load - inUse);
		return Math.max(1, (int) (slots * (1 - policy.headroom())) - others);
	}

}
