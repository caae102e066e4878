package org.plantainspur.standins.load;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The outcome of one attempt to send a request, as its caller sees it.
 */
sealed interface Outcome {

	/**
	 * Classifies a reply.
	 * @param reply the response or the failure
	 * @return whether the request was answered, was refused or failed
	 */
	static Outcome of(HttpSender.Reply reply) {
		if (reply instanceof HttpSender.Reply.Failed failed) {
			return new Failed(failed.kind(), failed.sent());
		}
		HttpSender.Reply.Received received = (HttpSender.Reply.Received) reply;
		if (received.notRun()) {
			return new Refused("target-refused", "not-run");
		}
		if (received.contentType().startsWith("application/problem+json")) {
			return parseProblem(received);
		}
		return new Answered(received.status());
	}

	private static Outcome parseProblem(HttpSender.Reply.Received received) {
		try {
			JsonNode problem = new ObjectMapper().readTree(received.body());
			return new Refused(problem.path("code").asText("no-code"), problem.path("run").asText("unknown"));
		}
		catch (IOException ex) {
			return new Refused("malformed-problem", "unknown");
		}
	}

	/**
	 * Returns whether the request may have run although no target response arrived.
	 * @return {@code true} if it may be sent again only with the same idempotency key
	 */
	default boolean isUnknown() {
		return false;
	}

	/**
	 * Returns whether no connection could be made.
	 * @return {@code true} if nothing of the request was sent
	 */
	default boolean isNotSent() {
		return false;
	}

	/**
	 * A response that is not a refusal.
	 *
	 * @param status the HTTP status code
	 */
	record Answered(int status) implements Outcome {
	}

	/**
	 * A refusal by a host or a target.
	 *
	 * @param code the problem code, or {@code target-refused}
	 * @param run {@code not-run} or {@code unknown}
	 */
	record Refused(String code, String run) implements Outcome {

		@Override
		public boolean isUnknown() {
			return !this.run.equals("not-run");
		}

	}

	/**
	 * No response.
	 *
	 * @param kind the kind of failure, as in the report
	 * @param sent whether the request may have been sent
	 */
	record Failed(String kind, boolean sent) implements Outcome {

		@Override
		public boolean isUnknown() {
			return this.sent;
		}

		@Override
		public boolean isNotSent() {
			return !this.sent;
		}

	}

}
