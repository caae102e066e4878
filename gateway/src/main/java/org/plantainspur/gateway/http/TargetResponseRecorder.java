package org.plantainspur.gateway.http;

import io.netty.handler.codec.http.HttpResponse;

import org.plantainspur.core.target.AttemptOutcome;
import org.plantainspur.core.target.ObservedTarget;
import org.plantainspur.core.target.TargetStatement;

/**
 * Records what the responses of targets say of the targets: their load, their statements
 * and the pauses that they ask for.
 */
final class TargetResponseRecorder {

	private final ProxyComponents components;

	private final TargetMessageMapper mapper;

	TargetResponseRecorder(ProxyComponents components, TargetMessageMapper mapper) {
		this.components = components;
		this.mapper = mapper;
	}

	/**
	 * Records a response.
	 * @param target the target that sent it
	 * @param response the status line and headers
	 * @param outcome the outcome of the attempt
	 */
	void record(ObservedTarget target, HttpResponse response, AttemptOutcome outcome) {
		this.mapper.recordLoad(response, target, this.components.clock().millis());
		boolean declined = outcome instanceof AttemptOutcome.Declined decline && !decline.otherTarget();
		// A response that is damaged or comes from another process says nothing of the
		// target.
		if (!declined && !(outcome instanceof AttemptOutcome.Answered)) {
			return;
		}
		TargetStatement statement = this.mapper.toStatement(response);
		if (statement == null) {
			reportInvalidStatement(target, response);
		}
		else if (this.components.targetStatements().record(target.incarnation(), statement)) {
			this.components.targetHealthListener().targetStatementChanged();
		}
		if (declined) {
			recordPause(target, response);
		}
	}

	private void recordPause(ObservedTarget target, HttpResponse response) {
		Long pauseMs = this.mapper.toPauseMs(response);
		if (pauseMs == null) {
			reportInvalidStatement(target, response);
		}
		else if (pauseMs > 0) {
			this.components.targetStatements().pause(target.incarnation(), pauseMs);
			this.components.metrics().count("target_pauses_total", target.listing().service());
			this.components.log().event("target-paused", "id", target.listing().id(), "pauseMs", pauseMs);
		}
	}

	private void reportInvalidStatement(ObservedTarget target, HttpResponse response) {
		this.components.metrics().count("target_statements_invalid_total", target.listing().service());
		this.components.log()
			.event("target-statement-invalid", "id", target.listing().id(), "headers",
					this.mapper.describeStatement(response));
	}

}
