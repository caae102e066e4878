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
 * What this host holds about the health of targets: an immutable snapshot that requests
 * load once, replaced as a whole when an answer to a report arrives.
 */
public final class HealthView {

	/** How long a leaving mark holds after the last sign. */
	public static final long LEAVING_MARK_MILLIS = 60_000;

	private final Clock clock;

	private final AtomicReference<Map<String, ServiceHealth>> services = new AtomicReference<>(Map.of());

	private final AtomicLong reports = new AtomicLong();

	/**
	 * Creates a view that holds nothing.
	 * @param clock the process clock
	 */
	public HealthView(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Notes that a report is about to be sent; to be called before
	 * {@link #ejections(String)} is read for that report. From then on, answers of other
	 * coordinators and to earlier reports are dropped, also if the earlier coordinator
	 * becomes the coordinator again: a new coordinator that has this host's report may
	 * rely on that this host accepts no further ejection from an earlier one.
	 * @param service the service's name
	 * @param coordinatorProcessId the process that the report goes to
	 * @return to be given to {@link #apply} with the answer
	 */
	public ReportTicket reporting(String service, String coordinatorProcessId) {
		ReportTicket ticket = new ReportTicket(service, coordinatorProcessId, this.reports.incrementAndGet(),
				this.clock.millis());
		update(service, (old) -> {
			boolean same = Objects.equals(old.coordinatorProcessId(), coordinatorProcessId);
			return new ServiceHealth(coordinatorProcessId, same ? old.appliedReport() : ticket.number() - 1,
					old.targets(), old.leavingUntil());
		});
		return ticket;
	}

	/**
	 * Puts the answer to a report in force, unless a newer one is in force or reports now
	 * go to another coordinator.
	 * @param ticket what {@link #reporting} returned for the report
	 * @param verdicts the answer
	 */
	public void apply(ReportTicket ticket, PeerMessage.Verdicts verdicts) {
		update(ticket.service(), (old) -> {
			boolean stale = !Objects.equals(old.coordinatorProcessId(), ticket.coordinatorProcessId())
					|| old.appliedReport() >= ticket.number();
			return stale ? old : replace(old, ticket, verdicts);
		});
	}

	private ServiceHealth replace(ServiceHealth old, ReportTicket ticket, PeerMessage.Verdicts verdicts) {
		long now = this.clock.millis();
		long expiry = ticket.sentMillis() + verdicts.lifetimeMillis();
		Map<String, TargetHealth> targets = new HashMap<>();
		for (PeerMessage.Verdict verdict : verdicts.verdicts()) {
			targets.put(verdict.targetId(),
					new TargetHealth(verdict.ejected(), verdict.requiredBudget(), weight(verdict.weight()),
							Math.max(0, verdict.load()), verdict.sickness(), verdict.reason(), expiry));
		}
		if (verdicts.settling()) {
			old.targets().forEach((id, health) -> {
				if (health.ejectedAt(now)) {
					targets.put(id, health);
				}
			});
		}
		Map<String, Long> leaving = new HashMap<>(old.leavingUntil());
		leaving.values().removeIf((until) -> until <= now);
		verdicts.leaving().forEach((id) -> leaving.put(id, now + LEAVING_MARK_MILLIS));
		return new ServiceHealth(ticket.coordinatorProcessId(), ticket.number(), Map.copyOf(targets),
				Map.copyOf(leaving));
	}

	private static double weight(double weight) {
		return (weight >= FloorGuard.LEAST_WEIGHT) ? Math.min(1, weight) : FloorGuard.LEAST_WEIGHT;
	}

	/**
	 * Returns what is held about a service; to be loaded once per request.
	 * @param service the service's name
	 * @return the immutable snapshot
	 */
	public ServiceHealth service(String service) {
		return this.services.get().getOrDefault(service, ServiceHealth.NONE);
	}

	/**
	 * Returns the targets that this host holds ejected now.
	 * @param service the service's name
	 * @return the ids
	 */
	public List<String> ejectedHeld(String service) {
		return ejections(service).stream().map(PeerMessage.HeldEjection::targetId).toList();
	}

	/**
	 * Returns the ejections that this host holds now, for a report.
	 * @param service the service's name
	 * @return the ejections, ordered by target
	 */
	public List<PeerMessage.HeldEjection> ejections(String service) {
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
	 * Identifies one report.
	 *
	 * @param service the service
	 * @param coordinatorProcessId the process that it goes to
	 * @param number rises with each report of this process
	 * @param sentMillis read before the report was sent
	 */
	public record ReportTicket(String service, String coordinatorProcessId, long number, long sentMillis) {
	}

	/**
	 * What is held about the targets of one service.
	 *
	 * @param coordinatorProcessId the process that reports go to
	 * @param appliedReport the number of the last report whose answer is not accepted any
	 * more: the one whose answer is in force, or the last one to an earlier coordinator
	 * @param targets by target id
	 * @param leavingUntil the end of each leaving mark by target id
	 */
	public record ServiceHealth(@Nullable String coordinatorProcessId, long appliedReport,
			Map<String, TargetHealth> targets, Map<String, Long> leavingUntil) {

		static final ServiceHealth NONE = new ServiceHealth(null, 0, Map.of(), Map.of());

		/**
		 * Returns what is held about a target.
		 * @param targetId the target
		 * @return its health; a healthy one if nothing is held
		 */
		public TargetHealth target(String targetId) {
			return this.targets.getOrDefault(targetId, TargetHealth.HEALTHY);
		}

		/**
		 * Returns whether a target is marked as leaving.
		 * @param targetId the target
		 * @param nowMillis the current reading of the process clock
		 * @return whether it gets no new work
		 */
		public boolean leaving(String targetId, long nowMillis) {
			Long until = this.leavingUntil.get(targetId);
			return until != null && nowMillis < until;
		}

	}

	/**
	 * What is held about one target.
	 *
	 * @param ejected whether it gets no work until the expiry
	 * @param requiredBudget the least ejection budget, in slots, with which this host
	 * keeps the ejection
	 * @param weight its weight, 0.1 to 1
	 * @param load requests in flight on it from all hosts
	 * @param sickness larger is worse
	 * @param reason the evidence, for operators; empty if there is none
	 * @param expiresMillis when the verdict ends, on the process clock
	 */
	public record TargetHealth(boolean ejected, int requiredBudget, double weight, int load, double sickness,
			String reason, long expiresMillis) {

		static final TargetHealth HEALTHY = new TargetHealth(false, 0, 1, 0, 0, "", Long.MAX_VALUE);

		/**
		 * Returns whether the target is ejected.
		 * @param nowMillis the current reading of the process clock
		 * @return whether an ejection is in force
		 */
		public boolean ejectedAt(long nowMillis) {
			return this.ejected && nowMillis < this.expiresMillis;
		}

		/**
		 * Returns the weight. An ejection that has expired leaves the slow-start weight,
		 * so that a target does not get its full share at once when a coordinator fails.
		 * @param nowMillis the current reading of the process clock
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
