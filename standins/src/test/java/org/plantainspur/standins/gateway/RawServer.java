package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

/**
 * A server on loopback whose handler reads and writes any bytes, for responses that a
 * proper HTTP server does not send. Closing it closes all connections.
 */
final class RawServer implements AutoCloseable {

	private final ServerSocket listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private final ConnectionHandler handler;

	RawServer(ConnectionHandler handler) throws IOException {
		this.handler = handler;
		startDaemonThread(this::acceptConnections);
	}

	int port() {
		return this.listener.getLocalPort();
	}

	private void acceptConnections() {
		while (!this.listener.isClosed()) {
			try {
				Socket connection = this.listener.accept();
				this.connections.add(connection);
				startDaemonThread(() -> serve(connection));
			}
			catch (IOException ex) {
				// The listener was closed.
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			this.handler.serve(new Connection(connection));
		}
		catch (IOException ex) {
			// The host closed the connection.
		}
		finally {
			this.connections.remove(connection);
		}
	}

	static void startDaemonThread(Runnable task) {
		Thread thread = new Thread(task, "raw-server");
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

	/**
	 * Serves one connection.
	 */
	interface ConnectionHandler {

		void serve(Connection connection) throws IOException;

	}

	/**
	 * One connection of a client.
	 */
	static final class Connection {

		private final Socket socket;

		private final InputStream input;

		private final OutputStream output;

		private Connection(Socket socket) throws IOException {
			this.socket = socket;
			socket.setTcpNoDelay(true);
			this.input = socket.getInputStream();
			this.output = socket.getOutputStream();
		}

		/**
		 * Reads the head of a request without a body, and returns its id, or {@code null}
		 * at the end of the connection.
		 */
		@Nullable String readRequestId() throws IOException {
			StringBuilder head = new StringBuilder();
			while (head.indexOf("\r\n\r\n") < 0) {
				int next = this.input.read();
				if (next < 0) {
					return null;
				}
				head.append((char) next);
			}
			String name = "X-Plantainspur-Attempt-Id: ";
			return head.toString()
				.lines()
				.filter((line) -> line.regionMatches(true, 0, name, 0, name.length()))
				.map((line) -> line.substring(name.length()))
				.findFirst()
				.orElse("");
		}

		InputStream input() {
			return this.input;
		}

		OutputStream output() {
			return this.output;
		}

		void write(String text) throws IOException {
			this.output.write(text.getBytes(StandardCharsets.ISO_8859_1));
			this.output.flush();
		}

		/** Closes the connection with a reset. */
		void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

		/** Writes a text again and again until the host closes the connection. */
		void writeEndlessly(String text) throws IOException {
			byte[] bytes = text.repeat(Math.max(1, 4_096 / text.length())).getBytes(StandardCharsets.ISO_8859_1);
			while (true) {
				this.output.write(bytes);
			}
		}

	}

}
