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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A target that runs a script of the test on each connection that it accepts.
 */
public final class ScriptedTarget implements AutoCloseable {

	private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final AtomicInteger connections = new AtomicInteger();

	public ScriptedTarget(Script script) throws IOException {
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

	public String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	public int connections() {
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

	public interface Script {

		void run(TargetSideConnection connection) throws IOException, InterruptedException;

	}

	private interface IoTask {

		void run() throws IOException, InterruptedException;

	}

	/**
	 * The target's side of one connection.
	 */
	public static final class TargetSideConnection {

		private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)\\r\\nContent-Length: (\\d+)\\r\\n");

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

		public int number() {
			return this.number;
		}

		/**
		 * Reads the request line and the headers of one request, and no body.
		 * @return the text up to and including the empty line
		 * @throws IOException if the connection ends
		 */
		public String readRequestHead() throws IOException {
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

		public int read() throws IOException {
			return this.input.read();
		}

		/**
		 * Reads one request with its body, if it has a Content-Length.
		 * @return the text up to and including the empty line
		 * @throws IOException if the connection ends
		 */
		public String readRequest() throws IOException {
			String head = readRequestHead();
			Matcher length = CONTENT_LENGTH.matcher(head);
			if (length.find()) {
				this.input.readNBytes(Integer.parseInt(length.group(1)));
			}
			return head;
		}

		public void write(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
			this.socket.getOutputStream().flush();
		}

		public void close() throws IOException {
			this.socket.close();
		}

		public void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

	}

}
