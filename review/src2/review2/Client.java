package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Calls of clients and of the platform. */
final class Client {

	private static final int CONNECT_MS = 1_000;

	private static final Pattern ADDRESS = Pattern.compile("\"127\\.0\\.0\\.1:(\\d+)\"");

	private Client() {
	}

	static String newId() {
		return "%016x".formatted(ThreadLocalRandom.current().nextLong());
	}

	/** Sends one request on a new connection; status 0 means that no whole answer came. */
	static Answer send(int port, String method, String path, String id, String key, int deadlineMs, String body) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_MS);
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(deadlineMs + 500);
			String head = method + " " + path + " HTTP/1.1\r\nHost: jepu9.example\r\nX-Plantainspur-Attempt-Id: " + id
					+ "\r\nX-Plantainspur-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer " + key + "\r\n"
					+ (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n";
			socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
			return read(new BufferedInputStream(socket.getInputStream()));
		}
		catch (IOException ex) {
			return new Answer(0, Map.of(), String.valueOf(ex.getMessage()));
		}
	}

	static Answer read(InputStream in) throws IOException {
		String first = HttpServer.line(in);
		if (first == null) {
			throw new IOException("the channel was closed without an answer");
		}
		Map<String, String> headers = HttpServer.headers(in);
		int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
		byte[] body = in.readNBytes(length);
		if (body.length < length) {
			throw new IOException("the answer is not complete");
		}
		return new Answer(Integer.parseInt(first.split(" ")[1]), headers, new String(body, StandardCharsets.UTF_8));
	}

	static int status(int port, String path) {
		return send(port, "GET", path, newId(), "", 1_000, "").status();
	}

	/** Asks a directory where to connect, as clients do; empty if it can't tell. */
	static List<Integer> resolve(int directoryPort, String zone) {
		Answer answer = send(directoryPort, "GET", "/resolve?name=jepu9.example&region=r&zone=" + zone, newId(), "",
				1_000, "");
		List<Integer> ports = new ArrayList<>();
		if (answer.status() == 200) {
			Matcher matcher = ADDRESS.matcher(answer.body());
			while (matcher.find()) {
				ports.add(Integer.valueOf(matcher.group(1)));
			}
		}
		return ports;
	}

	record Answer(int status, Map<String, String> headers, String body) {
	}

}
