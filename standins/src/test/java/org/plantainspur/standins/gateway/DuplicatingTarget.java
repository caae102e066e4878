package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;

import org.jspecify.annotations.Nullable;

/**
 * A target that fails or declines a part of its requests, sends some responses twice, and
 * breaks off others. What it does with a request follows from the seed, its own name and
 * the request's id.
 */
final class DuplicatingTarget implements RawServer.ConnectionHandler {

	private static final String ID_HEADER = "X-Plantainspur-Attempt-Id";

	private static final String SIGNATURE_HEADER = "X-Plantainspur-Response-Signature";

	private final String name;

	private final long seed;

	private final Rates rates;

	private final SoakRecord record;

	private final ScheduledExecutorService timer;

	private final AtomicInteger connections = new AtomicInteger();

	DuplicatingTarget(String name, long seed, Rates rates, SoakRecord record, ScheduledExecutorService timer) {
		this.name = name;
		this.seed = seed;
		this.rates = rates;
		this.record = record;
		this.timer = timer;
	}

	@Override
	public void serve(RawServer.Connection connection) throws IOException {
		String connectionName = this.name + "/" + this.connections.incrementAndGet();
		// The JIT compiler of JDK 17 was seen to eliminate a monitor here.
		Lock writeLock = new ReentrantLock();
		AtomicBoolean ended = new AtomicBoolean();
		String previous = "nothing";
		String latestCopy = "no copy";
		SecondCopy pending = null;
		int position = 0;
		for (Request request = readRequest(connection); request != null; request = readRequest(connection)) {
			if (request.id().isEmpty()) {
				connection.write("HTTP/1.1 200 OK\r\nX-Plantainspur-Instance-Id: " + this.name
						+ "\r\nContent-Length: 0\r\n\r\n");
				previous = "a health check";
				continue;
			}
			position++;
			this.record.count((position == 1) ? "first on a connection" : "on a used connection");
			Random random = new Random(this.seed ^ (31L * request.id().hashCode() + this.name.hashCode()));
			Plan plan = Plan.of(request.id(), this.name, this.rates, random);
			this.record.addSent(request.id(), new SoakRecord.Sent(plan.status(), plan.signature(), plan.body(),
					plan.ran(),
					connectionName + "#" + position + " " + plan.ending() + " after " + previous + ", " + latestCopy));
			GatewayFixture.sleep(random.nextInt(6));
			writeLock.lock();
			try {
				if (pending != null) {
					writeInPieces(connection, pending.bytes(), pending.pieces(), random);
				}
				pending = null;
				SecondCopy copy = plan.copy();
				boolean atOnce = copy != null && copy.moment() == SecondCopy.Moment.AT_ONCE;
				if (atOnce && copy != null && copy.pieces() == 1) {
					connection.write(plan.bytes() + copy.bytes());
				}
				else {
					writeInPieces(connection, plan.bytes(), (random.nextInt(4) == 0) ? 3 : 1, random);
					if (atOnce && copy != null) {
						writeInPieces(connection, copy.bytes(), copy.pieces(), random);
					}
				}
				ended.set(plan.ending() != Ending.KEEP_OPEN);
				if (copy != null && copy.moment() == SecondCopy.Moment.BEFORE_NEXT_RESPONSE) {
					pending = copy;
				}
				else if (copy != null && copy.moment() == SecondCopy.Moment.LATE) {
					writeLate(connection, copy, writeLock, ended, random);
				}
				previous = request.id() + " status " + plan.status();
				if (copy != null) {
					this.record.count(copy.form());
					latestCopy = "latest copy at #" + position + " " + copy;
				}
			}
			finally {
				writeLock.unlock();
			}
			if (plan.ending() != Ending.KEEP_OPEN) {
				this.record.count(plan.ending().name());
				plan.ending().end(connection);
				return;
			}
		}
	}

	// Nothing is written behind the last response: the beginning of a copy behind a body
	// that ends with its connection cannot be told from the body.
	private void writeLate(RawServer.Connection connection, SecondCopy copy, Lock writeLock, AtomicBoolean ended,
			Random random) {
		this.timer.schedule(() -> {
			writeLock.lock();
			try {
				if (!ended.get()) {
					writeInPieces(connection, copy.bytes(), copy.pieces(), random);
				}
			}
			catch (IOException ex) {
				this.record.count("late copy to a closed connection");
			}
			finally {
				writeLock.unlock();
			}
		}, copy.delayMs(), TimeUnit.MILLISECONDS);
	}

	private static void writeInPieces(RawServer.Connection connection, String text, int pieces, Random random)
			throws IOException {
		int from = 0;
		for (int i = 1; i < pieces && from < text.length(); i++) {
			int to = from + random.nextInt(text.length() - from + 1);
			connection.write(text.substring(from, to));
			GatewayFixture.sleep(1 + random.nextInt(4));
			from = to;
		}
		connection.write(text.substring(from));
	}

