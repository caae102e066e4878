package org.plantainspur.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.proxy.Refusal;

/**
 * Translates between the messages of one caller's request and the core's types.
 */
final class CallerMessages {

	/** Callers that state no deadline. */
	private static final long DEFAULT_DEADLINE_MS = 30_000;

	private static final double THOUSAND = 1_000;

	private final HeaderNames names;

	private final FullHttpRequest request;

	CallerMessages(HeaderNames names, FullHttpRequest request) {
		this.names = names;
		this.request = request;
	}

	/**
	 * Returns the caller's identity of the request.
	 * @return the identity, empty if the caller gave none
	 */
	String requestId() {
		return this.request.headers().get(this.names.requestId(), "");
	}

	/**
	 * Returns the key of the request.
	 * @return the key, or {@code null} if the request carries none
	 */
	@Nullable String key() {
		String value = this.request.headers().get(HttpHeaderNames.AUTHORIZATION);
		String scheme = this.names.keyScheme() + " ";
		boolean keyed = value != null && value.regionMatches(true, 0, scheme, 0, scheme.length());
		return (value != null && keyed) ? value.substring(scheme.length()).trim() : null;
	}

	/**
	 * Returns how long the caller waits.
	 * @return the time in milliseconds
	 */
	long deadlineMs() {
		String stated = this.request.headers().get(this.names.deadlineMs());
		if (stated == null || !stated.matches("\\d{1,9}")) {
			return DEFAULT_DEADLINE_MS;
		}
		return Long.parseLong(stated);
	}

	/**
	 * Returns a target's answer as the caller gets it.
	 * @param from the head of the target's answer
	 * @param body the whole body; it passes to the answer
	 * @return the answer
	 */
	FullHttpResponse answer(HttpResponse from, ByteBuf body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, from.status(), body);
		HopHeaders.copy(from.headers(), response.headers());
		int status = from.status().code();
		String stated = from.headers().get(HttpHeaderNames.CONTENT_LENGTH);
		boolean head = this.request.method().name().equals("HEAD");
		if (status != 204 && status != 304) {
			response.headers()
				.set(HttpHeaderNames.CONTENT_LENGTH, (head && stated != null) ? stated : body.readableBytes());
		}
		return response;
	}

	/**
	 * Returns an answer of the host's own.
	 * @param refusal what it says
	 * @return the answer
	 */
	FullHttpResponse refusal(Refusal refusal) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(refusal.status()), Unpooled.EMPTY_BUFFER);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
		if (refusal.retryAfterMs() > 0) {
			response.headers().set(HttpHeaderNames.RETRY_AFTER, refusal.retryAfterMs() / THOUSAND);
		}
		if (!requestId().isEmpty()) {
			response.headers().set(this.names.requestId(), requestId());
		}
		return response;
	}

}
