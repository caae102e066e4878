package org.plantainspur.core.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.plantainspur.core.store.PooledStore;
import org.plantainspur.core.store.Scheduler;
import org.plantainspur.core.store.StoreResult;
import org.plantainspur.core.store.StoreVersion;
import org.plantainspur.core.store.TableReader;

/**
 * The path of one host to a {@link SimulatedStore}: calls take time, reuse connections,
 * and are lost in the ways that a test chooses.
 */
final class SimulatedStorePath implements PooledStore {

	/** A connect or a call to a store in another region. */
	static final long ROUND_TRIP_MS = 60;

	private static final long CALL_TIMEOUT_MS = 1_500;

	private final SimulatedStore store;

	private final Scheduler scheduler;

	private final Deque<Connection> idle = new ArrayDeque<>();

	private final List<Connection> open = new ArrayList<>();

	private final TableReader newConnections = new Reader(true);

	private final TableReader pooledConnections = new Reader(false);

	private Loss loss = Loss.NONE;

	SimulatedStorePath(SimulatedStore store, Scheduler scheduler) {
		this.store = store;
		this.scheduler = scheduler;
	}

	void begin(Loss begun) {
		this.loss = begun;
		if (begun == Loss.OPEN_CONNECTIONS_SILENT || begun == Loss.SILENT) {
			this.open.forEach((connection) -> connection.silent = true);
			this.loss = (begun == Loss.SILENT) ? begun : Loss.NONE;
		}
		else if (begun == Loss.RESET) {
			List.copyOf(this.open).forEach(Connection::reset);
		}
	}

	void end() {
		this.loss = Loss.NONE;
	}

	@Override
	public CompletionStage<StoreResult> list(String table, String from) {
		return this.pooledConnections.list(table, from);
	}

	@Override
	public CompletionStage<StoreResult> changes(String table, StoreVersion after, long waitMs) {
		return this.pooledConnections.changes(table, after, waitMs);
	}

	@Override
	public CompletionStage<StoreResult> put(String table, String key, byte[] value) {
		throw new UnsupportedOperationException("the hosts of this simulation write nothing");
	}

	@Override
	public TableReader onNewConnections() {
		return this.newConnections;
	}

	@Override
	public void closeIdleConnections() {
		this.open.removeAll(this.idle);
		this.idle.clear();
	}

	/** What is lost on the path to the store. */
	enum Loss {

		/** Nothing is lost. */
		NONE,

		/** Connections that are open carry nothing more; new ones work. */
		OPEN_CONNECTIONS_SILENT,

		/** Nothing is answered, and what was called meanwhile never is. */
		SILENT,

		/** Calls are refused with 503. */
		BUSY,

		/** Connections are reset and connects refused. */
		RESET,

		/** Answers take 60 times as long as the store's 3 ms. */
		SLOW,

		/** Calls for changes get no answer, whole reads do. */
		FEED_SILENT,

		/** Calls for changes are refused, whole reads are answered. */
		FEED_BUSY,

		/** Each answer with rows is lost, and its connection carries nothing more. */
		ANSWERS_LOST

	}

	private final class Connection {

		private boolean silent;

		private CompletableFuture<StoreResult> pendingCall = new CompletableFuture<>();

		private void reset() {
			this.silent = true;
			SimulatedStorePath.this.open.remove(this);
			SimulatedStorePath.this.idle.remove(this);
			this.pendingCall.complete(new StoreResult.Unavailable("reset"));
		}

	}

	private final class Reader implements TableReader {

		private final boolean always;

		private Reader(boolean always) {
			this.always = always;
		}

		@Override
		public CompletionStage<StoreResult> list(String table, String from) {
			return call(false, 0, () -> SimulatedStorePath.this.store.list(table, from));
		}

		@Override
		public CompletionStage<StoreResult> changes(String table, StoreVersion after, long waitMs) {
			return call(true, waitMs, () -> SimulatedStorePath.this.store.changes(table, after, waitMs));
		}

		private CompletionStage<StoreResult> call(boolean feed, long waitMs,
				Supplier<CompletionStage<StoreResult>> answer) {
			SimulatedStorePath path = SimulatedStorePath.this;
			CompletableFuture<StoreResult> result = new CompletableFuture<>();
			Connection pooled = this.always ? null : path.idle.pollLast();
			Connection connection = (pooled != null) ? pooled : new Connection();
			if (pooled == null) {
				path.open.add(connection);
			}
			connection.pendingCall = result;
			connection.silent |= path.loss == Loss.SILENT;
			path.scheduler.after(waitMs + CALL_TIMEOUT_MS, () -> {
				if (result.complete(new StoreResult.Unavailable("no response"))) {
					path.open.remove(connection);
				}
			});
			if (path.loss == Loss.RESET) {
				path.scheduler.after(ROUND_TRIP_MS / 2, connection::reset);
				return result;
			}
			path.scheduler.after((pooled != null) ? ROUND_TRIP_MS / 2 : ROUND_TRIP_MS * 3 / 2, () -> {
				if (!connection.silent && path.loss != Loss.SILENT) {
					arrive(connection, feed, answer, result);
				}
			});
			return result;
		}

		private void arrive(Connection connection, boolean feed, Supplier<CompletionStage<StoreResult>> answer,
				CompletableFuture<StoreResult> result) {
			SimulatedStorePath path = SimulatedStorePath.this;
			if (path.loss == Loss.BUSY || (feed && path.loss == Loss.FEED_BUSY)) {
				path.store.countRefusal();
				deliver(connection, result, new StoreResult.Unavailable("status 503"));
			}
			else if (feed && path.loss == Loss.FEED_SILENT) {
				connection.silent = true;
			}
			else {
				answer.get().thenAccept((rows) -> deliver(connection, result, rows));
			}
		}

		private void deliver(Connection connection, CompletableFuture<StoreResult> result, StoreResult answer) {
			SimulatedStorePath path = SimulatedStorePath.this;
			connection.silent |= path.loss == Loss.ANSWERS_LOST && answer instanceof StoreResult.Rows rows
					&& !rows.rows().isEmpty();
			long extraMs = (path.loss == Loss.SLOW) ? 180 : 0;
			path.scheduler.after(ROUND_TRIP_MS / 2 + extraMs, () -> {
				if (!connection.silent && result.complete(answer)) {
					path.idle.addLast(connection);
				}
			});
		}

	}

}
