package org.plantainspur.core.health;

import java.util.Collection;
import java.util.Set;

import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;

/**
 * Judges the targets of one service on the evidence of all hosts. It decides who is sick,
 * never who is ejected. Not thread-safe: its coordinator calls it under a lock.
 */
public interface HealthJudge {

	/**
	 * Takes the outcomes of one target at one host.
	 * @param observation the outcomes
	 */
	void observe(Observation observation);

	/**
	 * Judges a target on the evidence so far.
	 * @param targetId the target
	 * @return the judgement
	 */
	Assessment assess(String targetId);

	/**
	 * Returns whether further evidence on a target that is not sick should be collected
	 * at once.
	 * @param targetId the target
	 * @return whether it may soon be found sick
	 */
	default boolean suspects(String targetId) {
		return false;
	}

	/**
	 * Notes that a target gets work again after an ejection.
	 * @param targetId the target
	 */
	void readmitted(String targetId);

	/**
	 * Forgets all targets but the given ones.
	 * @param targetIds the targets to keep
	 */
	void retain(Collection<String> targetIds);

	/**
	 * The outcomes of one target at one host since the last ones.
	 *
	 * @param target the target
	 * @param reporter the process that saw the outcomes
	 * @param group the reporter's failure domain
	 * @param evidence the outcomes
	 * @param cold whether the target is new or back, so that slowness says nothing yet
	 * @param nowMillis the current reading of the process clock
	 */
	record Observation(Target target, String reporter, String group, PeerMessage.TargetEvidence evidence, boolean cold,
			long nowMillis) {
	}

	/**
	 * What is thought of a target.
	 *
	 * @param sick whether it should be ejected
	 * @param sickness larger is worse
	 * @param avoidedBy the groups that should avoid it though it is not sick, since only
	 * their path to it fails
	 * @param reason the evidence, for operators
	 */
	record Assessment(boolean sick, double sickness, Set<String> avoidedBy, String reason) {

		/** Nothing speaks against the target. */
		public static final Assessment HEALTHY = new Assessment(false, 0, Set.of(), "");

	}

}
