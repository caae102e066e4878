package org.plantainspur.core.health;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * The verdicts that this host holds: an immutable snapshot that each request loads once
 * and that is replaced as a whole when the answer to a report arrives.
 */
public final class HealthView {

	/** How long a target counts as leaving after the last announcement. */
	public static final long LEAVING_MARK_MILLIS = 60_000;

	private final Clock clock;

	private final AtomicReference<Map<String, ServiceHealth>> services = new AtomicReference<>(Map.of());

	private final AtomicLong lastReportNumber = new AtomicLong();

	/**
	 * Creates a view without verdicts.
	 * @param clock the process clock
	 */
	public HealthView(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Starts a report; to be called before {@link #heldEjections(String)} is read for
	 * that report. From then on, answers of other coordinators and to earlier reports are
	 * dropped, even if the earlier coordinator becomes the coordinator again: a new
	 * coordinator that has received this host's report relies on this host accepting no
	 * further ejection from an earlier one.
	 * @param service the service's name
	 * @param coordinatorProcessId the id of the process that the report is sent to
	 * @return the report's identity, to be passed to {@link #apply} with the answer
	 */
	public SentReport beginReport(String service, String coordinatorProcessId) {
		SentReport sentReport = new SentReport(service, coordinatorProcessId, this.lastReportNumber.incrementAndGet(),
				this.clock.millis());
		update(service, (previous) -> {
			boolean sameCoordinator = Objects.equals(previous.coordinatorProcessId(), coordinatorProcessId);
			return new ServiceHealth(coordinatorProcessId,
					sameCoordinator ? previous.appliedReport() : sentReport.number() - 1, previous.targets(),
					previous.leavingUntil());
		});
		return sentReport;
	}

	/**
	 * Applies the answer to a report, unless a newer answer has been applied or reports
	 * now go to another coordinator.
	 * @param sentReport what {@link #beginReport} returned for the report
	 * @param verdicts the coordinator's answer
	 */
	public void apply(SentReport sentReport, PeerMessage.Verdicts verdicts) {
		update(sentReport.service(), (previous) -> {
			boolean outdated = !Objects.equals(previous.coordinatorProcessId(), sentReport.coordinatorProcessId())
					|| previous.appliedReport() >= sentReport.number();
			return outdated ? previous : withVerdicts(previous, sentReport, verdicts);
		});
	}

	private ServiceHealth withVerdicts(ServiceHealth previous, SentReport sentReport, PeerMessage.Verdicts verdicts) {
		long now = this.clock.millis();
		long expiry = sentReport.sentMillis() + verdicts.lifetimeMillis();
		Map<String, TargetHealth> targets = new HashMap<>();
		for (PeerMessage.Verdict verdict : verdicts.verdicts()) {
			targets.put(verdict.targetId(),
					new TargetHealth(verdict.ejected(), verdict.requiredBudget(), weight(verdict.weight()),
							Math.max(0, verdict.load()), verdict.sickness(), verdict.reason(), expiry));
		}
		if (verdicts.settling()) {
			previous.targets().forEach((id, health) -> {
				if (health.ejectedAt(now)) {
					targets.put(id, health);
				}
			});
		}
		Map<String, Long> leaving = new HashMap<>(previous.leavingUntil());
		leaving.values().removeIf((until) -> until <= now);
		verdicts.leaving().forEach((id) -> leaving.put(id, now + LEAVING_MARK_MILLIS));
		return new ServiceHealth(sentReport.coordinatorProcessId(), sentReport.number(), Map.copyOf(targets),
				Map.copyOf(leaving));
	}

	// Limits a reported weight to the valid range; NaN becomes the minimum.
	private static double weight(double weight) {
		return (weight >= CapacityFloor.MIN_WEIGHT) ? Math.min(1, weight) : CapacityFloor.MIN_WEIGHT;
	}

	/**
	 * Returns the verdicts on a service; to be loaded once per request.
	 * @param service the service's name
	 * @return the immutable snapshot
	 */
	public ServiceHealth service(String service) {
		return this.services.get().getOrDefault(service, ServiceHealth.NONE);
	}

	/**
	 * Returns the targets whose ejection is in force at this host.
	 * @param service the service's name
	 * @return the targets' ids, in ascending order
	 */
	public List<String> ejectedTargetIds(String service) {
		return heldEjections(service).stream().map(PeerMessage.HeldEjection::targetId).toList();
	}

	/**
	 * Returns the ejections in force at this host, for a report.
	 * @param service the service's name
	 * @return the ejections, ordered by target id
	 */
	public List<PeerMessage.HeldEjection> heldEjections(String service) {
		long now = this.clock.millis();
		return service(service).targets()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().ejectedAt(now))
			.map((entry) -> new PeerMessage.HeldEjection(entry.getKey(), entry.getValue().requiredBudget()))
			.sorted(Comparator.comparing(PeerMessage.HeldEjection::targetId))
			.toList();
	}

	private void update(String service, UnaryOperator<ServiceHealth> change) {
		this.services.updateAndGet((all) -> {
			Map<String, ServiceHealth> copy = new HashMap<>(all);
			copy.put(service, change.apply(all.getOrDefault(service, ServiceHealth.NONE)));
			return Map.copyOf(copy);
		});
	}

	/**
	 * Identifies one report that was sent to a coordinator.
	 *
	 * @param service the service's name
	 * @param coordinatorProcessId the id of the process that the report was sent to
	 * @param number increases with each report of this process
	 * @param sentMillis the reading of the process clock before the report was sent, in
	 * milliseconds
	 */
	public record SentReport(String service, String coordinatorProcessId, long number, long sentMillis) {
	}

	/**
	 * The verdicts on the targets of one service.
	 *
	 * @param coordinatorProcessId the id of the process that reports are sent to
	 * @param appliedReport the number of the last report whose answer is no longer
	 * accepted: the one whose answer was applied, or the last one to an earlier
	 * coordinator
	 * @param targets the verdicts by target id
	 * @param leavingUntil the time by target id until which a target counts as leaving,
	 * in milliseconds of the process clock
	 */
	public record ServiceHealth(@Nullable String coordinatorProcessId, long appliedReport,
			Map<String, TargetHealth> targets, Map<String, Long> leavingUntil) {

		static final ServiceHealth NONE = new ServiceHealth(null, 0, Map.of(), Map.of());

		/**
		 * Returns the verdict on a target.
		 * @param targetId the target's id
		 * @return the verdict; a healthy one if there is none
		 */
		public TargetHealth target(String targetId) {
			return this.targets.getOrDefault(targetId, TargetHealth.HEALTHY);
		}

		/**
		 * Returns whether a target counts as leaving.
		 * @param targetId the target's id
		 * @param nowMillis the current reading of the process clock in milliseconds
		 * @return whether the target receives no new requests
		 */
		public boolean leaving(String targetId, long nowMillis) {
			Long until = this.leavingUntil.get(targetId);
			return until != null && nowMillis < until;
		}

	}

	/**
	 * The verdict on one target.
	 *
	 * @param ejected whether the target receives no requests until the verdict expires
	 * @param requiredBudget the smallest ejection budget, in slots, with which this host
	 * applies the ejection
	 * @param weight the target's weight, 0.1 to 1
	 * @param load the number of requests in flight on it from all hosts
	 * @param severity the strength of the evidence against the target; higher is worse
	 * @param reason the evidence in words, for operators; empty if there is none
	 * @param expiresMillis when the verdict expires, in milliseconds of the process clock
	 */
	public record TargetHealth(boolean ejected, int requiredBudget, double weight, int load, double severity,
			String reason, long expiresMillis) {

		static final TargetHealth HEALTHY = new TargetHealth(false, 0, 1, 0, 0, "", Long.MAX_VALUE);

		/**
		 * Returns whether the target is ejected at a given time.
		 * @param nowMillis the current reading of the process clock in milliseconds
		 * @return whether an ejection is in force
		 */
		public boolean ejectedAt(long nowMillis) {
			return this.ejected && nowMillis < this.expiresMillis;
		}

		/**
		 * Returns the weight at a given time. After an ejection has expired it is at most
		 * the slow-start weight, so that a target does not receive its full load at once
		 * when a coordinator fails.
		 * @param nowMillis the current reading of the process clock in milliseconds
		 * @return the weight, 0.1 to 1
		 */
		public double weightAt(long nowMillis) {
			return (this.ejected || nowMillis >= this.expiresMillis) ? Math.min(this.weight, expiredWeight(nowMillis))
					: this.weight;
		}

		private double expiredWeight(long nowMillis) {
			return this.ejected ? SlowStart.weight(nowMillis - this.expiresMillis) : 1;
		}

	}

}
