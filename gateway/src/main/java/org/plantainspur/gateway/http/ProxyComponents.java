package org.plantainspur.gateway.http;

import org.plantainspur.core.desired.DesiredStateView;
import org.plantainspur.core.health.SequentialCrashQuarantine;
import org.plantainspur.core.log.DecisionLog;
import org.plantainspur.core.proxy.AdmissionControl;
import org.plantainspur.core.proxy.BufferBudget;
import org.plantainspur.core.proxy.RetryBudget;
import org.plantainspur.core.proxy.RetryRules;
import org.plantainspur.core.target.AttemptRecorder;
import org.plantainspur.core.target.ObservedTarget;
import org.plantainspur.core.target.TargetPermits;
import org.plantainspur.core.target.TargetSelector;
import org.plantainspur.core.target.TargetStatements;
import org.plantainspur.core.time.Clock;
import org.plantainspur.gateway.log.FailureReporter;
import org.plantainspur.gateway.log.GatewayMetrics;

/**
 * The objects that all requests of a host use.
 *
 * @param clock the host's clock
 * @param headerNames the names of the deployment's headers
 * @param startupLatch opens when the host knows the desired state and the targets
 * @param desiredState holds the desired state in force
 * @param admission decides whether a request may run
 * @param targetSelector selects the target of an attempt
 * @param attemptRecorder records the outcomes of attempts
 * @param targetStatements holds what targets say of themselves
 * @param targetPermits tells when targets that name limits take requests again
 * @param paths what is known of the paths to targets
 * @param quarantine tells which requests have crashed targets
 * @param retryRules decides what follows an attempt
 * @param retryBudget limits the attempts beyond the first
 * @param targetHealthListener told of failed and recovered targets, for the other hosts
 * @param shutdown tells whether the host is stopping
 * @param bufferBudget limits the memory for bodies
 * @param failures told of unexpected exceptions
 * @param log receives a line for each request
 * @param metrics counts requests and measures their latency
 */
public record ProxyComponents(Clock clock, HeaderNames headerNames, StartupLatch startupLatch,
		DesiredStateView desiredState, AdmissionControl admission, TargetSelector targetSelector,
		AttemptRecorder attemptRecorder, TargetStatements targetStatements, TargetPermits targetPermits,
		PathComponents paths, SequentialCrashQuarantine quarantine, RetryRules retryRules, RetryBudget retryBudget,
		TargetHealthListener targetHealthListener, ShutdownState shutdown, BufferBudget bufferBudget,
		FailureReporter failures, DecisionLog log, GatewayMetrics metrics) {

	/**
	 * Told of changes in the health of targets that other hosts should know of.
	 */
	public interface TargetHealthListener {

		/**
		 * Called when an attempt at a target has failed or takes much too long.
		 * @param target the target of the attempt
		 */
		void targetFailed(ObservedTarget target);

		/**
		 * Called when a target that was suspected to be unhealthy has answered
		 * successfully.
		 * @param target the target that answered
		 */
		void targetRecovered(ObservedTarget target);

		/**
		 * Called when a target has said something else of itself than before.
		 */
		void targetStatementChanged();

	}

	/**
	 * The progress of the host's graceful stop.
	 */
	public interface ShutdownState {

		/**
		 * Returns whether the host is stopping: each response closes its connection, so
		 * that callers connect to another host.
		 * @return {@code true} once the host is stopping
		 */
		boolean stopping();

		/**
		 * Returns whether new requests are refused, since they might still run when the
		 * process is killed.
		 * @return {@code true} in the last part of the stop
		 */
		boolean refusingRequests();

	}

}
