package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Forwards connections to a port on loopback until it is closed, so that a test can cut
 * one process off from a server that others still reach.
 */
final class TcpForwarder implements AutoCloseable {

	private final ServerSocket listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private final int targetPort;

	TcpForwarder(int targetPort) throws IOException {
		this.targetPort = targetPort;
		startDaemonThread(this::acceptConnections);
	}

	int port() {
		return this.listener.getLocalPort();
	}

	private void acceptConnections() {
		while (!this.listener.isClosed()) {
			try {
				Socket client = this.listener.accept();
				Socket server = new Socket(InetAddress.getLoopbackAddress(), this.targetPort);
				this.connections.add(client);
				this.connections.add(server);
				startDaemonThread(() -> copy(client, server));
				startDaemonThread(() -> copy(server, client));
			}
			catch (IOException ex) {
				// The listener was closed, or the server is not reachable.
			}
		}
	}

	private void copy(Socket from, Socket to) {
		try (from; to) {
			from.getInputStream().transferTo(to.getOutputStream());
		}
		catch (IOException ex) {
			// One of the sides has closed its connection.
		}
		finally {
			this.connections.remove(from);
		}
	}

	private static void startDaemonThread(Runnable task) {
		Thread thread = new Thread(task, "tcp-forwarder");
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket connection : this.connections) {
			connection.close();
		}
	}

}
