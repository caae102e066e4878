package org.plantainspur.standins.load;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * What came of one sending, as a caller sees it.
 */
sealed interface Outcome {

	/**
	 * Reads a reply.
	 * @param reply the reply
	 * @return the outcome
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
			return problem(received);
		}
		return new Answered(received.status());
	}

	private static Outcome problem(HttpSender.Reply.Received received) {
		try {
			JsonNode problem = new ObjectMapper().readTree(received.body());
			return new Refused(problem.path("code").asText("no-code"), problem.path("run").asText("unknown"));
		}
		catch (IOException ex) {
			return new Refused("malformed-problem", "unknown");
		}
	}

	/**
	 * Returns whether the request may have run without an answer.
	 * @return whether only the same idempotency key may be used to send it again
	 */
	default boolean isUnknown() {
		return false;
	}

	/**
	 * Returns whether no connection could be made.
	 * @return whether nothing was sent
	 */
	default boolean isNotSent() {
		return false;
	}

	/**
	 * The target's answer.
	 *
	 * @param status the status
	 */
	record Answered(int status) implements Outcome {
	}

	/**
	 * A refusal.
	 *
	 * @param code the problem's code
	 * @param run {@code not-run} or {@code unknown}
	 */
	record Refused(String code, String run) implements Outcome {

		@Override
		public boolean isUnknown() {
			return !this.run.equals("not-run");
		}

	}

	/**
	 * No answer.
	 *
	 * @param kind the kind of failure
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
