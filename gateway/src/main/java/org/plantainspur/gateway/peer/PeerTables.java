package org.plantainspur.gateway.peer;

import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;

import io.netty.channel.EventLoop;

import org.plantainspur.core.store.StoreResult;
import org.plantainspur.core.store.TableReader;
import org.plantainspur.gateway.http.HttpCalls;

/**
 * Reads tables from other hosts. Used by one thread.
 */
public final class PeerTables {

	/** The path at which hosts ask each other for rows. */
	public static final String PATH = "/rows";

	/** The other host is in the same failure domain; the store is read if it is late. */
	private static final long TIMEOUT_MS = 400;

	private final EventLoop loop;

	private final RowsCodec codec = new RowsCodec();

	private final Map<String, TableReader> readers = new HashMap<>();

	public PeerTables(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Returns a reader of another host's copies.
	 * @param address the host's peer address, {@code ip:port}
	 * @return the reader
	 */
	public TableReader of(String address) {
		return this.readers.computeIfAbsent(address, (key) -> {
			int colon = key.lastIndexOf(':');
			InetSocketAddress socket = new InetSocketAddress(key.substring(0, colon),
					Integer.parseInt(key.substring(colon + 1)));
			return new PeerReader(new HttpCalls(this.loop, socket));
		});
	}

	private final class PeerReader implements TableReader {

		private final HttpCalls calls;

		private PeerReader(HttpCalls calls) {
			this.calls = calls;
		}

		@Override
		public CompletionStage<StoreResult> list(String table, String from) {
			return changes(table, 0, 0);
		}

		@Override
		public CompletionStage<StoreResult> changes(String table, long after, long waitMs) {
			String uri = PATH + "?table=" + URLEncoder.encode(table, StandardCharsets.UTF_8) + "&after=" + after;
			return this.calls.call("GET", uri, new byte[0], TIMEOUT_MS).thenApply(this::answer);
		}

		private StoreResult answer(HttpCalls.Reply reply) {
			return switch (reply.status()) {
				case 200 -> PeerTables.this.codec.decode(reply.body());
				case 410 -> new StoreResult.HistoryLost();
				default -> new StoreResult.Unavailable("status " + reply.status() + ": " + reply.text());
			};
		}

	}

}
