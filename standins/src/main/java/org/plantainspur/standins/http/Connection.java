package org.plantainspur.standins.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * One connection: reads requests and writes answers, one after the other.
 */
final class Connection {

	private static final int MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;

	private static final int MAXIMUM_LINE_BYTES = 64 * 1024;

	private static final int HEXADECIMAL = 16;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Socket socket;

	private final PushbackInputStream input;

	Connection(Socket socket) throws IOException {
		this.socket = socket;
		this.socket.setTcpNoDelay(true);
		this.input = new PushbackInputStream(new BufferedInputStream(socket.getInputStream()));
	}

	/**
	 * Reads the next request.
	 * @return the request, or {@code null} at the end of the connection
	 * @throws IOException if the connection fails
	 * @throws BadRequestException if the request is not HTTP
	 */
	@Nullable Request read() throws IOException {
		String first = line();
		if (first == null) {
			return null;
		}
		String[] parts = first.split(" ");
		if (parts.length != 3 || !parts[1].startsWith("/")) {
			throw new BadRequestException("the request line '" + first + "' is malformed");
		}
		Map<String, String> headers = headers();
		return new Request(parts[0], parts[1], headers, body(headers), this.socket.getInetAddress().getHostAddress(),
				this.socket.getLocalAddress().getHostAddress() + ":" + this.socket.getLocalPort());
	}

	private Map<String, String> headers() throws IOException {
		Map<String, String> headers = new LinkedHashMap<>();
		for (String line = line(); line != null && !line.isEmpty(); line = line()) {
			int colon = line.indexOf(':');
			if (colon <= 0) {
				throw new BadRequestException("the header line '" + line + "' has no colon");
			}
			headers.putIfAbsent(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return headers;
	}

	private byte[] body(Map<String, String> headers) throws IOException {
		if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			for (int size = chunkSize(); size > 0; size = chunkSize()) {
				body.write(exactly(size));
				line();
			}
			headers();
			return body.toByteArray();
		}
		return exactly(size(headers.getOrDefault("content-length", "0"), 10));
	}

	private int chunkSize() throws IOException {
		return size(String.valueOf(line()).split(";")[0], HEXADECIMAL);
	}

	private static int size(String text, int radix) {
		try {
			int size = Integer.parseInt(text.trim(), radix);
			if (size >= 0 && size <= MAXIMUM_BODY_BYTES) {
				return size;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below, together with sizes out of bounds.
		}
		throw new BadRequestException("the body size '" + text + "' is not between 0 and " + MAXIMUM_BODY_BYTES);
	}

	private byte[] exactly(int size) throws IOException {
		byte[] bytes = this.input.readNBytes(size);
		if (bytes.length < size) {
			throw new SocketException("the connection ended within a body");
		}
		return bytes;
	}

	private @Nullable String line() throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		for (int next = this.input.read(); next != '\n'; next = this.input.read()) {
			if (next < 0) {
				return null;
			}
			if (bytes.size() >= MAXIMUM_LINE_BYTES) {
				throw new BadRequestException("a line is longer than " + MAXIMUM_LINE_BYTES + " bytes");
			}
			if (next != '\r') {
				bytes.write(next);
			}
		}
		return bytes.toString(StandardCharsets.ISO_8859_1);
	}

	void write(Response response, int bodyBytes) throws IOException {
		StringBuilder head = new StringBuilder();
		head.append("HTTP/1.1 ").append(response.status()).append(" -\r\n");
		response.headers().forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		head.append("Content-Length: ").append(response.body().length).append("\r\n\r\n");
		ByteArrayOutputStream message = new ByteArrayOutputStream();
		message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		message.write(response.body(), 0, bodyBytes);
		this.socket.getOutputStream().write(message.toByteArray());
	}

	/**
	 * Waits in a read, so that the end of the connection is noticed without polling.
	 * @param millis how long to wait, in milliseconds
	 * @return whether the connection is still open
	 */
	boolean pause(long millis) {
		long end = System.nanoTime() + millis * NANOS_PER_MILLI;
		try {
			long left = millis;
			while (left > 0) {
				this.socket.setSoTimeout((int) Math.min(left, Integer.MAX_VALUE));
				int next = this.input.read();
				if (next < 0) {
					return false;
				}
				this.input.unread(next);
				sleep(end - System.nanoTime());
				left = (end - System.nanoTime()) / NANOS_PER_MILLI;
			}
			return !this.socket.isClosed();
		}
		catch (SocketTimeoutException ex) {
			return true;
		}
		catch (IOException ex) {
			return false;
		}
		finally {
			clearTimeout();
		}
	}

	private static void sleep(long nanos) {
		try {
			Thread.sleep(Math.max(0, nanos / NANOS_PER_MILLI));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void clearTimeout() {
		try {
			this.socket.setSoTimeout(0);
		}
		catch (SocketException ex) {
			// The socket is closed; the next read reports it.
		}
	}

	void reset() {
		try {
			this.socket.setSoLinger(true, 0);
		}
		catch (SocketException ex) {
			// Already closed.
		}
		close();
	}

	void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// Nothing is left to close.
		}
	}

}
