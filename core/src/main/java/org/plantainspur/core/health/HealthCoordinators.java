package org.plantainspur.core.health;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;
import java.util.function.Function;

import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.membership.HomeHosts;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerMessage;

/**
 * The coordinators of all services at this host. Each host has one for every service that
 * it gets reports on; only the responsible one ejects.
 */
public final class HealthCoordinators {

	private final ConfigurationView view;

	private final HomeHosts homeHosts;

	private final Member self;

	private final Function<String, HealthCoordinator> factory;

	private final Consumer<String> requestReports;

	private final ConcurrentMap<String, HealthCoordinator> coordinators = new ConcurrentHashMap<>();

	/**
	 * Creates the registry.
	 * @param view the configuration in force
	 * @param homeHosts tells which host is responsible for a service
	 * @param self this process
	 * @param factory creates the coordinator of a service
	 * @param requestReports asks all members, this one too, to report on a service at
	 * once; must not block
	 */
	public HealthCoordinators(ConfigurationView view, HomeHosts homeHosts, Member self,
			Function<String, HealthCoordinator> factory, Consumer<String> requestReports) {
		this.view = view;
		this.homeHosts = homeHosts;
		this.self = self;
		this.factory = factory;
		this.requestReports = requestReports;
		view.listen(
				(configuration) -> this.coordinators.forEach((service, coordinator) -> follow(service, coordinator)));
	}

	/**
	 * Answers a report.
	 * @param report the report
	 * @return the verdicts for the reporter
	 */
	public PeerMessage.Verdicts report(PeerMessage.Report report) {
		HealthCoordinator coordinator = coordinator(report.service());
		PeerMessage.Verdicts verdicts = coordinator.report(report);
		if (coordinator.takeReportRequest()) {
			this.requestReports.accept(report.service());
		}
		return verdicts;
	}

	// A listener that runs before a new entry is in the map does not see it, so the
	// newest number is taken after that.
	private HealthCoordinator coordinator(String service) {
		HealthCoordinator present = this.coordinators.get(service);
		if (present != null) {
			return present;
		}
		HealthCoordinator created = this.coordinators.computeIfAbsent(service, this.factory);
		follow(service, created);
		return created;
	}

	private void follow(String service, HealthCoordinator coordinator) {
		Configuration configuration = this.view.current();
		boolean responsible = this.homeHosts.coordinator(service, configuration.membership())
			.stream()
			.anyMatch((member) -> member.hostId().equals(this.self.hostId())
					&& member.processId().equals(this.self.processId()));
		coordinator.follow(configuration.sequence(), configuration.membership(), responsible);
	}

}
