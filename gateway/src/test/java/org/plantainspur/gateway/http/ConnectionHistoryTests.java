package org.plantainspur.gateway.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.plantainspur.core.proxy.BufferBudget;

import static org.assertj.core.api.Assertions.assertThat;

class ConnectionHistoryTests {

	/**
	 * Guards against a caller that gets a response with a status, body or promise that is
	 * not the one which the target meant for it, and against requests that wait for a
	 * response that cannot come.
	 */
	@Group
	class Histories {

		/**
		 * The system properties {@code histories.seed} and {@code histories.perTry} give
		 * other and more histories.
		 */
		@Property(tries = 4_000, seed = "31")
		void eachRequestEndsWithItsOwnResponseOrAnError(
				@ForAll @Size(max = 100) List<@IntRange(min = 0, max = 1_000_000) Integer> numbers) {
			long firstVariant = Long.getLong("histories.seed", 0);
			for (long variant = firstVariant; variant < firstVariant
					+ Integer.getInteger("histories.perTry", 1); variant++) {
				new History(new Choices(numbers, variant)).run();
			}
		}

	}

	/** The choices of a history. After the last number all choices are the first one. */
	private static final class Choices {

		private final List<Integer> numbers;

		// Makes other choices of the same numbers; 0 leaves them as they are.
		private final long variant;

		private int used;

		private Choices(List<Integer> numbers, long variant) {
			this.numbers = numbers;
			this.variant = variant;
		}

		int next(int bound) {
			if (this.used >= this.numbers.size()) {
				return 0;
			}
			long number = this.numbers.get(this.used);
			this.used++;
			if (this.variant != 0) {
				number = (this.variant * 31 + this.used) * 0x9E3779B97F4A7C15L ^ number * 0xC2B2AE3D27D4EB4FL;
				number ^= number >>> 29;
			}
			return (int) Math.floorMod(number, (long) bound);
		}

		boolean oneIn(int bound) {
			return next(bound) == bound - 1;
		}

	}

	/** How the end of a response's body is known. */
	private enum Framing {

		LENGTH, CHUNKED, UNTIL_CLOSE

	}

	/** A response as the target means it. */
	private record Response(String id, int status, boolean notRun, String signature, String body, Framing framing,
			boolean close, boolean idFirst, int chunk) {

		private static final String[] BODIES = { "done", "", "see HTTP/1.1 200 OK\r\nfor more\r\n", "5\r\na\r\n0\r\n",
				"0123456789".repeat(30), "HTTP/1.1 200 OK\r\nServer: example\r\n\r\n", "\r\n" };

		private static final int[] STATUSES = { 200, 500, 503, 201 };

		static Response choose(Choices choices, String id) {
			int status = STATUSES[choices.next(STATUSES.length)];
			Framing framing = Framing.values()[choices.next(5) % 3];
			return new Response(id, status, status == 503, "signature-of-" + id,
					BODIES[choices.next(BODIES.length)] + BODIES[choices.next(BODIES.length)], framing,
					framing == Framing.UNTIL_CLOSE || choices.oneIn(6), choices.next(2) == 0, 1 + choices.next(200));
		}

		String head() {
			String idLine = "Request-Id: " + this.id + "\r\n";
			return "HTTP/1.1 " + this.status + " " + ((this.status < 300) ? "OK" : "Failed") + "\r\n"
					+ (this.idFirst ? idLine : "") + "Date: Sat, 05 Dec 2026 17:00:00 GMT\r\n"
					+ (this.notRun ? "Not-Run: 1\r\n" : "") + "Signature: " + this.signature + "\r\n"
					+ (this.close ? "Connection: close\r\n" : "") + switch (this.framing) {
						case LENGTH -> "Content-Length: " + this.body.length() + "\r\n";
						case CHUNKED -> "Transfer-Encoding: chunked\r\n";
						case UNTIL_CLOSE -> "";
					} + (this.idFirst ? "" : idLine) + "\r\n";
		}

		String bytes() {
			if (this.framing != Framing.CHUNKED) {
				return head() + this.body;
			}
			StringBuilder bytes = new StringBuilder(head());
			for (int from = 0; from < this.body.length(); from += this.chunk) {
				String part = this.body.substring(from, Math.min(this.body.length(), from + this.chunk));
				bytes.append(Integer.toHexString(part.length())).append("\r\n").append(part).append("\r\n");
			}
			return bytes.append("0\r\n\r\n").toString();
		}

		int lengthThroughFirstHeaderByte() {
			return head().indexOf("\r\n") + 3;
		}

		int lengthThroughId() {
			String idLine = "Request-Id: " + this.id + "\r\n";
			return head().indexOf(idLine) + idLine.length();
		}

	}

