package org.plantainspur.standins.load;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.util.Map;
import java.util.function.Consumer;

import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.RequestNotExecutedException;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/**
 * Sends HTTP requests asynchronously, without waiting for earlier ones. It does not
 * retry.
 */
final class HttpSender implements AutoCloseable {

	private final CloseableHttpAsyncClient client;

	/**
	 * Starts the sender.
	 * @param connectionsPerAddress the maximum number of open connections to one host or
	 * target
	 * @param timeoutMillis the longest wait for a free connection, for connecting and for
	 * the response, each, in milliseconds
	 */
	HttpSender(int connectionsPerAddress, long timeoutMillis) {
		Timeout timeout = Timeout.ofMilliseconds(timeoutMillis);
		this.client = HttpAsyncClients.custom()
			.disableAutomaticRetries()
			.disableRedirectHandling()
			.disableCookieManagement()
			.disableAuthCaching()
			.setConnectionManager(PoolingAsyncClientConnectionManagerBuilder.create()
				.setMaxConnPerRoute(connectionsPerAddress)
				.setMaxConnTotal(Integer.MAX_VALUE)
				.setDefaultConnectionConfig(ConnectionConfig.custom()
					.setConnectTimeout(timeout)
					.setValidateAfterInactivity(TimeValue.ofMilliseconds(500))
					.build())
				.build())
			.setDefaultRequestConfig(
					RequestConfig.custom().setResponseTimeout(timeout).setConnectionRequestTimeout(timeout).build())
			.build();
		this.client.start();
	}

	/**
	 * Sends a request without waiting for its reply.
	 * @param outgoing the request
	 * @param receiver called once with the response or the failure, usually on an I/O
	 * thread of the client, so it must not block
	 */
	void send(OutgoingRequest outgoing, Consumer<Reply> receiver) {
		SimpleRequestBuilder builder = SimpleRequestBuilder.create(outgoing.method())
			.setUri(URI.create("http://" + outgoing.address() + outgoing.path()));
		outgoing.headers().forEach(builder::addHeader);
		if (!outgoing.body().isEmpty()) {
			builder.setBody(outgoing.body(), ContentType.APPLICATION_JSON);
		}
		SimpleHttpRequest request = builder.build();
		this.client.execute(request, new Callback(receiver));
	}

	@Override
	public void close() {
		this.client.close(CloseMode.GRACEFUL);
	}

	/**
	 * A request to send.
	 *
	 * @param method the HTTP method
	 * @param address {@code ip:port} of the receiver
	 * @param path the path with its query
	 * @param headers the header fields by name
	 * @param body the JSON body, empty for none
	 */
	record OutgoingRequest(String method, String address, String path, Map<String, String> headers, String body) {

		static OutgoingRequest get(String address, String path, Map<String, String> headers) {
			return new OutgoingRequest("GET", address, path, headers, "");
		}

	}

	/**
	 * The result of sending a request.
	 */
	sealed interface Reply {

		/**
		 * A complete response.
		 *
		 * @param status the HTTP status code
		 * @param contentType the media type, empty if unknown
		 * @param notRun whether {@code X-Not-Run: true} says that the request did not run
		 * @param body the bytes of the body
		 */
		record Received(int status, String contentType, boolean notRun, byte[] body) implements Reply {
		}

		/**
		 * No complete response.
		 *
		 * @param kind the kind of failure in the report: {@code not-connected},
		 * {@code timeout}, {@code connection-lost} or {@code cancelled}
		 * @param sent whether the request may have been sent
		 */
		record Failed(String kind, boolean sent) implements Reply {
		}

	}

	private record Callback(Consumer<Reply> receiver) implements FutureCallback<SimpleHttpResponse> {

		@Override
		public void completed(SimpleHttpResponse response) {
			byte[] body = response.getBodyBytes();
			this.receiver.accept(new Reply.Received(response.getCode(), header(response, "Content-Type"),
					header(response, "X-Not-Run").equals("true"), (body != null) ? body : new byte[0]));
		}

		private static String header(SimpleHttpResponse response, String name) {
			Header header = response.getFirstHeader(name);
			return (header != null && header.getValue() != null) ? header.getValue() : "";
		}

		@Override
		public void failed(Exception ex) {
			if (ex instanceof ConnectException || ex instanceof ConnectTimeoutException
					|| ex instanceof NoRouteToHostException || ex instanceof ConnectionRequestTimeoutException
					|| ex instanceof RequestNotExecutedException) {
				this.receiver.accept(new Reply.Failed("not-connected", false));
			}
			else {
				this.receiver.accept(
						new Reply.Failed((ex instanceof SocketTimeoutException) ? "timeout" : "connection-lost", true));
			}
		}

		@Override
		public void cancelled() {
			this.receiver.accept(new Reply.Failed("cancelled", true));
		}

	}

}
