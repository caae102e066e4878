package org.plantainspur.benchmarks.scenario;

import java.util.function.Consumer;

import org.plantainspur.core.health.CompositeOutcomeRecorder;
import org.plantainspur.core.health.CrashQuarantine;
import org.plantainspur.core.health.EvidenceCollector;
import org.plantainspur.core.health.HealthView;
import org.plantainspur.core.health.LocalWeights;
import org.plantainspur.core.health.OutcomeRecorder;
import org.plantainspur.core.health.PendingReportRequests;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * The decision objects of one simulated host that observe and eject targets.
 */
final class ReplayHost {

	final int number;

	final CrashQuarantine quarantine;

	final EvidenceCollector collector;

	final LocalWeights weights;

	final HealthView view;

	final OutcomeRecorder recorder;

	final PendingReportRequests requestedReports = new PendingReportRequests();

	ReplayHost(int number, Clock clock, Consumer<PeerMessage.Suspect> crashListener) {
		this.number = number;
		this.quarantine = new CrashQuarantine(clock, crashListener);
		this.collector = new EvidenceCollector(clock, this.quarantine, (id) -> 0);
		this.weights = new LocalWeights(clock);
		this.view = new HealthView(clock);
		this.recorder = new CompositeOutcomeRecorder(this.quarantine, this.weights, this.collector);
	}

	PeerMessage.Report report(String service) {
		return new PeerMessage.Report("h" + this.number, "p" + this.number, 1, service, this.collector.drain(service),
				this.view.heldEjections(service));
	}

}