	/** What must have become of a request after all bytes that the target has sent. */
	private enum Expected {

		/** It has got its response. */
		RESPONSE,

		/** It has ended, with its response or an error. */
		END,

		/** It may be waiting, since by the protocol more bytes may follow. */
		ANY

	}

	/** How the target ends the connection. */
	private enum Ending {

		NONE, CLOSE, RESET

	}

	/** One connection, its requests, and the target's bytes. */
	private static final class History implements ProxyTargetConnection.StateListener {

		private static final String[] GARBAGE = { "garbage", "garbage\r\n", "HTTP/2 200 OK\r\n\r\n",
				"{\"a\": 1}\r\n\r\n", "x".repeat(20_000) };

		private static final String[] INTERIM = { "HTTP/1.1 100 Continue\r\n\r\n",
				"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" };

		private final Choices choices;

		private final BufferBudget budget = new BufferBudget(1 << 20);

		private final ProxyTargetConnection connection = new ProxyTargetConnection("Request-Id", this.budget, this);

		private final EmbeddedChannel channel = new EmbeddedChannel();

		private final List<Response> earlier = new ArrayList<>();

		private final List<String> log = new ArrayList<>();

		private Outcome outcome = new Outcome();

		private StringBuilder pending = new StringBuilder();

		// Reads do not end between these two places of the pending bytes.
		private int uncutFrom;

		private int uncutTo;

		private Expected expected = Expected.RESPONSE;

		// Whether the expected end comes with the whole head of a later response.
		private boolean endsWithOwn;

		private Ending ending = Ending.NONE;

		private History(Choices choices) {
			this.choices = choices;
			this.connection.addTo(this.channel.pipeline());
		}

		void run() {
			try {
				int requests = 1 + this.choices.next(5);
				for (int i = 0; i < requests && this.channel.isOpen(); i++) {
					exchange("r" + i);
				}
			}
			finally {
				this.channel.finishAndReleaseAll();
			}
			assertThat(this.budget.usedBytes()).as("memory after the end: %s", this.log).isZero();
		}

		private void exchange(String id) {
			Response own = Response.choose(this.choices, id);
			this.log.add("send " + id);
			this.outcome = new Outcome();
			this.pending = new StringBuilder();
			this.uncutFrom = 0;
			this.uncutTo = 0;
			this.expected = Expected.RESPONSE;
			this.endsWithOwn = false;
			this.ending = Ending.NONE;
			this.connection.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"), id,
					this.outcome);
			int before = this.choices.next(6) - 2;
			for (int i = 0; i < before; i++) {
				addUnawaited();
			}
			addOwn(own);
			boolean cancelled = this.choices.oneIn(12);
			deliver(cancelled);
			if (cancelled) {
				assertThat(this.outcome.ends).as("ends after the cancel: %s", this.log).isLessThan(2);
				assertThat(this.channel.isOpen()).as("open after the cancel: %s", this.log).isFalse();
				return;
			}
			checkOutcome(own);
			if (this.outcome.ends == 0) {
				end((this.choices.next(2) == 0) ? Ending.CLOSE : Ending.RESET);
				this.expected = Expected.END;
				checkOutcome(own);
			}
			this.earlier.add(own);
			if (this.channel.isOpen()) {
				idle(own);
			}
		}

		// Adds bytes that belong to no awaited response, before the awaited one.
		private void addUnawaited() {
			Response copy = this.earlier.isEmpty() ? null : this.earlier.get(this.choices.next(this.earlier.size()));
			switch (this.choices.next(8)) {
				case 0, 1 -> add(INTERIM[this.choices.next(INTERIM.length)]);
				case 2, 3 -> {
					if (copy != null) {
						add(copy.bytes());
					}
				}
				case 4 -> {
					if (copy != null) {
						this.endsWithOwn |= this.expected == Expected.RESPONSE;
						addPart(copy, copy.bytes());
					}
				}
				case 5 -> {
					add("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n");
					expect(Expected.END);
				}
				case 6 -> {
					add("HTTP/1.1 200 OK\r\nServer: example\r\n\r\n");
					expect(Expected.END);
				}
				default -> {
					add(GARBAGE[this.choices.next(GARBAGE.length)]);
					expect(Expected.END);
				}
			}
		}

