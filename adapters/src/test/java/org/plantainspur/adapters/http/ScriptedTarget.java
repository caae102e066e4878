package org.plantainspur.adapters.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A target that runs a script of the test on each connection that it accepts.
 */
final class ScriptedTarget implements AutoCloseable {

	private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final AtomicInteger connections = new AtomicInteger();

	ScriptedTarget(Script script) throws IOException {
		start(() -> {
			while (true) {
				Socket socket = this.listener.accept();
				this.sockets.add(socket);
				int number = this.connections.incrementAndGet();
				start(() -> script.run(new TargetSideConnection(socket, number, this.requests)));
			}
		});
	}

	private static void start(IoTask task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (IOException | InterruptedException ex) {
				// The test or the client ended the connection.
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	int connections() {
		return this.connections.get();
	}

	List<String> requests() {
		return this.requests;
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	interface Script {

		void run(TargetSideConnection connection) throws IOException, InterruptedException;

	}

	private interface IoTask {

		void run() throws IOException, InterruptedException;

	}

	/**
	 * The target's side of one connection.
	 */
	static final class TargetSideConnection {

		private final Socket socket;

		private final int number;

		private final List<String> requests;

		private final InputStream input;

		TargetSideConnection(Socket socket, int number, List<String> requests) throws IOException {
			this.socket = socket;
			this.number = number;
			this.requests = requests;
			this.input = new BufferedInputStream(socket.getInputStream());
		}

		int number() {
			return this.number;
		}

		/**
		 * Reads the request line and the headers of one request, and no body.
		 * @return the text up to and including the empty line
		 * @throws IOException if the connection ends
		 */
		String readRequestHead() throws IOException {
			StringBuilder head = new StringBuilder();
			while (head.indexOf("\r\n\r\n") < 0) {
				int next = this.input.read();
				if (next < 0) {
					throw new IOException("the connection ended");
				}
				head.append((char) next);
			}
			this.requests.add(head.toString());
			return head.toString();
		}

		void write(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
			this.socket.getOutputStream().flush();
		}

		void close() throws IOException {
			this.socket.close();
		}

		void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

	}

}
