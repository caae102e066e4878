package org.plantainspur.host;

import java.util.concurrent.atomic.AtomicReference;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;

import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.health.CompositeOutcomeRecorder;
import org.plantainspur.core.health.CrashQuarantine;
import org.plantainspur.core.health.EvidenceCollector;
import org.plantainspur.core.health.HealthCoordinator;
import org.plantainspur.core.health.HealthCoordinatorRegistry;
import org.plantainspur.core.health.HealthReporter;
import org.plantainspur.core.health.HealthView;
import org.plantainspur.core.health.LocalWeights;
import org.plantainspur.core.health.OutcomeRecorder;
import org.plantainspur.core.health.PendingReportRequests;
import org.plantainspur.core.health.PooledOutlierDetector;
import org.plantainspur.core.health.RequestQuarantine;
import org.plantainspur.core.membership.HostAssignment;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.AdaptiveLimits;
import org.plantainspur.core.routing.AdmissionQueue;
import org.plantainspur.core.routing.FairAdmissionQueue;
import org.plantainspur.core.routing.LoadSheddingDetector;
import org.plantainspur.core.routing.SharedCapacityLimit;
import org.plantainspur.core.routing.TargetChooser;
import org.plantainspur.core.routing.TargetDirectory;
import org.plantainspur.core.routing.TargetLoadSheddingDetector;
import org.plantainspur.core.routing.WeightedTwoChoiceChooser;
import org.plantainspur.core.time.Clock;

/**
 * Binds the detection of unhealthy targets, the load balancing, the admission queue and
 * the load shedding.
 */
final class HealthModule extends AbstractModule {

	private static final long SUSPECT_TIMEOUT_MILLIS = 1000;

	/**
	 * How long to wait for a member to acknowledge the request for an early report. A
	 * later answer is of no use, since the member sends its regular report every 500 ms.
	 */
	private static final long REPORT_REQUEST_TIMEOUT_MILLIS = 500;

	@Provides
	@Singleton
	HealthView healthView(Clock clock) {
		return new HealthView(clock);
	}

	@Provides
	@Singleton
	LocalWeights localWeights(Clock clock) {
		return new LocalWeights(clock);
	}

	@Provides
	@Singleton
	AdaptiveLimits adaptiveLimits(Clock clock) {
		return new AdaptiveLimits(clock);
	}

	@Provides
	@Singleton
	LoadSheddingDetector loadSheddingDetector(AtomicReference<TargetDirectory> directory, AdaptiveLimits limits) {
		return new TargetLoadSheddingDetector(directory, limits);
	}

	@Provides
	@Singleton
	CrashQuarantine crashQuarantine(Clock clock, ConfigurationView view, PeerLink link, Member self) {
		return new CrashQuarantine(clock, (suspect) -> announceSuspect(suspect, view, link, self));
	}

	// Tells every member about a request that may have crashed a target, since the caller
	// may resend the request to any of them. Crashes are rare, so the number of messages
	// does not matter.
	private static void announceSuspect(PeerMessage.Suspect suspect, ConfigurationView view, PeerLink link,
			Member self) {
		sendToOtherMembers(suspect, view, link, self, SUSPECT_TIMEOUT_MILLIS);
	}

	private static void sendToOtherMembers(PeerMessage message, ConfigurationView view, PeerLink link, Member self,
			long timeoutMillis) {
		view.current()
			.membership()
			.members()
			.stream()
			.filter((member) -> !member.hostId().equals(self.hostId()))
			.forEach((member) -> link.ask(member, message, timeoutMillis));
	}

	@Provides
	RequestQuarantine requestQuarantine(CrashQuarantine quarantine) {
		return quarantine;
	}

	@Provides
	@Singleton
	EvidenceCollector evidenceCollector(Clock clock, CrashQuarantine quarantine, AdaptiveLimits limits) {
		return new EvidenceCollector(clock, quarantine, limits::inFlight);
	}

	@Provides
	@Singleton
	OutcomeRecorder outcomeRecorder(CrashQuarantine quarantine, EvidenceCollector collector, LocalWeights weights,
			AdaptiveLimits limits) {
		return new CompositeOutcomeRecorder(quarantine, collector, weights, limits);
	}

	@Provides
	@Singleton
	HealthCoordinatorRegistry healthCoordinators(Clock clock, ConfigurationView view, HostAssignment hostAssignment,
			Member self, AtomicReference<TargetDirectory> directory, CurrencyRule currency, PeerLink link,
			PendingReportRequests pendingRequests) {
		return new HealthCoordinatorRegistry(view, hostAssignment, self,
				(service) -> new HealthCoordinator(service, clock, new PooledOutlierDetector(),
						() -> directory.get().targets(service), () -> view.current().service(service).capacityFloor(),
						() -> currency.check() instanceof CurrencyRule.Currency.Current),
				(service) -> {
					pendingRequests.add(service);
					sendToOtherMembers(new PeerMessage.ReportRequest(service), view, link, self,
							REPORT_REQUEST_TIMEOUT_MILLIS);
				});
	}

	@Provides
	@Singleton
	PendingReportRequests pendingReportRequests() {
		return new PendingReportRequests();
	}

	@Provides
	@Singleton
	HealthReporter healthReporter(Member self, ConfigurationView view, HostAssignment hostAssignment,
			AtomicReference<TargetDirectory> directory, EvidenceCollector collector, HealthView health,
			HealthCoordinatorRegistry coordinators, PeerLink link, PendingReportRequests pendingRequests) {
		return new HealthReporter(self, view, hostAssignment, directory, collector, health, coordinators, link,
				pendingRequests);
	}

	@Provides
	@Singleton
	TargetChooser targetChooser(Clock clock, AtomicReference<TargetDirectory> directory, ConfigurationView view,
			HealthView health, LocalWeights weights, AdaptiveLimits limits, EvidenceCollector collector,
			HostSettings settings) {
		return WeightedTwoChoiceChooser.builder(settings.region(), clock)
			.directory(directory)
			.view(view)
			.health(health)
			.localWeights(weights)
			.limits(limits)
			.observedLeaving(collector::observedLeaving)
			.build();
	}

	@Provides
	@Singleton
	AdmissionQueue admissionQueue(Clock clock, AtomicReference<TargetDirectory> directory, ConfigurationView view,
			HealthView health) {
		return new FairAdmissionQueue(clock, new SharedCapacityLimit(clock, directory, view, health));
	}

}
