package org.plantainspur.standins;

import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against commands whose printed outcome differs from what the hosts of a fleet
 * do, with the platform stand-in, three hosts and each command in processes of their own.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OperatorCommandsTests {

	private OperatedFleet fleet;

	private OperatorCommand operator;

	@BeforeAll
	void startEverything() throws Exception {
		this.fleet = new OperatedFleet();
		this.operator = new OperatorCommand(this.fleet.platform);
		this.fleet.startHost("entry-1", "pdx", 500);
		this.fleet.startHost("entry-2", "sea", 500);
		this.fleet.startHost("entry-3", "pdx", 500);
		this.fleet.waitForMembers(3);
		done("account", "put", "harbor", "--rate", "1000", "--burst", "1000");
		done("route", "put", "read", "--method", "GET", "--path", "/booking", "--service", "booking", "--idempotent");
	}

	@AfterAll
	void stopEverything() {
		this.fleet.close();
	}

	private OperatorCommand.Result done(String... args) throws Exception {
		OperatorCommand.Result result = this.operator.run(args);
		assertThat(result.exitCode()).as("%s", result.output()).isEqualTo(0);
		return result;
	}

	private void faults(String faults) throws Exception {
		this.fleet.platform().control("/.control/faults", faults);
	}

	private long rowsNaming(String text) throws Exception {
		HttpResponse<String> rows = this.fleet.platform().get("/table/rows?prefix=change%2F&after=&limit=500");
		return rows.body().split(text, -1).length - 1;
	}

	@Nested
	class Key {

		@Test
		void worksAndStopsAtEveryHostOnceTheCommandSaysAccepted() throws Exception {
			String key = done("key", "issue", "harbor").json().path("key").asText();
			OperatedFleet hosts = OperatorCommandsTests.this.fleet;
			List<OpenConnection> connections = new ArrayList<>();
			for (String caller : hosts.callers) {
				assertThat(hosts.statusAt(caller, "/.plantainspur/locate", key)).as("locate at %s", caller)
					.isEqualTo(200);
				OpenConnection connection = new OpenConnection(caller);
				assertThat(connection.status("/booking/1", key)).as("request to %s", caller).isNotEqualTo(401);
				connections.add(connection);
			}
			String hash = done("key", "list", "harbor").json().path("hashes").path(0).asText();
			assertThat(done("key", "withdraw", hash).json().path("result").asText()).isEqualTo("accepted");
			for (OpenConnection connection : connections) {
				assertThat(connection.status("/booking/1", key)).as("withdrawn key on an open connection")
					.isEqualTo(401);
				connection.close();
			}
		}

	}

	@Nested
	class PlannersSheet {

		@TempDir
		private Path folder;

		private String file(String name, String content) throws Exception {
			return Files.writeString(this.folder.resolve(name), "kind,name,headroom,rate,burst\n" + content).toString();
		}

		@Test
		void withFaultsNamesRowsAndColumns() throws Exception {
			String file = file("faulty.csv", "service,booking,2,,\naccount,nobody,,x,4\n");
			OperatorCommand.Result result = OperatorCommandsTests.this.operator.run("sheet", "check", file);
			assertThat(result.exitCode()).isEqualTo(2);
			assertThat(result.json().path("findings").toString()).contains("row 2, column headroom",
					"row 3, column name", "row 3, column rate");
		}

		@Test
		void isAppliedAsChecked() throws Exception {
			String file = file("sheet.csv", "service,booking,0.25,,\naccount,harbor,,900,800\n");
			String differences = done("sheet", "check", file).json().path("differences").toString();
			assertThat(differences).contains("headroom 0.1 -> 0.25").contains("-> 900.0");
			assertThat(done("sheet", "apply", file).json().path("differences").toString()).isEqualTo(differences);
			assertThat(done("sheet", "check", file).json().path("differences")).isEmpty();
			done("floor", "set", "booking", "0.6");
		}

		@Test
		void thatRacesWithAnotherConflicts() throws Exception {
			done("account", "put", "ferry", "--rate", "10", "--burst", "10");
			String first = file("first.csv", "account,ferry,,20,10\n");
			String second = file("second.csv", "account,ferry,,30,10\n");
			// Slow answers hold both between their read and their append.
			faults("{\"delayMillis\": 400}");
			OperatorCommand operators = OperatorCommandsTests.this.operator;
			Process one = operators.begin("sheet", "apply", first);
			Process two = operators.begin("sheet", "apply", second);
			OperatorCommand.Result oneEnded = operators.end(one);
			OperatorCommand.Result twoEnded = operators.end(two);
			faults("{}");
			assertThat(List.of(oneEnded.exitCode(), twoEnded.exitCode())).containsExactlyInAnyOrder(0, 3);
			String refused = (oneEnded.exitCode() == 3) ? oneEnded.output() : twoEnded.output();
			assertThat(refused).contains("conflict, nothing was written").contains("account/ferry was at version");
		}

	}

	@Nested
	class Platform {

		@Test
		void thatLosesTheReplyOfAWriteCausesOneEffect() throws Exception {
			faults("{\"dropRepliesToWrites\": 2}");
			OperatorCommand.Result result = OperatorCommandsTests.this.operator.run("account", "put", "lost-reply",
					"--rate", "5", "--burst", "5");
			int left = OperatorCommandsTests.this.fleet.platform()
				.json("/.control/counters")
				.path("repliesToDrop")
				.asInt();
			faults("{}");
			assertThat(result.exitCode()).as("%s", result.output()).isEqualTo(0);
			assertThat(left).as("replies still to lose").isLessThan(2);
			assertThat(rowsNaming("\"lost-reply\"")).isEqualTo(1);
		}

		@Test
		void thatIsUnavailableIsNamedAndNothingIsWritten() throws Exception {
			faults("{\"unavailable\": \"closed\"}");
			OperatorCommand.Result result = OperatorCommandsTests.this.operator.run("account", "put", "outage",
					"--rate", "5", "--burst", "5");
			faults("{}");
			assertThat(result.exitCode()).isEqualTo(1);
			assertThat(result.json().path("result").asText())
				.startsWith("nothing was done: the platform gave no answer");
			assertThat(rowsNaming("\"outage\"")).isZero();
		}

	}

	@Nested
	class Reading {

		@Test
		void showsEveryHostAndExplains() throws Exception {
			assertThat(done("status").json().path("hosts")).hasSize(3)
				.allSatisfy((host) -> assertThat(host.asText()).contains("current").doesNotContain("not current"));
			assertThat(done("explain", "account", "harbor").json()).isNotEmpty();
			assertThat(done("explain", "target", "booking-1").json()).isNotEmpty();
		}

		@Test
		void refusesToRemoveAHostThatAnswers() throws Exception {
			OperatorCommand.Result result = OperatorCommandsTests.this.operator.run("member", "remove", "entry-2",
					"--processes-have-ended");
			assertThat(result.exitCode()).isEqualTo(2);
			assertThat(result.output()).contains("still answers at its admin address");
		}

	}

	/**
	 * A connection that stays open between requests.
	 */
	private static final class OpenConnection implements AutoCloseable {

		private final Socket socket;

		OpenConnection(String address) throws Exception {
			int colon = address.lastIndexOf(':');
			this.socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
			this.socket.setSoTimeout(10_000);
		}

		int status(String path, String key) throws Exception {
			String request = "GET " + path + " HTTP/1.1\r\nHost: test\r\nX-Api-Key: " + key + "\r\n\r\n";
			this.socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
			String head = readUntilBlankLine();
			int length = Integer.parseInt(head.replaceAll("(?is).*\r\ncontent-length: *(\\d+).*", "$1"));
			this.socket.getInputStream().readNBytes(length);
			return Integer.parseInt(head.split(" ")[1]);
		}

		private String readUntilBlankLine() throws Exception {
			InputStream input = this.socket.getInputStream();
			StringBuilder head = new StringBuilder();
			while (head.indexOf("\r\n\r\n") < 0) {
				int next = input.read();
				if (next < 0) {
					throw new IllegalStateException("the host closed the connection after: " + head);
				}
				head.append((char) next);
			}
			return head.toString();
		}

		@Override
		public void close() throws Exception {
			this.socket.close();
		}

	}

}