	private static @Nullable Request readRequest(RawServer.Connection connection) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = connection.input().read();
			if (next < 0) {
				return null;
			}
			head.append((char) next);
		}
		String length = headerOf(head.toString(), "Content-Length");
		connection.input().readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
		return new Request(headerOf(head.toString(), ID_HEADER));
	}

	private static String headerOf(String head, String name) {
		String start = name.toLowerCase(Locale.ROOT) + ":";
		return head.lines()
			.filter((line) -> line.toLowerCase(Locale.ROOT).startsWith(start))
			.map((line) -> line.substring(start.length()).trim())
			.findFirst()
			.orElse("");
	}

	private record Request(String id) {
	}

	/**
	 * How often a target does what.
	 *
	 * @param failures the share of requests that fail
	 * @param declines the share of requests that are declined
	 * @param copies the share of responses that are sent twice
	 * @param truncations the share of responses that are broken off
	 */
	record Rates(double failures, double declines, double copies, double truncations) {
	}

	/** What happens to the connection after a response. */
	private enum Ending {

		KEEP_OPEN {
			@Override
			void end(RawServer.Connection connection) {
				// The connection carries more requests.
			}
		},

		CLOSE_AFTER_WHOLE_RESPONSE {
			@Override
			void end(RawServer.Connection connection) {
				// The server closes the connection.
			}
		},

		CLOSE_WITHIN_RESPONSE {
			@Override
			void end(RawServer.Connection connection) {
				// The server closes the connection.
			}
		},

		RESET_WITHIN_RESPONSE {
			@Override
			void end(RawServer.Connection connection) throws IOException {
				connection.reset();
			}
		};

		abstract void end(RawServer.Connection connection) throws IOException;

	}

	/** How the end of a body is marked. */
	private enum Framing {

		LENGTH {
			@Override
			String header(String body) {
				return "Content-Length: " + body.length();
			}

			@Override
			String encode(String body) {
				return body;
			}
		},

		CHUNKS {
			@Override
			String header(String body) {
				return "Transfer-Encoding: chunked";
			}

			@Override
			String encode(String body) {
				int middle = body.length() / 2;
				return chunk(body.substring(0, middle)) + chunk(body.substring(middle)) + "0\r\n\r\n";
			}

			private String chunk(String content) {
				return content.isEmpty() ? "" : Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
			}
		},

		END_OF_CONNECTION {
			@Override
			String header(String body) {
				return "Cache-Control: no-store";
			}

			@Override
			String encode(String body) {
				return body;
			}
		};

		abstract String header(String body);

		abstract String encode(String body);

	}

	/**
	 * What the target does with one request.
	 *
	 * @param status the status that it means to send
	 * @param signature the signature, empty if the request has not run
	 * @param body the whole body
	 * @param ran whether the request has run
	 * @param bytes what is sent, which may be broken off
	 * @param ending what happens to the connection then
	 * @param copy the second copy, if there is one
	 */
	private record Plan(int status, String signature, String body, boolean ran, String bytes, Ending ending,
			@Nullable SecondCopy copy) {

		private static Plan of(String id, String targetName, Rates rates, Random random) {
			double kind = random.nextDouble();
			boolean declined = kind < rates.declines();
			boolean failed = !declined && kind < rates.declines() + rates.failures();
			int status = declined ? 503 : failed ? 500 : new int[] { 200, 200, 200, 201, 404 }[random.nextInt(5)];
			String signature = declined ? "" : targetName + "." + id + "." + status;
			String body = declined ? "" : status + " of " + id + " " + "x".repeat(random.nextInt(300));
			int framingDraw = random.nextInt(20);
			Framing framing = (framingDraw < 14) ? Framing.LENGTH
					: (framingDraw < 19) ? Framing.CHUNKS : Framing.END_OF_CONNECTION;
			String response = response(id, status, signature, framing, body, random);
			String interim = (random.nextInt(20) == 0) ? "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n" : "";
			if (random.nextDouble() < rates.truncations()) {
				boolean reset = framing == Framing.END_OF_CONNECTION || random.nextBoolean();
				String part = response.substring(0, random.nextInt(response.length()));
				return new Plan(status, signature, body, !declined, interim + part,
						reset ? Ending.RESET_WITHIN_RESPONSE : Ending.CLOSE_WITHIN_RESPONSE, null);
			}
			boolean copied = framing != Framing.END_OF_CONNECTION && random.nextDouble() < rates.copies();
			return new Plan(status, signature, body, !declined, interim + response,
					(framing != Framing.END_OF_CONNECTION) ? Ending.KEEP_OPEN : Ending.CLOSE_AFTER_WHOLE_RESPONSE,
					copied ? SecondCopy.of(response, random) : null);
		}

		private static String response(String id, int status, String signature, Framing framing, String body,
				Random random) {
			List<String> headers = new ArrayList<>(List.of(ID_HEADER + ": " + id, framing.header(body),
					"Date: Sun, 06 Dec 2026 00:00:00 GMT", "Server: mill", "X-Plantainspur-Server-Load: 1,0,4"));
			headers.add(signature.isEmpty() ? "X-Plantainspur-Not-Executed: 1" : SIGNATURE_HEADER + ": " + signature);
			Collections.shuffle(headers, random);
			String reason = switch (status) {
				case 200 -> "OK";
				case 201 -> "Created";
				case 404 -> "Not Found";
				case 500 -> "Internal Server Error";
				default -> "Service Unavailable";
			};
			return "HTTP/1.1 " + status + " " + reason + "\r\n" + String.join("\r\n", headers) + "\r\n\r\n"
					+ framing.encode(body);
		}

	}

}
