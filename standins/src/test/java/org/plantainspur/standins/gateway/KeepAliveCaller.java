package org.plantainspur.standins.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import java.util.function.BooleanSupplier;

import org.jspecify.annotations.Nullable;

/**
 * A caller that sends one request after the other to a host on a connection that it keeps
 * open, and records the responses.
 */
final class KeepAliveCaller implements Runnable {

	private static final int TIMEOUT_MILLIS = 8_000;

	private final String name;

	private final GatewayFixture.HostProcess host;

	private final Random random;

	private final SoakRecord record;

	private final BooleanSupplier ended;

	private @Nullable Socket socket;

	private InputStream input = InputStream.nullInputStream();

	KeepAliveCaller(String name, GatewayFixture.HostProcess host, long seed, SoakRecord record, BooleanSupplier ended) {
		this.name = name;
		this.host = host;
		this.random = new Random(seed);
		this.record = record;
		this.ended = ended;
	}

	@Override
	public void run() {
		for (int i = 0; !this.ended.getAsBoolean(); i++) {
			String id = String.format(Locale.ROOT, "%s-%08x-%d", this.name, this.random.nextInt(), i);
			String path = new String[] { "/read/", "/read/", "/once/", "/book/" }[this.random.nextInt(4)] + i;
			boolean onceOnly = !path.startsWith("/read/");
			int bodyBytes = this.random.nextInt(3) * 40;
			String request = onceOnly
					? GatewayFixture.requestText("POST", path, id, "Content-Length: " + bodyBytes + "\r\n")
							+ "x".repeat(bodyBytes)
					: GatewayFixture.requestText("GET", path, id, "");
			this.record.addReceived(id, exchange(request, onceOnly));
			GatewayFixture.sleep(this.random.nextInt(4));
		}
		close();
	}

	private SoakRecord.Received exchange(String request, boolean onceOnly) {
		try {
			Socket open = this.socket;
			if (open == null) {
				open = new Socket("127.0.0.1", this.host.port());
				open.setSoTimeout(TIMEOUT_MILLIS);
				open.setTcpNoDelay(true);
				this.socket = open;
				this.input = new BufferedInputStream(open.getInputStream());
			}
			open.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			return readResponse(onceOnly);
		}
		catch (IOException | NumberFormatException ex) {
			close();
			return new SoakRecord.Received(hostName(), onceOnly, 0, "", String.valueOf(ex));
		}
	}

	private String hostName() {
		return "127.0.0.1:" + this.host.port();
	}

	private SoakRecord.Received readResponse(boolean onceOnly) throws IOException {
		StringBuilder text = new StringBuilder();
		while (text.indexOf("\r\n\r\n") < 0) {
			int next = this.input.read();
			if (next < 0) {
				throw new IOException("closed after " + text);
			}
			text.append((char) next);
		}
		String head = text.toString();
		int length = Integer.parseInt(headerOf(head, "Content-Length"));
		byte[] body = this.input.readNBytes(length);
		if (body.length < length) {
			throw new IOException("closed within the body after " + text);
		}
		if (headerOf(head, "Connection").equalsIgnoreCase("close")) {
			close();
		}
		int status = Integer.parseInt(head.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
		return new SoakRecord.Received(hostName(), onceOnly, status,
				headerOf(head, "X-Plantainspur-Response-Signature"), new String(body, StandardCharsets.ISO_8859_1));
	}

	private static String headerOf(String head, String name) {
		String start = name.toLowerCase(Locale.ROOT) + ":";
		return head.lines()
			.filter((line) -> line.toLowerCase(Locale.ROOT).startsWith(start))
			.map((line) -> line.substring(start.length()).trim())
			.findFirst()
			.orElse("");
	}

	private void close() {
		Socket open = this.socket;
		this.socket = null;
		if (open != null) {
			try {
				open.close();
			}
			catch (IOException ex) {
				this.record.count("error while closing");
			}
		}
	}

}
