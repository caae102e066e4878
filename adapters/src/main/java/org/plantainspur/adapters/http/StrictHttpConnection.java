package org.plantainspur.adapters.http;

import java.io.IOException;
import java.net.Socket;

import javax.net.ssl.SSLSocket;

import org.apache.hc.client5.http.impl.io.DefaultManagedHttpClientConnection;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/**
 * A client's connection that accepts complete responses only, and whose stale check does
 * not block. HttpClient's own stale check waits 1 ms for input on each live connection,
 * which is a third of the latency budget, and it accepts unsolicited input as the start
 * of the next response.
 */
final class StrictHttpConnection extends DefaultManagedHttpClientConnection {

	/**
	 * Timeout passed to HttpClient, which takes 0 as no timeout. Connections to targets
	 * do not wait for it, as their sockets have channels.
	 */
	private static final Timeout STALE_CHECK_TIMEOUT = Timeout.ofMilliseconds(1);

	private volatile @Nullable StrictSocketHolder socketHolder;

	/**
	 * Creates a connection that is not open yet.
	 * @param id the name of the connection in HttpClient's log
	 */
	StrictHttpConnection(String id) {
		super(id, null, null, null, null, null, null, (config) -> new StrictResponseParser(config));
	}

	@Override
	public void bind(Socket connectedSocket) throws IOException {
		StrictSocketHolder holder = new StrictSocketHolder(connectedSocket);
		bind(holder);
		this.socketHolder = holder;
	}

	@Override
	public void bind(SSLSocket tlsSocket, Socket connectedSocket) throws IOException {
		StrictSocketHolder holder = new StrictSocketHolder(tlsSocket, connectedSocket);
		bind(holder);
		this.socketHolder = holder;
	}

	/**
	 * Returns whether the connection must not carry another request.
	 * @return whether the connection is closed or broken, or has input that belongs to no
	 * request
	 * @throws IOException if the check fails
	 */
	@Override
	public boolean isStale() throws IOException {
		StrictSocketHolder holder = this.socketHolder;
		if (holder == null || !isOpen()) {
			return true;
		}
		holder.nonBlocking(true);
		try {
			return super.isStale() || isDataAvailable(STALE_CHECK_TIMEOUT);
		}
		finally {
			holder.nonBlocking(false);
		}
	}

}
