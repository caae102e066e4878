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
 * do. The platform stand-in, three hosts and each command run in separate processes.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OperatorCommandsTests {

	private VariableSizeFleet fleet;

	private OperatorCli cli;

	@BeforeAll
	void startFleet() throws Exception {
		this.fleet = new VariableSizeFleet();
		this.cli = new OperatorCli(this.fleet.platformAddress);
		this.fleet.startHost("entry-1", "pdx", 500);
		this.fleet.startHost("entry-2", "sea", 500);
		this.fleet.startHost("entry-3", "pdx", 500);
		this.fleet.awaitMembers(3);
		runSuccessfully("account", "put", "harbor", "--rate", "1000", "--burst", "1000");
		runSuccessfully("route", "put", "read", "--method", "GET", "--path", "/booking", "--service", "booking",
				"--idempotent");
	}

	@AfterAll
	void stopFleet() {
		this.fleet.close();
	}

	private OperatorCli.Result runSuccessfully(String... args) throws Exception {
		OperatorCli.Result result = this.cli.run(args);
		assertThat(result.exitCode()).as("%s", result.output()).isEqualTo(0);
		return result;
	}

	private void setPlatformFaults(String json) throws Exception {
		this.fleet.platform().put("/.control/faults", json);
	}

	private long countRowsContaining(String text) throws Exception {
		HttpResponse<String> rows = this.fleet.platform().get("/table/rows?prefix=change%2F&after=&limit=500");
		return rows.body().split(text, -1).length - 1;
	}

	@Nested
	class Key {

		@Test
		void isInForceAndThenRefusedAtEveryHostWhenTheCommandReportsAccepted() throws Exception {
			String key = runSuccessfully("key", "issue", "harbor").json().path("key").asText();
			VariableSizeFleet fleet = OperatorCommandsTests.this.fleet;
			List<OpenConnection> connections = new ArrayList<>();
			for (String caller : fleet.callerAddresses) {
				assertThat(fleet.statusCode(caller, "/.plantainspur/locate", key)).as("locate at %s", caller)
					.isEqualTo(200);
				OpenConnection connection = new OpenConnection(caller);
				assertThat(connection.status("/booking/1", key)).as("request to %s", caller).isNotEqualTo(401);
				connections.add(connection);
			}
			String hash = runSuccessfully("key", "list", "harbor").json().path("hashes").path(0).asText();
			assertThat(runSuccessfully("key", "withdraw", hash).json().path("result").asText()).isEqualTo("accepted");
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
		void withErrorsIsReportedByRowAndColumn() throws Exception {
			String file = file("faulty.csv", "service,booking,2,,\naccount,nobody,,x,4\n");
			OperatorCli.Result result = OperatorCommandsTests.this.cli.run("sheet", "check", file);
			assertThat(result.exitCode()).isEqualTo(2);
			assertThat(result.json().path("findings").toString()).contains("row 2, column headroom",
					"row 3, column name", "row 3, column rate");
		}

		@Test
		void isAppliedAsChecked() throws Exception {
			String file = file("sheet.csv", "service,booking,0.25,,\naccount,harbor,,900,800\n");
			String differences = runSuccessfully("sheet", "check", file).json().path("differences").toString();
			assertThat(differences).contains("headroom 0.1 -> 0.25").contains("-> 900.0");
			assertThat(runSuccessfully("sheet", "apply", file).json().path("differences").toString())
				.isEqualTo(differences);
			assertThat(runSuccessfully("sheet", "check", file).json().path("differences")).isEmpty();
			runSuccessfully("floor", "set", "booking", "0.6");
		}

		@Test
		void appliedConcurrentlyWithAnotherReportsAConflict() throws Exception {
			runSuccessfully("account", "put", "ferry", "--rate", "10", "--burst", "10");
			String firstFile = file("first.csv", "account,ferry,,20,10\n");
			String secondFile = file("second.csv", "account,ferry,,30,10\n");
			// With delayed responses both commands read the table before either of them
			// appends.
			setPlatformFaults("{\"delayMillis\": 400}");
			OperatorCli cli = OperatorCommandsTests.this.cli;
			Process first = cli.start("sheet", "apply", firstFile);
			Process second = cli.start("sheet", "apply", secondFile);
			OperatorCli.Result firstResult = cli.awaitResult(first);
			OperatorCli.Result secondResult = cli.awaitResult(second);
			setPlatformFaults("{}");
			assertThat(List.of(firstResult.exitCode(), secondResult.exitCode())).containsExactlyInAnyOrder(0, 3);
			String refused = (firstResult.exitCode() == 3) ? firstResult.output() : secondResult.output();
			assertThat(refused).contains("conflict, nothing was written").contains("account/ferry was at version");
		}

	}

	@Nested
	class Platform {

		@Test
		void thatLosesTheReplyOfAWriteAppliesItOnce() throws Exception {
			setPlatformFaults("{\"dropRepliesToWrites\": 2}");
			OperatorCli.Result result = OperatorCommandsTests.this.cli.run("account", "put", "lost-reply", "--rate",
					"5", "--burst", "5");
			int repliesLeftToDrop = OperatorCommandsTests.this.fleet.platform()
				.getJson("/.control/counters")
				.path("repliesToDrop")
				.asInt();
			setPlatformFaults("{}");
			assertThat(result.exitCode()).as("%s", result.output()).isEqualTo(0);
			assertThat(repliesLeftToDrop).as("replies still to drop").isLessThan(2);
			assertThat(countRowsContaining("\"lost-reply\"")).isEqualTo(1);
		}

		@Test
		void thatIsUnavailableIsReportedAndNothingIsWritten() throws Exception {
			setPlatformFaults("{\"unavailable\": \"closed\"}");
			OperatorCli.Result result = OperatorCommandsTests.this.cli.run("account", "put", "outage", "--rate", "5",
					"--burst", "5");
			setPlatformFaults("{}");
			assertThat(result.exitCode()).isEqualTo(1);
			assertThat(result.json().path("result").asText())
				.startsWith("nothing was done: the platform gave no answer");
			assertThat(countRowsContaining("\"outage\"")).isZero();
		}

	}

	@Nested
	class RunningHosts {

		@Test
		void areListedAndExplainTheirDecisions() throws Exception {
			assertThat(runSuccessfully("status").json().path("hosts")).hasSize(3)
				.allSatisfy((host) -> assertThat(host.asText()).contains("current").doesNotContain("not current"));
			assertThat(runSuccessfully("explain", "account", "harbor").json()).isNotEmpty();
			assertThat(runSuccessfully("explain", "target", "booking-1").json()).isNotEmpty();
		}

		@Test
		void cannotBeRemovedFromTheMembership() throws Exception {
			OperatorCli.Result result = OperatorCommandsTests.this.cli.run("member", "remove", "entry-2",
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
