package org.plantainspur.core.health;

import java.util.Collection;
import java.util.Set;

import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;

/**
 * Detects which targets of one service are unhealthy, from the evidence of all hosts. The
 * {@link HealthCoordinator} decides which of them are ejected. Implementations are not
 * thread-safe; the coordinator calls them under a lock.
 */
public interface OutlierDetector {

	/**
	 * Adds the outcomes that one host has reported for one target.
	 * @param observation the outcomes since the host's previous report
	 */
	void observe(Observation observation);

	/**
	 * Assesses a target on all evidence received so far.
	 * @param targetId the target's id
	 * @return the current assessment; {@link Assessment#HEALTHY} for a target without
	 * evidence against it
	 */
	Assessment assess(String targetId);

	/**
	 * Returns whether a target that is not unhealthy yet is close enough to the threshold
	 * that the members should report at once instead of at their next interval.
	 * @param targetId the target's id
	 * @return whether little further evidence would make the target unhealthy
	 */
	default boolean nearThreshold(String targetId) {
		return false;
	}

	/**
	 * Resets the evidence on a target when its ejection has ended and it receives
	 * requests again.
	 * @param targetId the target's id
	 */
	void readmitted(String targetId);

	/**
	 * Removes the evidence on all targets except the given ones.
	 * @param targetIds the ids of the targets to keep
	 */
	void retain(Collection<String> targetIds);

	/**
	 * The outcomes of one target that one host has counted since its previous report.
	 *
	 * @param target the target
	 * @param reporterProcessId the id of the process that reports the outcomes
	 * @param reporterDomain the reporter's failure domain
	 * @param evidence the reported outcomes
	 * @param warmingUp whether the target is new or readmitted and warms up, so that slow
	 * answers are not evidence against it
	 * @param nowMillis the current reading of the process clock in milliseconds
	 */
	record Observation(Target target, String reporterProcessId, String reporterDomain,
			PeerMessage.TargetEvidence evidence, boolean warmingUp, long nowMillis) {
	}

	/**
	 * The result of assessing one target.
	 *
	 * @param unhealthy whether the target should be ejected
	 * @param severity the strength of the evidence against the target; higher is worse
	 * @param avoidedBy the failure domains whose hosts should avoid the target although
	 * it is not unhealthy, since only their network path to it fails
	 * @param reason the evidence in words, for operators; empty if there is none
	 */
	record Assessment(boolean unhealthy, double severity, Set<String> avoidedBy, String reason) {

		/** The assessment of a target without evidence against it. */
		public static final Assessment HEALTHY = new Assessment(false, 0, Set.of(), "");

	}

}