		// Adds a part of a response. If it ends within the head, the response that
		// follows must fail with it.
		private int addPart(Response response, String bytes) {
			int length = 1 + this.choices.next(bytes.length() - 1);
			add(bytes.substring(0, length));
			expect((length < response.head().length()) ? Expected.END : Expected.ANY);
			return length;
		}

		private void addOwn(Response own) {
			String bytes = own.bytes();
			boolean untilClose = own.framing() == Framing.UNTIL_CLOSE;
			switch (this.choices.next(10)) {
				case 3 -> {
					// The target sends nothing more.
					expectAnyUnlessEnded();
				}
				case 4 -> {
					int length = addPart(own, bytes);
					// A body without a length that breaks off before the end of the
					// connection cannot be told from a whole one.
					this.ending = (untilClose && length >= own.head().length()) ? Ending.RESET : Ending.CLOSE;
				}
				case 5 -> {
					addPart(own, bytes);
					this.ending = Ending.RESET;
				}
				case 6, 7 -> {
					addOwnBrokenOffAndCopy(own, bytes);
					expectAnyUnlessEnded();
				}
				case 8, 9 -> {
					add(bytes);
					if (untilClose) {
						// Other bytes behind it cannot be told from the body.
						add(bytes);
						expect(Expected.END);
						this.ending = Ending.CLOSE;
					}
					else {
						addBehind(own);
					}
				}
				default -> {
					add(bytes);
					this.ending = untilClose ? Ending.CLOSE : Ending.NONE;
				}
			}
			if (this.ending != Ending.NONE && this.expected == Expected.ANY) {
				this.expected = Expected.END;
			}
		}

		private void addOwnBrokenOffAndCopy(Response own, String bytes) {
			Response copy = (this.earlier.isEmpty() || this.choices.next(3) > 0) ? own
					: this.earlier.get(this.choices.next(this.earlier.size()));
			String copied = copy.bytes();
			int leastLength = (copy == own) ? copy.lengthThroughFirstHeaderByte() : copy.lengthThroughId();
			if (this.choices.oneIn(3)) {
				copied = copied.substring(0, leastLength + this.choices.next(copied.length() - leastLength + 1));
			}
			int length = 1 + this.choices.next(bytes.length() - 1);
			boolean inHead = length < own.head().length();
			add(bytes.substring(0, length));
			boolean ends = switch (own.framing()) {
				case LENGTH -> copied.length() >= (inHead ? copy.head().length() : bytes.length() - length);
				case CHUNKED -> inHead && copied.length() >= copy.head().length();
				case UNTIL_CLOSE -> true;
			};
			expect(ends ? Expected.END : Expected.ANY);
			// The frame may end anywhere in the copy. If the first header of an own copy,
			// or the id of another one, has not arrived by then, the response cannot be
			// told from a whole one.
			if (own.framing() == Framing.LENGTH && !inHead) {
				this.uncutFrom = this.pending.length() - 1;
				this.uncutTo = this.pending.length() + leastLength;
			}
			add(copied);
			this.ending = (own.framing() == Framing.UNTIL_CLOSE) ? Ending.CLOSE : Ending.NONE;
		}

		// Adds bytes that belong to no request behind a response.
		private void addBehind(Response own) {
			String copy = own.bytes();
			switch (this.choices.next(3)) {
				case 0 -> add(copy);
				case 1 -> add(copy.substring(0, 1 + this.choices.next(copy.length() - 1)));
				default -> add(GARBAGE[this.choices.next(GARBAGE.length)]);
			}
		}

		private void idle(Response own) {
			String copy = own.bytes();
			this.pending = new StringBuilder();
			switch (this.choices.next(8)) {
				case 4 -> add(copy);
				case 5 -> add(copy.substring(0, 1 + this.choices.next(copy.length() - 1)));
				case 6 -> add(GARBAGE[this.choices.next(GARBAGE.length)]);
				case 7 -> end(Ending.CLOSE);
				default -> {
					return;
				}
			}
			this.uncutTo = 0;
			this.ending = Ending.NONE;
			deliver(false);
			assertThat(this.channel.isOpen()).as("open after bytes while idle: %s", this.log).isFalse();
			assertThat(this.outcome.ends).as("ends: %s", this.log).isOne();
		}

