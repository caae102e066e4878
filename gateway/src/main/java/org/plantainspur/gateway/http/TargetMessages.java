package org.plantainspur.gateway.http;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.desired.AccountRule;
import org.plantainspur.core.target.AttemptOutcome;
import org.plantainspur.core.target.ObservedTarget;

/**
 * Translates between the messages of targets and the core's types.
 */
final class TargetMessages {

	private static final int MISDIRECTED = 421;

	private static final int FIRST_REDIRECT = 300;

	private static final int FIRST_SERVER_ERROR = 500;

	private final HeaderNames names;

	TargetMessages(HeaderNames names) {
		this.names = names;
	}

	/**
	 * Returns the request as a target gets it: without the key, for the account that
	 * holds it, and only for the target that is meant.
	 * @param from the request of the caller
	 * @param account the account, {@code null} on an open route
	 * @param target the identity of the target
	 * @param leftMs how long the target may work, in milliseconds
	 * @return a copy that shares the body
	 */
	FullHttpRequest request(FullHttpRequest from, @Nullable AccountRule account, String target, long leftMs) {
		FullHttpRequest to = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(),
				from.content().retainedDuplicate());
		HttpHeaders headers = to.headers();
		HopHeaders.copy(from.headers(), headers);
		headers.remove(HttpHeaderNames.AUTHORIZATION);
		headers.remove(this.names.account());
		if (account != null) {
			headers.set(this.names.account(), account.name());
		}
		headers.set(this.names.deadlineMs(), Math.max(1, leftMs));
		headers.set(this.names.expectedTarget(), target);
		if (from.content().isReadable() || from.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
				|| from.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, from.content().readableBytes());
		}
		return to;
	}

	/**
	 * Returns what a complete answer means.
	 * @param answer the answer
	 * @return the outcome of the attempt
	 */
	AttemptOutcome outcome(HttpResponse answer) {
		int status = answer.status().code();
		if (answer.headers().contains(this.names.notRun()) || status == MISDIRECTED) {
			return new AttemptOutcome.Declined(status, status == MISDIRECTED);
		}
		boolean signed = answer.headers().contains(this.names.signature());
		boolean promisesNotRun = status == 503 || status == 429 || status == 408;
		if ((status < FIRST_REDIRECT && !signed) || promisesNotRun) {
			// Passed on, these would say what the target did not: that it ran the request
			// to a good end, or that it did not run it.
			return new AttemptOutcome.Incomplete("status " + status + " without a statement");
		}
		return new AttemptOutcome.Answered(status, status < FIRST_SERVER_ERROR);
	}

	/**
	 * Takes what an answer says of the target's load, if it says anything.
	 * @param answer the answer
	 * @param target the target
	 * @param nowMs the reading of the clock
	 */
	void readLoad(HttpResponse answer, ObservedTarget target, long nowMs) {
		String load = answer.headers().get(this.names.load());
		if (load != null && load.matches("\\d{1,6},\\d{1,6},\\d{1,6}")) {
			String[] numbers = load.split(",");
			target.recordLoad(Integer.parseInt(numbers[0]), Integer.parseInt(numbers[1]), nowMs);
		}
	}

}
