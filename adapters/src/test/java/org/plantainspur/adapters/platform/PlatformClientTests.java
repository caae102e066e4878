package org.plantainspur.adapters.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.TextNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.plantainspur.adapters.http.ScriptedTarget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

/**
 * Guards against a write that counts as done, or a read that counts as empty, without a
 * complete response of the platform. The platform listens on a real socket.
 */
@Timeout(20)
class PlatformClientTests {

	private static final String CONFLICT = "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}";

	private static PlatformClient client(ScriptedTarget platform) {
		return new PlatformClient("http://" + platform.address(), 2000);
	}

	/** The calls for which an incomplete response could count as a result. */
	enum Call {

		TRANSACT {
			@Override
			Object send(PlatformClient client) throws IOException {
				return client.transact(Map.of("head", 1L), Map.of("head", new TextNode("2")));
			}
		},

		ROWS {
			@Override
			Object send(PlatformClient client) throws IOException {
				return client.rows("change/", "change/", 10);
			}
		},

		HOSTS {
			@Override
			Object send(PlatformClient client) throws IOException {
				return client.hosts("");
			}
		};

		abstract Object send(PlatformClient client) throws IOException;

	}

	/** A complete response of the platform. */
	enum ResponseForm {

		BODY_OF_DECLARED_LENGTH("HTTP/1.1 200 OK\r\nX-Name: value\r\nContent-Length: 2\r\n\r\n{}"),

		CHUNKED_BODY("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n01\r\n{\r\n01\r\n}\r\n0\r\n\r\n"),

		EMPTY_BODY("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Name: value\r\n\r\n");

		private final String text;

		ResponseForm(String text) {
			this.text = text;
		}

	}

	@Nested
	class BrokenOffResponse {

		@ParameterizedTest
		@EnumSource
		void isNoResultWhenThePlatformClosesTheConnection(ResponseForm form) throws Exception {
			List<String> accepted = new ArrayList<>();
			for (Call call : Call.values()) {
				AtomicInteger length = new AtomicInteger();
				try (ScriptedTarget platform = new ScriptedTarget((connection) -> {
					connection.readRequest();
					connection.write(form.text.substring(0, length.get()));
					connection.close();
				}); PlatformClient client = client(platform)) {
					for (; length.get() < form.text.length(); length.incrementAndGet()) {
						try {
							accepted.add(call + ", " + length + " bytes: " + call.send(client));
						}
						catch (IOException ex) {
							// The call failed, as it must.
						}
					}
				}
			}
			assertThat(accepted).as("results from the beginning of %s", form.text).isEmpty();
		}

		@ParameterizedTest
		@EnumSource
		void withoutALengthIsNoResult(Call call) throws Exception {
			try (ScriptedTarget platform = new ScriptedTarget((connection) -> {
				connection.readRequest();
				connection.write("HTTP/1.1 200 OK\r\n\r\n");
				connection.close();
			}); PlatformClient client = client(platform)) {
				assertThatIOException().isThrownBy(() -> call.send(client));
			}
		}

	}

	@Nested
	class SecondCopy {

		/** Guards against a conflict that counts as a write. */
		@ParameterizedTest
		@EnumSource
		void whichComesWithTheResponseDoesNotChangeTheNextOne(ResponseForm form) throws Exception {
			List<String> foreign = new ArrayList<>();
			for (int length = 1; length <= form.text.length(); length++) {
				String bytes = form.text + form.text.substring(0, length);
				try (ScriptedTarget platform = new ScriptedTarget((connection) -> {
					connection.readRequest();
					connection.write((connection.number() == 1) ? bytes : CONFLICT);
					connection.readRequest();
					connection.write(CONFLICT);
				}); PlatformClient client = client(platform)) {
					Call.TRANSACT.send(client);
					if (!Boolean.FALSE.equals(Call.TRANSACT.send(client))) {
						foreign.add(length + " bytes");
					}
				}
				catch (IOException ex) {
					foreign.add(length + " bytes: " + ex);
				}
			}
			assertThat(foreign).as("results of a write whose response was a conflict").isEmpty();
		}

		@Test
		void whichArrivesWhileTheConnectionIsIdleIsNotTheNextResponse() throws Exception {
			try (ScriptedTarget platform = new ScriptedTarget((connection) -> {
				connection.readRequest();
				connection.write((connection.number() == 1) ? ResponseForm.EMPTY_BODY.text : CONFLICT);
				Thread.sleep(50);
				connection.write(ResponseForm.EMPTY_BODY.text);
				connection.readRequest();
				connection.write(CONFLICT);
			}); PlatformClient client = client(platform)) {
				Call.TRANSACT.send(client);
				Thread.sleep(150);
				assertThat(Call.TRANSACT.send(client)).isEqualTo(false);
			}
		}

	}

	/** Guards against an address with TLS that is rejected or called without TLS. */
	@Nested
	class Tls {

		@Test
		void isUsedForAnHttpsAddress() throws Exception {
			AtomicInteger firstByte = new AtomicInteger();
			try (ScriptedTarget platform = new ScriptedTarget((connection) -> {
				firstByte.set(connection.read());
				connection.close();
			}); PlatformClient client = new PlatformClient("https://" + platform.address(), 2000)) {
				assertThatIOException().isThrownBy(() -> Call.HOSTS.send(client));
			}
			assertThat(firstByte).as("the type of a TLS handshake record").hasValue(22);
		}

	}

	/** Guards against a new connection for each call. */
	@Nested
	class Reuse {

		@Test
		void aConnectionIsUsedAgainAfterACompleteResponse() throws Exception {
			try (ScriptedTarget platform = new ScriptedTarget((connection) -> {
				while (true) {
					connection.readRequest();
					connection.write(CONFLICT);
				}
			}); PlatformClient client = client(platform)) {
				for (int i = 0; i < 3; i++) {
					assertThat(Call.TRANSACT.send(client)).isEqualTo(false);
				}
				assertThat(platform.connections()).isEqualTo(1);
			}
		}

	}

}
