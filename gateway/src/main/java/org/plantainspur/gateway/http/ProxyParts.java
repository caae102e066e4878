package org.plantainspur.gateway.http;

import org.plantainspur.core.desired.DesiredStateView;
import org.plantainspur.core.log.DecisionLog;
import org.plantainspur.core.proxy.AdmissionControl;
import org.plantainspur.core.proxy.RetryBudget;
import org.plantainspur.core.proxy.RetryRules;
import org.plantainspur.core.target.AttemptRecorder;
import org.plantainspur.core.target.ObservedTarget;
import org.plantainspur.core.target.TargetSelector;
import org.plantainspur.core.time.Clock;
import org.plantainspur.gateway.log.GatewayMetrics;

/**
 * What all requests of a host share.
 *
 * @param clock the host's clock
 * @param headers the deployment's headers
 * @param gate opens when the host knows the desired state and the targets
 * @param desired the desired state
 * @param admission decides whether a request may run
 * @param chooser chooses the target of an attempt
 * @param results takes the results of attempts
 * @param rules decides what follows an attempt
 * @param budget counts the attempts beyond the first
 * @param news told of what other hosts should know of targets
 * @param stopping whether the host is stopping
 * @param log takes a line for each request
 * @param metrics counts requests
 */
public record ProxyParts(Clock clock, HeaderNames headers, StartGate gate, DesiredStateView desired,
		AdmissionControl admission, TargetSelector chooser, AttemptRecorder results, RetryRules rules,
		RetryBudget budget, TargetNews news, StopState stopping, DecisionLog log, GatewayMetrics metrics) {

	/**
	 * Told of what this host sees of targets that other hosts should know.
	 */
	public interface TargetNews {

		/**
		 * A target has failed.
		 * @param target the target
		 */
		void failed(ObservedTarget target);

		/**
		 * A target that was not known to be well has answered well.
		 * @param target the target
		 */
		void sound(ObservedTarget target);

	}

	/**
	 * Whether the host is stopping.
	 */
	public interface StopState {

		/**
		 * Returns whether callers are asked to go elsewhere.
		 * @return {@code true} once the host is stopping
		 */
		boolean stopping();

		/**
		 * Returns whether new requests are refused, since they could not end in time.
		 * @return {@code true} in the last part of the stop
		 */
		boolean refusing();

	}

}
