package org.plantainspur.gateway.peer;

import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;

import io.netty.channel.EventLoop;

import org.plantainspur.core.store.StoreResult;
import org.plantainspur.core.store.StoreVersion;
import org.plantainspur.core.store.TableReader;
import org.plantainspur.gateway.IpAddressAndPort;
import org.plantainspur.gateway.http.EventLoopHttpClient;

/**
 * Provides readers that fetch tables from other hosts over HTTP. Used by one thread.
 */
public final class PeerTableReaders {

	/** The path of the endpoint at which hosts fetch rows from each other. */
	public static final String PATH = "/rows";

	/**
	 * The longest wait for a response of another host. Short, as that host is in the same
	 * failure domain and the store can be read instead.
	 */
	private static final long TIMEOUT_MS = 400;

	private final EventLoop eventLoop;

	private final RowsCodec codec = new RowsCodec();

	private final Map<String, TableReader> readers = new HashMap<>();

	public PeerTableReaders(EventLoop eventLoop) {
		this.eventLoop = eventLoop;
	}

	/**
	 * Returns the reader of another host's copies of the tables.
	 * @param address the host's peer address, {@code ip:port}
	 * @return always the same reader for the same address
	 */
	public TableReader readerOf(String address) {
		return this.readers.computeIfAbsent(address, (peerAddress) -> {
			InetSocketAddress socketAddress = IpAddressAndPort.parse(peerAddress);
			if (socketAddress == null) {
				throw new IllegalArgumentException("peer address '" + peerAddress + "' is not IP:PORT");
			}
			return new PeerReader(new EventLoopHttpClient(this.eventLoop, socketAddress));
		});
	}

	private final class PeerReader implements TableReader {

		private final EventLoopHttpClient httpClient;

		private PeerReader(EventLoopHttpClient httpClient) {
			this.httpClient = httpClient;
		}

		@Override
		public CompletionStage<StoreResult> list(String table, String from) {
			return changes(table, StoreVersion.NONE, 0);
		}

		@Override
		public CompletionStage<StoreResult> changes(String table, StoreVersion after, long waitMs) {
			String uri = PATH + "?table=" + URLEncoder.encode(table, StandardCharsets.UTF_8) + "&after="
					+ after.number() + "&era=" + after.era();
			// Fetches are rare, and a connection that was idle since the last one may
			// have
			// gone silent.
			this.httpClient.closeIdleConnections();
			return this.httpClient.call("GET", uri, new byte[0], TIMEOUT_MS)
				.thenApply(this::toResult)
				.exceptionally((failure) -> new StoreResult.Unavailable("reading the response failed: " + failure));
		}

		private StoreResult toResult(EventLoopHttpClient.Reply reply) {
			return switch (reply.status()) {
				case 200 -> PeerTableReaders.this.codec.decode(reply.body());
				case 410 -> new StoreResult.HistoryLost();
				default -> new StoreResult.Unavailable("status " + reply.status() + ": " + reply.bodyExcerpt());
			};
		}

	}

}
