package org.plantainspur.core.health;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.membership.HostAssignment;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.TargetDirectory;

/**
 * Reports this host's evidence on each service to the service's coordinator and applies
 * the verdicts. The host calls {@link #reportAll()} every 500 ms and
 * {@link #reportRequested()} every 50 ms from one thread. A report without an answer is
 * not sent again; its evidence may be lost.
 */
public final class HealthReporter {

	private static final long ANSWER_TIMEOUT_MILLIS = 1000;

	private final Member self;

	private final ConfigurationView view;

	private final HostAssignment hostAssignment;

	private final AtomicReference<TargetDirectory> directory;

	private final EvidenceCollector collector;

	private final HealthView health;

	private final HealthCoordinatorRegistry coordinators;

	private final PeerLink link;

	private final PendingReportRequests pendingRequests;

	/**
	 * Creates a reporter.
	 * @param self this process
	 * @param view the configuration in force
	 * @param hostAssignment tells which host is the coordinator of a service
	 * @param directory the current target directory, replaced as a whole
	 * @param collector this host's evidence
	 * @param health receives the verdicts
	 * @param coordinators the coordinators at this host
	 * @param link sends messages to other members
	 * @param pendingRequests the services whose coordinators have asked for a report
	 */
	public HealthReporter(Member self, ConfigurationView view, HostAssignment hostAssignment,
			AtomicReference<TargetDirectory> directory, EvidenceCollector collector, HealthView health,
			HealthCoordinatorRegistry coordinators, PeerLink link, PendingReportRequests pendingRequests) {
		this.self = self;
		this.view = view;
		this.hostAssignment = hostAssignment;
		this.directory = directory;
		this.collector = collector;
		this.health = health;
		this.coordinators = coordinators;
		this.link = link;
		this.pendingRequests = pendingRequests;
	}

	/**
	 * Sends one report for each listed service. Answers arrive on the link's threads.
	 */
	public void reportAll() {
		Configuration configuration = this.view.current();
		TargetDirectory targets = this.directory.get();
		for (String service : targets.services()) {
			this.collector.retain(service, targets.targets(service));
			this.hostAssignment.coordinator(service, configuration.membership())
				.forEach((coordinator) -> report(service, coordinator, configuration.sequence()));
		}
	}

	/**
	 * Sends a report for each listed service whose coordinator has asked for one since
	 * the last call.
	 */
	public void reportRequested() {
		List<String> services = this.pendingRequests.take();
		if (services.isEmpty()) {
			return;
		}
		Configuration configuration = this.view.current();
		Set<String> listed = Set.copyOf(this.directory.get().services());
		services.stream()
			.filter(listed::contains)
			.forEach((service) -> this.hostAssignment.coordinator(service, configuration.membership())
				.forEach((coordinator) -> report(service, coordinator, configuration.sequence())));
	}

	private void report(String service, Member coordinator, long sequence) {
		HealthView.SentReport sentReport = this.health.beginReport(service, coordinator.processId());
		List<PeerMessage.TargetEvidence> evidence = this.collector.drain(service);
		PeerMessage.Report report = new PeerMessage.Report(this.self.hostId(), this.self.processId(), sequence, service,
				evidence, this.health.heldEjections(service));
		if (coordinator.processId().equals(this.self.processId())) {
			this.health.apply(sentReport, this.coordinators.report(report));
			return;
		}
		this.link.ask(coordinator, report, ANSWER_TIMEOUT_MILLIS).whenComplete((answer, failure) -> {
			if (answer instanceof PeerMessage.Verdicts verdicts) {
				this.health.apply(sentReport, verdicts);
			}
		});
	}

}
