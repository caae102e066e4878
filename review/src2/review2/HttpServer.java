package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A plain HTTP/1.1 server on 127.0.0.1 with one thread for each connection. */
final class HttpServer {

	private final ServerSocket socket;

	private final Handler handler;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	HttpServer(int port, Handler handler) throws IOException {
		this.socket = new ServerSocket();
		this.socket.setReuseAddress(true);
		this.socket.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
		this.handler = handler;
		thread(this::acceptAll);
	}

	static void thread(Runnable task) {
		Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
		thread.setDaemon(true);
		thread.start();
	}

	int port() {
		return this.socket.getLocalPort();
	}

	/** Ends as a process that crashes: the port is closed and all connections are reset. */
	void crash() {
		try {
			this.socket.close();
			for (Socket connection : this.connections) {
				connection.setSoLinger(true, 0);
				connection.close();
			}
		}
		catch (IOException ex) {
			// The connection has ended already.
		}
	}

	private void acceptAll() {
		while (!this.socket.isClosed()) {
			try {
				Socket connection = this.socket.accept();
				connection.setTcpNoDelay(true);
				this.connections.add(connection);
				if (this.socket.isClosed()) {
					crash();
				}
				thread(() -> serve(connection));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			InputStream in = new BufferedInputStream(connection.getInputStream());
			Request request = read(in);
			while (request != null) {
				Reply reply = this.handler.handle(request);
				if (reply == null) {
					return;
				}
				connection.getOutputStream().write(reply.bytes());
				request = read(in);
			}
		}
		catch (IOException ex) {
			// The other side has left, or this server has crashed.
		}
		finally {
			this.connections.remove(connection);
		}
	}

	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		int next = in.read();
		while (next != '\n') {
			if (next < 0) {
				if (bytes.size() == 0) {
					return null;
				}
				throw new EOFException("the message ends within its head");
			}
			if (next != '\r') {
				bytes.write(next);
			}
			next = in.read();
		}
		return bytes.toString(StandardCharsets.ISO_8859_1);
	}

	static Map<String, String> headers(InputStream in) throws IOException {
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		String line = line(in);
		while (line != null && !line.isEmpty()) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
			line = line(in);
		}
		return headers;
	}

	private static Request read(InputStream in) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		String[] parts = first.split(" ");
		Map<String, String> headers = headers(in);
		byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
		return new Request(parts[0], parts[1], headers, body);
	}

	interface Handler {

		/** Returns the answer, or null to close the connection. */
		Reply handle(Request request) throws IOException;

	}

	record Request(String method, String uri, Map<String, String> headers, byte[] body) {

		String path() {
			int mark = this.uri.indexOf('?');
			return (mark < 0) ? this.uri : this.uri.substring(0, mark);
		}

		String query(String name) {
			int mark = this.uri.indexOf('?');
			for (String pair : this.uri.substring(mark + 1).split("&")) {
				if (pair.startsWith(name + "=")) {
					return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
				}
			}
			return "";
		}

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		String bodyText() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	record Reply(int status, Map<String, String> headers, byte[] body) {

		static Reply of(int status, String text) {
			return new Reply(status, new TreeMap<>(), text.getBytes(StandardCharsets.UTF_8));
		}

		Reply with(String name, String value) {
			this.headers.put(name, value);
			return this;
		}

		byte[] bytes() {
			StringBuilder head = new StringBuilder("HTTP/1.1 " + this.status + " Status\r\n");
			this.headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			head.append("Content-Length: ").append(this.body.length).append("\r\n\r\n");
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			bytes.writeBytes(this.body);
			return bytes.toByteArray();
		}

	}

}
