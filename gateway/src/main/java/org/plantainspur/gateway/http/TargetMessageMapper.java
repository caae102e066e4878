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
import org.plantainspur.core.target.TargetStatement;

/**
 * Translates between the HTTP messages of targets and the types of the core.
 */
final class TargetMessageMapper {

	private static final int STATUS_MISDIRECTED = 421;

	private static final int STATUS_UNAVAILABLE = 503;

	private static final double MS_PER_SECOND = 1_000;

	private static final String DECIMAL_NUMBER = "\\d{1,9}(\\.\\d{1,9})?";

	/**
	 * The longest pause. A target that asks for a longer one is asked again after it, so
	 * that an absurd value does not take it out of use until its next start.
	 */
	private static final long MAX_PAUSE_MS = 300_000;

	private static final int FIRST_REDIRECT_STATUS = 300;

	private static final int FIRST_SERVER_ERROR_STATUS = 500;

	private final HeaderNames headerNames;

	TargetMessageMapper(HeaderNames headerNames) {
		this.headerNames = headerNames;
	}

	/**
	 * Converts a caller's request to the request that a target gets: with the client
	 * account in place of the API key, and with the identity of the only target that may
	 * run it.
	 * @param from the request of the caller
	 * @param account the client account, {@code null} on a route that is open to all
	 * @param targetId the identity of the target
	 * @param remainingMs how long the target may work, in milliseconds
	 * @return a copy that shares the caller's body and holds a reference to it
	 */
	FullHttpRequest toTargetRequest(FullHttpRequest from, @Nullable AccountRule account, String targetId,
			long remainingMs) {
		FullHttpRequest to = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(),
				from.content().retainedDuplicate());
		HttpHeaders headers = to.headers();
		copyHeaders(from, headers, remainingMs);
		headers.remove(this.headerNames.account());
		if (account != null) {
			headers.set(this.headerNames.account(), account.name());
		}
		headers.set(this.headerNames.expectedTarget(), targetId);
		return to;
	}

	/**
	 * Converts a request that another host has sent to be relayed to the request that the
	 * target gets. The other host has set the client account and the identity of the
	 * target.
	 * @param from the request of the other host
	 * @param remainingMs how long the target may work, in milliseconds
	 * @return a copy that shares the request's body and holds a reference to it
	 */
	FullHttpRequest toRelayedRequest(FullHttpRequest from, long remainingMs) {
		FullHttpRequest to = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(),
				from.content().retainedDuplicate());
		copyHeaders(from, to.headers(), remainingMs);
		RelayHeaders.removeAll(to.headers());
		return to;
	}

	private void copyHeaders(FullHttpRequest from, HttpHeaders headers, long remainingMs) {
		HopByHopHeaders.copyEndToEnd(from.headers(), headers);
		headers.remove(HttpHeaderNames.AUTHORIZATION);
		headers.set(this.headerNames.deadlineMs(), Math.max(1, remainingMs));
		if (from.content().isReadable() || from.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
				|| from.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, from.content().readableBytes());
		}
	}

	/**
	 * Derives the outcome of an attempt from a complete response.
	 * @param response the target's status line and headers
	 * @return the outcome of the attempt
	 */
	AttemptOutcome toOutcome(HttpResponse response) {
		int status = response.status().code();
		if (response.headers().contains(this.headerNames.notRun()) || status == STATUS_MISDIRECTED) {
			return new AttemptOutcome.Declined(status, status == STATUS_MISDIRECTED);
		}
		boolean signed = response.headers().contains(this.headerNames.signature());
		boolean claimsNotRun = status == 503 || status == 429 || status == 408;
		if ((status < FIRST_REDIRECT_STATUS && !signed) || claimsNotRun) {
			// The status alone would tell the caller that the request succeeded or did
			// not run, and the target has confirmed neither.
			return new AttemptOutcome.Broken("status " + status + " without the header that confirms it");
		}
		String encoding = response.headers().get(HttpHeaderNames.CONTENT_ENCODING);
		if (encoding != null && !encoding.equalsIgnoreCase("identity")) {
			// Callers ask for bodies without an encoding, so these are other bytes than
			// the target's.
			return new AttemptOutcome.Broken("the body has the content encoding " + encoding);
		}
		return new AttemptOutcome.Answered(status, status < FIRST_SERVER_ERROR_STATUS);
	}

	/**
	 * Reads what a target says of itself in a response.
	 * @param response the target's status line and headers
	 * @return the statement, or {@code null} if a header of it is malformed and the
	 * target is not leaving
	 */
	@Nullable TargetStatement toStatement(HttpResponse response) {
		String limit = response.headers().get(this.headerNames.limit(), "");
		String leaving = response.headers().get(this.headerNames.leaving(), "");
		boolean limited = limit.matches(DECIMAL_NUMBER);
		double requestsPerSecond = limited ? Double.parseDouble(limit) : TargetStatement.UNLIMITED;
		if (leaving.equals("1")) {
			return new TargetStatement(requestsPerSecond, true);
		}
		boolean valid = leaving.isEmpty() && (limited || limit.isEmpty());
		return valid ? new TargetStatement(requestsPerSecond, false) : null;
	}

	/**
	 * Returns the headers of a statement as the target sent them, for the log.
	 * @param response the target's status line and headers
	 * @return the values of the headers for the limit, leaving and the pause
	 */
	String describeStatement(HttpResponse response) {
		return this.headerNames.limit() + ": " + response.headers().get(this.headerNames.limit(), "") + ", "
				+ this.headerNames.leaving() + ": " + response.headers().get(this.headerNames.leaving(), "") + ", "
				+ HttpHeaderNames.RETRY_AFTER + ": " + response.headers().get(HttpHeaderNames.RETRY_AFTER, "");
	}

	/**
	 * Reads the pause that a target asks for when it turns a request away.
	 * @param response the target's status line and headers
	 * @return the pause in milliseconds, 0 if it asks for none, or {@code null} if the
	 * header is malformed
	 */
	@Nullable Long toPauseMs(HttpResponse response) {
		String retryAfter = response.headers().get(HttpHeaderNames.RETRY_AFTER);
		if (retryAfter == null || response.status().code() != STATUS_UNAVAILABLE) {
			return 0L;
		}
		return retryAfter.matches(DECIMAL_NUMBER)
				? Math.min(MAX_PAUSE_MS, Math.round(Double.parseDouble(retryAfter) * MS_PER_SECOND)) : null;
	}

	/**
	 * Records the load that a target reports in a response, if it reports any.
	 * @param response the target's status line and headers
	 * @param target the target that sent it
	 * @param nowMs the reading of the host's clock, in milliseconds
	 */
	void recordLoad(HttpResponse response, ObservedTarget target, long nowMs) {
		String load = response.headers().get(this.headerNames.load());
		if (load != null && load.matches("\\d{1,6},\\d{1,6},\\d{1,6}")) {
			String[] numbers = load.split(",");
			target.recordLoad(Integer.parseInt(numbers[0]), Integer.parseInt(numbers[1]), nowMs);
		}
	}

}
