package org.plantainspur.adapters.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;

import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.ChainElement;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.protocol.HttpClientContext;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.request.DispatchOutcome;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.TargetDispatcher;
import org.plantainspur.core.routing.Target;

/**
 * Sends requests to targets with Apache HttpClient. HttpClient's automatic retries and
 * redirects are disabled, since they could run a request twice. A failure before the
 * request is written to a connection gives {@code NotSent}; a later failure gives
 * {@code Unknown}, since the target may have run the request.
 */
public final class HttpClientTargetDispatcher implements TargetDispatcher, AutoCloseable {

	/** Maximum size of a response body, in bytes. */
	static final int MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int BUFFER_BYTES = 8192;

	/**
	 * Maximum idle time of a pooled connection. It is shorter than the keep-alive time of
	 * common servers, so that a target rarely closes a connection that is about to be
	 * used.
	 */
	private static final TimeValue KEEP_ALIVE = TimeValue.ofSeconds(4);

	/** Context attribute, set just before the request is written to its connection. */
	private static final String SENT = "plantainspur.sent";

	private static final int MIN_FINAL_STATUS = 200;

	private static final int MAX_STATUS = 599;

	private final TargetConnectionPool connections;

	private final CloseableHttpClient client;

	private final ScheduledThreadPoolExecutor deadlines = new ScheduledThreadPoolExecutor(1, (task) -> {
		Thread thread = new Thread(task, "target-deadlines");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Creates a dispatcher.
	 * @param memberCount returns the number of member hosts, among which the connection
	 * limit of each target is divided
	 */
	public HttpClientTargetDispatcher(IntSupplier memberCount) {
		this.deadlines.setRemoveOnCancelPolicy(true);
		this.connections = new TargetConnectionPool(memberCount);
		this.client = HttpClients.custom()
			.disableAutomaticRetries()
			.disableRedirectHandling()
			.disableCookieManagement()
			.disableAuthCaching()
			.disableContentCompression()
			.disableDefaultUserAgent()
			.setKeepAliveStrategy((response, context) -> KEEP_ALIVE)
			.addExecInterceptorBefore(ChainElement.MAIN_TRANSPORT.name(), SENT, (request, scope, chain) -> {
				scope.clientContext.setAttribute(SENT, Boolean.TRUE);
				return chain.proceed(request, scope);
			})
			.setConnectionManager(this.connections.manager())
			.build();
	}

	@Override
	public DispatchOutcome dispatch(Target target, CallerRequest request, boolean idempotent, long timeoutMillis) {
		HttpHost host = hostOf(target);
		HttpUriRequestBase message = createMessage(target, request, timeoutMillis);
		HttpClientContext context = HttpClientContext.create();
		this.connections.updateLimit(target, host);
		AtomicLong receivedBytes = new AtomicLong();
		ScheduledFuture<?> deadline = this.deadlines.schedule(message::cancel, timeoutMillis, TimeUnit.MILLISECONDS);
		try {
			return this.client.execute(host, message, context,
					(response) -> responseOutcome(message, response, receivedBytes));
		}
		catch (IOException | CancellationException | IllegalArgumentException ex) {
			// CancellationException: the deadline passed while the request waited for a
			// pooled connection. IllegalArgumentException: the status of the response
			// is 0.
			return failureOutcome(target, message, context, receivedBytes.get(), ex);
		}
		finally {
			deadline.cancel(false);
		}
	}

	private static HttpHost hostOf(Target target) {
		int colon = target.address().lastIndexOf(':');
		return new HttpHost("http", target.address().substring(0, colon),
				Integer.parseInt(target.address().substring(colon + 1)));
	}

	private static DispatchOutcome failureOutcome(Target target, HttpUriRequestBase message, HttpClientContext context,
			long receivedBytes, Exception failure) {
		if (context.getAttribute(SENT) == null) {
			return new DispatchOutcome.NotSent("no connection to target " + target.id() + ": " + failure.getMessage());
		}
		if (failure instanceof ResponseTooLargeException) {
			return new DispatchOutcome.Unknown(DispatchOutcome.Unknown.Cause.TOO_LARGE,
					"target " + target.id() + " sent a response body larger than " + MAXIMUM_RESPONSE_BYTES + " bytes",
					receivedBytes);
		}
		boolean timeout = message.isCancelled() || failure instanceof SocketTimeoutException;
		return new DispatchOutcome.Unknown(
				timeout ? DispatchOutcome.Unknown.Cause.TIMEOUT : DispatchOutcome.Unknown.Cause.RESET,
				"target " + target.id() + " sent no complete response: " + failure.getMessage(), receivedBytes);
	}

	private static HttpUriRequestBase createMessage(Target target, CallerRequest request, long timeoutMillis) {
		HttpUriRequestBase message = new HttpUriRequestBase(request.method(),
				URI.create("http://" + target.address() + "/"));
		// The path and the query are sent unchanged. Parsed as a URI, some that servers
		// accept would be rejected or altered.
		message.setPath(request.path() + (request.query().isEmpty() ? "" : "?" + request.query()));
		message.setConfig(RequestConfig.custom()
			.setConnectionRequestTimeout(Timeout.ofMilliseconds(timeoutMillis))
			.setResponseTimeout(Timeout.ofMilliseconds(timeoutMillis))
			.setExpectContinueEnabled(false)
			.build());
		for (Headers.Field field : request.headers().fields()) {
			message.addHeader(field.name(), field.value());
		}
		if (request.body().length > 0) {
			message.setEntity(new ByteArrayEntity(request.body(), null));
		}
		return message;
	}

	private static DispatchOutcome responseOutcome(HttpUriRequestBase message, ClassicHttpResponse response,
			AtomicLong receivedBytes) throws IOException {
		if (response.getCode() < MIN_FINAL_STATUS || response.getCode() > MAX_STATUS) {
			throw new IOException("the status " + response.getCode() + " is not one of HTTP");
		}
		Headers headers = Headers.empty();
		for (Header header : response.getHeaders()) {
			headers = headers.with(header.getName(), header.getValue());
		}
		byte[] body = readBody(message, response.getEntity(), receivedBytes);
		if (response.getCode() == SERVICE_UNAVAILABLE && "true".equals(headers.first(Headers.NOT_RUN))) {
			return new DispatchOutcome.RefusedByTarget("draining".equals(headers.first(Headers.TARGET_STATE)));
		}
		return new DispatchOutcome.Answered(response.getCode(), headers, body);
	}

	private static byte[] readBody(HttpUriRequestBase message, @Nullable HttpEntity entity, AtomicLong receivedBytes)
			throws IOException {
		if (entity == null) {
			return new byte[0];
		}
		if (entity.getContentLength() < 0 && !entity.isChunked()) {
			throw new IOException(
					"the response has neither a Content-Length nor chunks, so a truncated body cannot be detected");
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		byte[] buffer = new byte[BUFFER_BYTES];
		InputStream content = entity.getContent();
		int count = content.read(buffer);
		while (count >= 0) {
			bytes.write(buffer, 0, count);
			receivedBytes.addAndGet(count);
			if (bytes.size() > MAXIMUM_RESPONSE_BYTES) {
				// Without the cancellation, HttpClient would read the rest of the body
				// before it closes the connection.
				message.cancel();
				throw new ResponseTooLargeException();
			}
			count = content.read(buffer);
		}
		return bytes.toByteArray();
	}

	@Override
	public void close() throws IOException {
		this.deadlines.shutdownNow();
		this.client.close();
	}

	/**
	 * Thrown if a response body exceeds {@link #MAXIMUM_RESPONSE_BYTES}.
	 */
	private static final class ResponseTooLargeException extends IOException {

		private static final long serialVersionUID = 1L;

	}

}
