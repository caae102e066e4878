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
 * Bounds the connections and the running requests of each client account at this host, so
 * that one account cannot take every thread. A connection counts for the account of its
 * newest request. Also counts the requests in flight, and asks callers to close their
 * connections while the host is about to stop. Requests without a valid key share the
 * limits of one account.
 */
public final class CallerLimits extends Handler.Wrapper {

	private static final String NO_ACCOUNT = "";

	private final ConfigurationView view;

	private final CallerActivity activity;

	private final StopSignal stopSignal;

	private final AccountCounts requests;

	private final AccountCounts connections;

	private final ConcurrentMap<Connection, String> holders = new ConcurrentHashMap<>();

	/**
	 * Creates the handler.
	 * @param view the configuration in force
	 * @param activity counts the requests in flight
	 * @param stopSignal whether the host is about to stop
	 * @param limits the bounds
	 */
	public CallerLimits(ConfigurationView view, CallerActivity activity, StopSignal stopSignal, Limits limits) {
		this.view = view;
		this.activity = activity;
		this.stopSignal = stopSignal;
		this.requests = new AccountCounts(limits.requests());
		this.connections = new AccountCounts(limits.connections());
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) throws Exception {
		if (this.stopSignal.stopping()) {
			response.getHeaders().put(HttpHeader.CONNECTION, "close");
		}
		this.activity.begin();
		Callback counted = Callback.from(callback, this.activity::end);
		String accountId = accountId(request);
		if (!holdConnection(request.getConnectionMetaData().getConnection(), accountId)) {
			return refuse(response, counted, "more connections");
		}
		if (!this.requests.tryAdd(accountId)) {
			return refuse(response, counted, "more requests at a time");
		}
		RequestPlace place = new RequestPlace(() -> this.requests.remove(accountId));
		return handOn(request, new PlaceResponse(request, response, place), Callback.from(place::giveBack, counted));
	}

	private boolean handOn(Request request, Response response, Callback callback) throws Exception {
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

	private boolean holdConnection(Connection connection, String accountId) {
		String holder = this.holders.get(connection);
		if (accountId.equals(holder)) {
			return true;
		}
		if (!this.connections.tryAdd(accountId)) {
			return false;
		}
		if (holder != null) {
			this.connections.remove(holder);
		}
		else {
			connection.addEventListener(new Release());
		}
		this.holders.put(connection, accountId);
		return true;
	}

	private boolean refuse(Response response, Callback callback, String what) {
		Problem problem = Problem.notRun(Problem.Code.TOO_MANY_CONCURRENT,
				"the client account has " + what + " at this host than its limit");
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
	 * Returns the client accounts with connections.
	 * @return the ids in order
	 */
	public List<String> accountsConnected() {
		return this.connections.accounts().stream().filter((id) -> !id.equals(NO_ACCOUNT)).sorted().toList();
	}

	/**
	 * Bounds of one client account at one host.
	 *
	 * @param connections the most connections
	 * @param requests the most requests that run at a time
	 */
	public record Limits(int connections, int requests) {
	}

	/**
	 * Gives a connection back when it ends.
	 */
	private final class Release implements Connection.Listener {

		@Override
		public void onClosed(Connection connection) {
			String holder = CallerLimits.this.holders.remove(connection);
			if (holder != null) {
				CallerLimits.this.connections.remove(holder);
			}
		}

	}

	/**
	 * One of the places that an account's requests may take; given back once.
	 */
	private static final class RequestPlace {

		private final AtomicBoolean held = new AtomicBoolean(true);

		private final Runnable release;

		RequestPlace(Runnable release) {
			this.release = release;
		}

		void giveBack() {
			if (this.held.compareAndSet(true, false)) {
				this.release.run();
			}
		}

	}

	/**
	 * Gives the place back before the last bytes of the answer are sent. A caller that
	 * sends its next request as soon as it has the answer would otherwise be counted
	 * twice and refused at its limit. An answer larger than the socket's buffer may keep
	 * its thread for as long as the caller likes, so its place is kept until it is sent.
	 */
	private static final class PlaceResponse extends Response.Wrapper {

		private static final int SOCKET_BUFFER_BYTES = 32 * 1024;

		private final RequestPlace place;

		PlaceResponse(Request request, Response response, RequestPlace place) {
			super(request, response);
			this.place = place;
		}

		@Override
		public void write(boolean last, @Nullable ByteBuffer content, Callback callback) {
			if (last && (content == null || content.remaining() <= SOCKET_BUFFER_BYTES)) {
				this.place.giveBack();
			}
			super.write(last, content, callback);
		}

	}

}
