package org.plantainspur.adapters.http;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicBoolean;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.KeyHash;
import org.plantainspur.core.request.Problem;

/**
 * Jetty handler that limits the connections and the concurrent requests of each client
 * account at this host, so that one account cannot occupy every thread. A connection
 * counts for the account of its newest request. Requests without a valid key share the
 * limits of one account. The handler also counts the requests in flight, and asks callers
 * to close their connections while the host is about to stop.
 */
public final class AccountLimitHandler extends Handler.Wrapper {

	/** Stands for all requests without a valid key. */
	private static final String NO_ACCOUNT = "";

	private final ConfigurationView view;

	private final InFlightRequestCounter inFlight;

	private final ShutdownSignal shutdownSignal;

	private final PerAccountLimiter requests;

	private final PerAccountLimiter connections;

	private final ConcurrentMap<Connection, String> accountsByConnection = new ConcurrentHashMap<>();

	/**
	 * Creates the handler.
	 * @param view the configuration in force
	 * @param inFlight counts the requests in flight
	 * @param shutdownSignal whether the host is about to stop
	 * @param limits the limits of each client account
	 */
	public AccountLimitHandler(ConfigurationView view, InFlightRequestCounter inFlight, ShutdownSignal shutdownSignal,
			Limits limits) {
		this.view = view;
		this.inFlight = inFlight;
		this.shutdownSignal = shutdownSignal;
		this.requests = new PerAccountLimiter(limits.requests());
		this.connections = new PerAccountLimiter(limits.connections());
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) throws Exception {
		if (this.shutdownSignal.stopping()) {
			response.getHeaders().put(HttpHeader.CONNECTION, "close");
		}
		this.inFlight.requestStarted();
		Callback countingCallback = Callback.from(callback, this.inFlight::requestEnded);
		String accountId = accountId(request);
		if (!assignConnection(request.getConnectionMetaData().getConnection(), accountId)) {
			return refuse(response, countingCallback, "more connections");
		}
		if (!this.requests.tryAcquire(accountId)) {
			return refuse(response, countingCallback, "more concurrent requests");
		}
		RequestPermit permit = new RequestPermit(() -> this.requests.release(accountId));
		return delegate(request, new PermitReleasingResponse(request, response, permit),
				Callback.from(permit::release, countingCallback));
	}

	private boolean delegate(Request request, Response response, Callback callback) throws Exception {
		try {
			boolean handled = super.handle(request, response, callback);
			if (!handled) {
				Response.writeError(request, response, callback, Problem.Code.NO_ROUTE.status());
			}
			return true;
		}
		catch (Exception ex) {
			Response.writeError(request, response, callback, ex);
			return true;
		}
	}

	private String accountId(Request request) {
		String key = request.getHeaders().get(Headers.API_KEY);
		ClientAccount account = (key != null) ? this.view.current().accountOfKey(KeyHash.of(key)) : null;
		return (account != null) ? account.id() : NO_ACCOUNT;
	}

	private boolean assignConnection(Connection connection, String accountId) {
		String assignedAccount = this.accountsByConnection.get(connection);
		if (accountId.equals(assignedAccount)) {
			return true;
		}
		if (!this.connections.tryAcquire(accountId)) {
			return false;
		}
		if (assignedAccount != null) {
			this.connections.release(assignedAccount);
		}
		else {
			connection.addEventListener(new ConnectionCloseListener());
		}
		this.accountsByConnection.put(connection, accountId);
		return true;
	}

	private boolean refuse(Response response, Callback callback, String excess) {
		Problem problem = Problem.notRun(Problem.Code.TOO_MANY_CONCURRENT,
				"the client account has " + excess + " at this host than its limit allows");
		byte[] document = ProblemDocument.encode(problem);
		response.setStatus(problem.code().status());
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, ProblemDocument.MEDIA_TYPE);
		response.getHeaders().put(HttpHeader.CONTENT_LENGTH, document.length);
		response.getHeaders().put(HttpHeader.RETRY_AFTER, "1");
		response.getHeaders().put(HttpHeader.CONNECTION, "close");
		response.write(true, ByteBuffer.wrap(document), callback);
		return true;
	}

	/**
	 * Returns the client accounts that have open connections to this host.
	 * @return the account ids in ascending order
	 */
	public List<String> connectedAccounts() {
		return this.connections.holdingAccounts().stream().filter((id) -> !id.equals(NO_ACCOUNT)).sorted().toList();
	}

	/**
	 * The limits of one client account at one host.
	 *
	 * @param connections the maximum number of open connections
	 * @param requests the maximum number of concurrent requests
	 */
	public record Limits(int connections, int requests) {
	}

	/**
	 * When a connection closes, stops counting it toward its client account's limit.
	 */
	private final class ConnectionCloseListener implements Connection.Listener {

		@Override
		public void onClosed(Connection connection) {
			String assignedAccount = AccountLimitHandler.this.accountsByConnection.remove(connection);
			if (assignedAccount != null) {
				AccountLimitHandler.this.connections.release(assignedAccount);
			}
		}

	}

	/**
	 * Permission of a client account to run one request. Both the last write of the
	 * answer and the end of the request may call {@link #release()}; only the first call
	 * has an effect.
	 */
	private static final class RequestPermit {

		private final AtomicBoolean unreleased = new AtomicBoolean(true);

		private final Runnable releaseAction;

		RequestPermit(Runnable releaseAction) {
			this.releaseAction = releaseAction;
		}

		void release() {
			if (this.unreleased.compareAndSet(true, false)) {
				this.releaseAction.run();
			}
		}

	}

	/**
	 * Releases the permit before the last bytes of the answer are sent. Otherwise a
	 * caller at its limit that sends its next request as soon as it has the answer would
	 * be counted twice and refused. Writing an answer that exceeds the socket's send
	 * buffer can occupy a thread for as long as the caller is slow to read it, so its
	 * permit is kept until the answer is sent.
	 */
	private static final class PermitReleasingResponse extends Response.Wrapper {

		/**
		 * Maximum size of a last write, in bytes, for which the permit is released early.
		 * A write of this size is assumed to fit in the socket's send buffer, so that it
		 * does not wait for the caller.
		 */
		private static final int EARLY_RELEASE_MAXIMUM_BYTES = 32 * 1024;

		private final RequestPermit permit;

		PermitReleasingResponse(Request request, Response response, RequestPermit permit) {
			super(request, response);
			this.permit = permit;
		}

		@Override
		public void write(boolean last, @Nullable ByteBuffer content, Callback callback) {
			if (last && (content == null || content.remaining() <= EARLY_RELEASE_MAXIMUM_BYTES)) {
				this.permit.release();
			}
			super.write(last, content, callback);
		}

	}

}
