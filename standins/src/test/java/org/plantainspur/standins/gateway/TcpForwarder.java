package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Forwards connections to a port on loopback until it is closed, so that a test can cut
 * one process off from a server that others still reach. On request, the connections that
 * are open go silent for good: they stay open and carry nothing more, while new ones
 * work. In an outage, new connections are silent, too.
 */
final class TcpForwarder implements AutoCloseable {

	private static final int BUFFER_BYTES = 8_192;

	private final RawServer server;

	/** Connections of earlier generations are silent. */
	private final AtomicInteger generation = new AtomicInteger();

	private volatile boolean outage;

	TcpForwarder(int targetPort) throws IOException {
		this.server = new RawServer((client) -> forward(client, targetPort));
	}

	int port() {
		return this.server.port();
	}

	void silenceOpenConnections() {
		this.generation.incrementAndGet();
	}

	void beginOutage() {
		this.outage = true;
	}

	void endOutage() {
		silenceOpenConnections();
		this.outage = false;
	}

	private void forward(RawServer.Connection client, int targetPort) throws IOException {
		int openedIn = this.generation.get();
		try (Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort)) {
			target.setTcpNoDelay(true);
			RawServer.startDaemonThread(() -> copyResponses(target, client, openedIn));
			copy(client.input(), target.getOutputStream(), openedIn);
		}
	}

	private void copyResponses(Socket target, RawServer.Connection client, int openedIn) {
		try {
			copy(target.getInputStream(), client.output(), openedIn);
		}
		catch (IOException ex) {
			// One of the sides has closed its connection.
		}
	}

	// Bytes that arrive on a silent connection are lost.
	private void copy(InputStream from, OutputStream to, int openedIn) throws IOException {
		byte[] buffer = new byte[BUFFER_BYTES];
		int length = from.read(buffer);
		while (length >= 0) {
			if (!this.outage && openedIn == this.generation.get()) {
				to.write(buffer, 0, length);
				to.flush();
			}
			length = from.read(buffer);
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