		private void add(String bytes) {
			this.pending.append(bytes);
		}

		// The first deviation decides.
		private void expect(Expected expectation) {
			if (this.expected == Expected.RESPONSE) {
				this.expected = expectation;
			}
		}

		private void expectAnyUnlessEnded() {
			expect(Expected.ANY);
			if (this.endsWithOwn) {
				this.expected = Expected.ANY;
			}
		}

		private void deliver(boolean cancelled) {
			int from = 0;
			int cuts = this.choices.next(6);
			int readsBeforeCancel = cancelled ? this.choices.next(3) : Integer.MAX_VALUE;
			while (from < this.pending.length() && readsBeforeCancel > 0) {
				readsBeforeCancel--;
				int to = this.pending.length();
				if (cuts > 0) {
					cuts--;
					to = from + 1 + this.choices.next(this.pending.length() - from);
				}
				if (to > this.uncutFrom && to < this.uncutTo) {
					to = this.uncutTo;
				}
				receive(this.pending.substring(from, Math.min(to, this.pending.length())));
				from = to;
			}
			if (!cancelled) {
				end(this.ending);
				return;
			}
			int ends = this.outcome.ends;
			this.log.add("cancel");
			this.connection.cancel();
			assertThat(this.outcome.ends).as("ends by the cancel: %s", this.log).isEqualTo(ends);
		}

		private void receive(String bytes) {
			this.log.add("receive " + ((bytes.length() > 5_000) ? bytes.length() + " bytes" : bytes));
			if (this.channel.isOpen()) {
				this.channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
			}
		}

		private void end(Ending endingOfTarget) {
			if (endingOfTarget != Ending.NONE) {
				this.log.add(endingOfTarget.name());
			}
			if (endingOfTarget == Ending.RESET && this.channel.isOpen()) {
				this.channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
			}
			if (endingOfTarget != Ending.NONE) {
				this.channel.close();
			}
		}

		private void checkOutcome(Response own) {
			assertThat(this.outcome.ends).as("ends: %s", this.log).isLessThan(2);
			if (this.expected != Expected.ANY) {
				assertThat(this.outcome.ends).as("ends (%s): %s", this.expected, this.log).isOne();
			}
			if (this.outcome.status != 0) {
				assertThat(this.outcome).as("response: %s", this.log)
					.extracting("status", "id", "signature", "notRun", "body")
					.containsExactly(own.status(), own.id(), own.signature(), own.notRun(), own.body());
			}
			else if (this.expected == Expected.RESPONSE) {
				assertThat(this.outcome.error).as("error instead of the response: %s", this.log).isEmpty();
			}
			assertThat(this.outcome.lost && !this.pending.isEmpty()).as("lost before any byte: %s", this.log).isFalse();
		}

		@Override
		public void becameIdle(ProxyTargetConnection idleConnection) {
		}

		@Override
		public void receivedUnexpected(ProxyTargetConnection.UnexpectedBytes kind, String requestId) {
		}

		@Override
		public void closed(ProxyTargetConnection closedConnection) {
		}

	}

	/** How a request ended. */
	private static final class Outcome implements ProxyTargetConnection.ResponseListener {

		private int ends;

		private int status;

		private String id = "";

		private String signature = "";

		private boolean notRun;

		private String body = "";

		private String error = "";

		private boolean lost;

		@Override
		public void responseReceived(HttpResponse response, ByteBuf receivedBody) {
			this.ends++;
			this.status = response.status().code();
			this.id = response.headers().get("Request-Id", "");
			this.signature = response.headers().get("Signature", "");
			this.notRun = response.headers().contains("Not-Run");
			this.body = receivedBody.toString(StandardCharsets.ISO_8859_1);
			receivedBody.release();
		}

		@Override
		public void failed(String reason) {
			this.ends++;
			this.error = reason;
		}

		@Override
		public void connectionLost(String reason) {
			this.ends++;
			this.error = reason;
			this.lost = true;
		}

	}

}
