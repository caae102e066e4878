package org.plantainspur.core.health;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;
import java.util.function.Function;

import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.membership.HostAssignment;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerMessage;

/**
 * Holds this host's coordinators, one for each service that it has received a report on.
 * Each ejects targets only while this host is assigned to its service as coordinator.
 */
public final class HealthCoordinatorRegistry {

	private final ConfigurationView view;

	private final HostAssignment hostAssignment;

	private final Member self;

	private final Function<String, HealthCoordinator> factory;

	private final Consumer<String> requestReports;

	private final ConcurrentMap<String, HealthCoordinator> coordinators = new ConcurrentHashMap<>();

	/**
	 * Creates an empty registry.
	 * @param view the configuration in force
	 * @param hostAssignment tells which host is the coordinator of a service
	 * @param self this process
	 * @param factory creates the coordinator of a service by its name
	 * @param requestReports asks all members, this one included, to report on a service
	 * at once; must not block
	 */
	public HealthCoordinatorRegistry(ConfigurationView view, HostAssignment hostAssignment, Member self,
			Function<String, HealthCoordinator> factory, Consumer<String> requestReports) {
		this.view = view;
		this.hostAssignment = hostAssignment;
		this.self = self;
		this.factory = factory;
		this.requestReports = requestReports;
		view.addListener((configuration) -> this.coordinators
			.forEach((service, coordinator) -> updateMembership(service, coordinator)));
	}

	/**
	 * Passes a report to the service's coordinator, which is created if needed.
	 * @param report the report of one host on one service
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

	// A configuration listener that runs before a new coordinator is in the map does not
	// reach it, so the current configuration is applied after the insertion.
	private HealthCoordinator coordinator(String service) {
		HealthCoordinator existing = this.coordinators.get(service);
		if (existing != null) {
			return existing;
		}
		HealthCoordinator created = this.coordinators.computeIfAbsent(service, this.factory);
		updateMembership(service, created);
		return created;
	}

	private void updateMembership(String service, HealthCoordinator coordinator) {
		Configuration configuration = this.view.current();
		boolean isCoordinator = this.hostAssignment.coordinator(service, configuration.membership())
			.stream()
			.anyMatch((member) -> member.hostId().equals(this.self.hostId())
					&& member.processId().equals(this.self.processId()));
		coordinator.updateMembership(configuration.sequence(), configuration.membership(), isCoordinator);
	}

}
