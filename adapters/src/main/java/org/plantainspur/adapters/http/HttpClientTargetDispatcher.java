package org.plantainspur.adapters.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.net.UnknownHostException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
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
 * Sends requests to targets with Apache HttpClient. Its automatic retries and redirects
 * are off, since they would run a request twice. Idle connections are checked before use,
 * since a request on a connection that the target has just closed would have an unknown
 * outcome.
 */
public final class HttpClientTargetDispatcher implements TargetDispatcher, AutoCloseable {

	/** The largest answer in bytes that is passed on. */
	static final int MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int BUFFER_BYTES = 8192;

	private static final Timeout CONNECT_TIMEOUT = Timeout.ofMilliseconds(1000);

	private final CloseableHttpClient client;

	private final ScheduledExecutorService deadlines = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "target-deadlines");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Creates a dispatcher.
	 * @param connectionsPerTarget the most connections to one target from this host
	 */
	public HttpClientTargetDispatcher(int connectionsPerTarget) {
		this.client = HttpClients.custom()
			.disableAutomaticRetries()
			.disableRedirectHandling()
			.disableCookieManagement()
			.disableAuthCaching()
			.disableContentCompression()
			.setConnectionManager(PoolingHttpClientConnectionManagerBuilder.create()
				.setMaxConnPerRoute(connectionsPerTarget)
				.setMaxConnTotal(Integer.MAX_VALUE)
				.setDefaultConnectionConfig(ConnectionConfig.custom()
					.setConnectTimeout(CONNECT_TIMEOUT)
					.setValidateAfterInactivity(TimeValue.ZERO_MILLISECONDS)
					.build())
				.build())
			.build();
	}

	@Override
	public DispatchOutcome dispatch(Target target, CallerRequest request, boolean idempotent, long timeoutMillis) {
		HttpUriRequestBase message = message(target, request, timeoutMillis);
		ScheduledFuture<?> deadline = this.deadlines.schedule(message::cancel, timeoutMillis, TimeUnit.MILLISECONDS);
		try {
			return this.client.execute(message, HttpClientTargetDispatcher::outcome);
		}
		catch (ConnectException | ConnectTimeoutException | ConnectionRequestTimeoutException | NoRouteToHostException
				| UnknownHostException ex) {
			return new DispatchOutcome.NotSent("no connection to target " + target.id() + ": " + ex.getMessage());
		}
		catch (IOException ex) {
			DispatchOutcome.Unknown.Cause cause = message.isCancelled() ? DispatchOutcome.Unknown.Cause.TIMEOUT
					: DispatchOutcome.Unknown.Cause.RESET;
			return new DispatchOutcome.Unknown(cause,
					"target " + target.id() + " gave no whole answer: " + ex.getMessage());
		}
		finally {
			deadline.cancel(false);
		}
	}

	private static HttpUriRequestBase message(Target target, CallerRequest request, long timeoutMillis) {
		String query = request.query().isEmpty() ? "" : "?" + request.query();
		HttpUriRequestBase message = new HttpUriRequestBase(request.method(),
				URI.create("http://" + target.address() + request.path() + query));
		message.setConfig(RequestConfig.custom()
			.setConnectionRequestTimeout(Timeout.ofMilliseconds(timeoutMillis))
			.setResponseTimeout(Timeout.ofMilliseconds(timeoutMillis))
			.build());
		for (Headers.Field field : request.headers().fields()) {
			message.addHeader(field.name(), field.value());
		}
		if (request.body().length > 0) {
			message.setEntity(new ByteArrayEntity(request.body(), null));
		}
		return message;
	}

	private static DispatchOutcome outcome(ClassicHttpResponse response) throws IOException {
		Headers headers = Headers.empty();
		for (Header header : response.getHeaders()) {
			headers = headers.with(header.getName(), header.getValue());
		}
		byte[] body = body(response.getEntity());
		if (body == null) {
			return new DispatchOutcome.Unknown(DispatchOutcome.Unknown.Cause.TOO_LARGE,
					"the target's answer is larger than " + MAXIMUM_ANSWER_BYTES + " bytes");
		}
		if (response.getCode() == SERVICE_UNAVAILABLE && "true".equals(headers.first(Headers.NOT_RUN))) {
			return new DispatchOutcome.RefusedByTarget("draining".equals(headers.first(Headers.TARGET_STATE)));
		}
		return new DispatchOutcome.Answered(response.getCode(), headers, body);
	}

	private static byte @Nullable [] body(@Nullable HttpEntity entity) throws IOException {
		if (entity == null) {
			return new byte[0];
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		byte[] buffer = new byte[BUFFER_BYTES];
		try (InputStream content = entity.getContent()) {
			int count = content.read(buffer);
			while (count >= 0) {
				bytes.write(buffer, 0, count);
				if (bytes.size() > MAXIMUM_ANSWER_BYTES) {
					return null;
				}
				count = content.read(buffer);
			}
		}
		return bytes.toByteArray();
	}

	@Override
	public void close() throws IOException {
		this.deadlines.shutdownNow();
		this.client.close();
	}

}
