package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;

/**
 * Forwards connections to a port on loopback until it is closed, so that a test can cut
 * one process off from a server that others still reach.
 */
final class TcpForwarder implements AutoCloseable {

	private final RawServer server;

	TcpForwarder(int targetPort) throws IOException {
		this.server = new RawServer((client) -> forward(client, targetPort));
	}

	int port() {
		return this.server.port();
	}

	private static void forward(RawServer.Connection client, int targetPort) throws IOException {
		try (Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort)) {
			RawServer.startDaemonThread(() -> copyResponses(target, client));
			client.input().transferTo(target.getOutputStream());
		}
	}

	private static void copyResponses(Socket target, RawServer.Connection client) {
		try {
			target.getInputStream().transferTo(client.output());
		}
		catch (IOException ex) {
			// One of the sides has closed its connection.
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
