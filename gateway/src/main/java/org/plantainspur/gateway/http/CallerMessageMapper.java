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
 * Translates one caller's HTTP request, and the response to it, from and to the types of
 * the core.
 */
final class CallerMessageMapper {

	/** Applies to requests whose deadline header is missing or malformed. */
	private static final long DEFAULT_DEADLINE_MS = 30_000;

	private static final double MS_PER_SECOND = 1_000;

	private final HeaderNames headerNames;

	private final FullHttpRequest request;

	CallerMessageMapper(HeaderNames headerNames, FullHttpRequest request) {
		this.headerNames = headerNames;
		this.request = request;
	}

	/**
	 * Returns the identifier that the caller gave the request.
	 * @return the value of the request id header, empty if there is none
	 */
	String requestId() {
		return this.request.headers().get(this.headerNames.requestId(), "");
	}

	/**
	 * Returns the API key of the request.
	 * @return the credentials of the Authorization header, or {@code null} if the header
	 * is missing or uses another authentication scheme
	 */
	@Nullable String apiKey() {
		String authorization = this.request.headers().get(HttpHeaderNames.AUTHORIZATION);
		String schemePrefix = this.headerNames.keyScheme() + " ";
		boolean matchesScheme = authorization != null
				&& authorization.regionMatches(true, 0, schemePrefix, 0, schemePrefix.length());
		return (authorization != null && matchesScheme) ? authorization.substring(schemePrefix.length()).trim() : null;
	}

	/**
	 * Returns how long the caller waits for the response.
	 * @return the time from the arrival of the request, in milliseconds
	 */
	long deadlineMs() {
		String headerValue = this.request.headers().get(this.headerNames.deadlineMs());
		if (headerValue == null || !headerValue.matches("\\d{1,9}")) {
			return DEFAULT_DEADLINE_MS;
		}
		return Long.parseLong(headerValue);
	}

	/**
	 * Converts a target's response to the response that the caller gets.
	 * @param targetResponse the status line and headers of the target's response
	 * @param body the whole body; the returned response takes over its reference count
	 * @return a response with the target's status, its end-to-end headers and the body
	 */
	FullHttpResponse toCallerResponse(HttpResponse targetResponse, ByteBuf body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, targetResponse.status(), body);
		HopByHopHeaders.copyEndToEnd(targetResponse.headers(), response.headers());
		int status = targetResponse.status().code();
		String contentLength = targetResponse.headers().get(HttpHeaderNames.CONTENT_LENGTH);
		boolean isHead = this.request.method().name().equals("HEAD");
		if (status != 204 && status != 304) {
			response.headers()
				.set(HttpHeaderNames.CONTENT_LENGTH,
						(isHead && contentLength != null) ? contentLength : body.readableBytes());
		}
		return response;
	}

	/**
	 * Returns the response that this host sends itself when no target's response is
	 * passed on.
	 * @param refusal why, with the HTTP status
	 * @param retryAfterMs the delay before a retry in milliseconds, 0 if a retry does not
	 * help
	 * @return a response without a body
	 */
	FullHttpResponse toRefusalResponse(Refusal refusal, long retryAfterMs) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(refusal.status()), Unpooled.EMPTY_BUFFER);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
		if (retryAfterMs > 0) {
			response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterMs / MS_PER_SECOND);
		}
		if (!requestId().isEmpty()) {
			response.headers().set(this.headerNames.requestId(), requestId());
		}
		return response;
	}

}
