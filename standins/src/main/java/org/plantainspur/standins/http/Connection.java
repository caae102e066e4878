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
 * Reads HTTP/1.1 requests from one client connection and writes their responses, one at a
 * time.
 */
final class Connection {

	private static final int MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;

	private static final int MAXIMUM_LINE_BYTES = 64 * 1024;

	private static final int HEXADECIMAL_RADIX = 16;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Socket socket;

	private final PushbackInputStream input;

	/** Whether the server closes the connection after the next response. */
	private boolean closing;

	Connection(Socket socket) throws IOException {
		this.socket = socket;
		this.socket.setTcpNoDelay(true);
		this.input = new PushbackInputStream(new BufferedInputStream(socket.getInputStream()));
	}

	/**
	 * Reads the next request.
	 * @return the request, or {@code null} if the client closed the connection
	 * @throws IOException if the connection fails
	 * @throws BadRequestException if the request line, a header line or the body size is
	 * malformed or too large
	 */
	@Nullable Request readRequest() throws IOException {
		String first = readLine();
		if (first == null) {
			return null;
		}
		// After a malformed request, the next one cannot be found.
		this.closing = true;
		String[] parts = first.split(" ");
		if (parts.length != 3 || !parts[1].startsWith("/")) {
			throw new BadRequestException("the request line '" + first + "' is not 'METHOD /path HTTP/1.1'");
		}
		Map<String, String> headers = readHeaders();
		byte[] body = readBody(headers);
		this.closing = "close".equalsIgnoreCase(headers.get("connection"));
		return new Request(parts[0], parts[1], headers, body, this.socket.getInetAddress().getHostAddress(),
				this.socket.getLocalAddress().getHostAddress() + ":" + this.socket.getLocalPort());
	}

	private Map<String, String> readHeaders() throws IOException {
		Map<String, String> headers = new LinkedHashMap<>();
		for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
			int colon = line.indexOf(':');
			if (colon <= 0) {
				throw new BadRequestException("the header line '" + line + "' has no colon");
			}
			headers.putIfAbsent(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return headers;
	}

	private byte[] readBody(Map<String, String> headers) throws IOException {
		if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
				body.write(readExactly(size));
				readLine();
			}
			readHeaders();
			return body.toByteArray();
		}
		return readExactly(parseSize(headers.getOrDefault("content-length", "0"), 10));
	}

	private int readChunkSize() throws IOException {
		return parseSize(String.valueOf(readLine()).split(";")[0], HEXADECIMAL_RADIX);
	}

	private static int parseSize(String text, int radix) {
		try {
			int size = Integer.parseInt(text.trim(), radix);
			if (size >= 0 && size <= MAXIMUM_BODY_BYTES) {
				return size;
			}
		}
		catch (NumberFormatException ex) {
			// The exception below reports it, as it does a size out of bounds.
		}
		throw new BadRequestException(
				"the body size '" + text + "' is not a number of bytes between 0 and " + MAXIMUM_BODY_BYTES);
	}

	private byte[] readExactly(int size) throws IOException {
		byte[] bytes = this.input.readNBytes(size);
		if (bytes.length < size) {
			throw new SocketException("the connection ended after " + bytes.length + " of " + size + " body bytes");
		}
		return bytes;
	}

	private @Nullable String readLine() throws IOException {
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

	boolean isClosing() {
		return this.closing;
	}

	// Content-Length announces the whole body, of which only the first bodyBytes bytes
	// are sent.
	void writeResponse(Response response, int bodyBytes) throws IOException {
		StringBuilder head = new StringBuilder();
		head.append("HTTP/1.1 ").append(response.status()).append(" -\r\n");
		response.headers().forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		if (this.closing) {
			// A client that is not told sends its next request on this connection.
			head.append("Connection: close\r\n");
		}
		head.append("Content-Length: ").append(response.body().length).append("\r\n\r\n");
		ByteArrayOutputStream message = new ByteArrayOutputStream();
		message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		message.write(response.body(), 0, bodyBytes);
		this.socket.getOutputStream().write(message.toByteArray());
	}

	/**
	 * Waits for the given time or until the client closes the connection. The wait is a
	 * blocking read, so that the close is noticed without polling. If the client
	 * pipelines its next request, a later close is not noticed before the time is over.
	 * @param millis the longest wait, in milliseconds
	 * @return {@code true} if the connection is still open
	 */
	boolean waitWhileConnected(long millis) {
		long endNanos = System.nanoTime() + millis * NANOS_PER_MILLI;
		try {
			long remainingMillis = millis;
			while (remainingMillis > 0) {
				this.socket.setSoTimeout((int) Math.min(remainingMillis, Integer.MAX_VALUE));
				int next = this.input.read();
				if (next < 0) {
					return false;
				}
				this.input.unread(next);
				// With unread input, further reads would return at once and spin.
				sleep(endNanos - System.nanoTime());
				remainingMillis = (endNanos - System.nanoTime()) / NANOS_PER_MILLI;
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
			// With a linger time of 0, closing the socket sends a TCP reset.
			this.socket.setSoLinger(true, 0);
		}
		catch (SocketException ex) {
			// The socket is closed already.
		}
		close();
	}

	void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// The connection is unusable either way.
		}
	}

}
