package org.plantainspur.standins.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

/**
 * An HTTP server that serves each connection on a thread of its own.
 */
public final class StandInServer implements AutoCloseable {

	/** The maximum number of connections that wait to be accepted. */
	private static final int BACKLOG = 1024;

	private final Handler handler;

	private final InetAddress address;

	private final int port;

	private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

	private @Nullable ServerSocket listener;

	/**
	 * Starts a server.
	 * @param address the IP address, such as {@code 127.0.0.1}
	 * @param port the port, 0 for any free one
	 * @param handler handles every request, on several threads at once
	 * @throws IOException if the address cannot be used
	 */
	public StandInServer(String address, int port, Handler handler) throws IOException {
		this.handler = handler;
		this.address = InetAddress.getByName(address);
		this.port = listen(port);
	}

	private synchronized int listen(int requestedPort) throws IOException {
		ServerSocket socket = new ServerSocket();
		socket.setReuseAddress(true);
		socket.bind(new InetSocketAddress(this.address, requestedPort), BACKLOG);
		this.listener = socket;
		startDaemonThread(() -> acceptConnections(socket), "accept " + socket.getLocalPort());
		return socket.getLocalPort();
	}

	/**
	 * Returns the port on which the server listens.
	 * @return the actual TCP port, also if the server was started with port 0
	 */
	public int port() {
		return this.port;
	}

	/**
	 * Listens on the same port again after {@link #close()}.
	 * @throws IOException if another process uses the port now
	 */
	public void listenAgain() throws IOException {
		listen(this.port);
	}

	/**
	 * Stops listening and resets every connection.
	 */
	@Override
	public synchronized void close() {
		try {
			if (this.listener != null) {
				this.listener.close();
			}
		}
		catch (IOException ex) {
			// The socket is unusable either way.
		}
		this.connections.forEach(Connection::reset);
	}

	private void acceptConnections(ServerSocket socket) {
		try {
			while (!socket.isClosed()) {
				Socket client = socket.accept();
				startDaemonThread(() -> serve(socket, client), "connection " + client.getPort());
			}
		}
		catch (IOException ex) {
			if (!socket.isClosed()) {
				System.err.println("port " + this.port + " can accept no more connections: " + ex.getMessage());
			}
		}
	}

	private void serve(ServerSocket socket, Socket client) {
		try {
			Connection connection = new Connection(client);
			this.connections.add(connection);
			try {
				// close() may have reset the connections before this one was added to
				// the set.
				if (socket.isClosed()) {
					connection.reset();
				}
				else {
					serve(connection);
				}
			}
			finally {
				this.connections.remove(connection);
				connection.close();
			}
		}
		catch (IOException ex) {
			// The client has closed the connection, or a simulated fault has reset it.
		}
	}

	private void serve(Connection connection) throws IOException {
		try {
			for (Request request = connection.readRequest(); request != null; request = connection.readRequest()) {
				new ServerExchange(request, connection).handleWith(this.handler);
				if (connection.isClosing()) {
					return;
				}
			}
		}
		catch (BadRequestException ex) {
			Response response = Response.error(Response.BAD_REQUEST, String.valueOf(ex.getMessage()));
			connection.writeResponse(response, response.body().length);
		}
	}

	private static void startDaemonThread(Runnable task, String name) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
	}

}
