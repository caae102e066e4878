package org.plantainspur.host;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import org.plantainspur.core.testing.FreePorts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a daemon whose exit codes, standard output or log mislead operators and
 * process supervisors.
 */
@Timeout(90)
class HostProcessTests {

	@TempDir
	private Path directory;

	private Process start(String... flags) throws IOException {
		List<String> command = new ArrayList<>(
				List.of(System.getProperty("java.home") + "/bin/java", "-Xmx96m", "-XX:TieredStopAtLevel=1", "-cp",
						System.getProperty("java.class.path"), EntryHostMain.class.getName()));
		command.addAll(List.of(flags));
		return new ProcessBuilder(command).redirectOutput(this.directory.resolve("out").toFile())
			.redirectError(this.directory.resolve("err").toFile())
			.start();
	}

	private List<String> lines(String name) throws IOException {
		return Files.readAllLines(this.directory.resolve(name), StandardCharsets.UTF_8);
	}

	private static String freeAddress() throws IOException {
		return "127.0.0.1:" + FreePorts.next();
	}

	@Nested
	class ExitCode {

		@Test
		void ofBadSettingsIsTwo() throws Exception {
			Process process = start("--region", "p d x");
			assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
			assertThat(process.exitValue()).isEqualTo(2);
			assertThat(lines("err")).anyMatch((line) -> line.startsWith("--region"))
				.anyMatch((line) -> line.startsWith("--host-id"));
		}

		@Test
		void ofHelpIsZeroAndTheHelpNamesDefaultsAndUnits() throws Exception {
			Process process = start("--help");
			assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
			assertThat(process.exitValue()).isZero();
			assertThat(String.join(" ", lines("out")).replaceAll(" +", " ")).contains("in milliseconds")
				.contains("default: 1000")
				.contains("--fleet-secret")
				.contains("PLANTAINSPUR_FLEET_SECRET");
		}

	}

	@Nested
	class Termination {

		@Test
		void isCleanWhileThePlatformIsUnavailable() throws Exception {
			Process process = start("--host-id", "entry-1", "--region", "pdx", "--failure-domain", "pdx-a",
					"--caller-address", freeAddress(), "--peer-address", freeAddress(), "--admin-address",
					freeAddress(), "--platform-url", "http://127.0.0.1:1", "--platform-region", "pdx", "--fleet-secret",
					"a-fleet-secret-for-tests", "--stop-idle-time", "100");
			try {
				waitForStart(process);
				process.destroy();
				assertThat(process.waitFor(40, TimeUnit.SECONDS)).isTrue();
				assertThat(process.exitValue()).isZero();
				assertThat(lines("out")).singleElement().asString().contains(" listens on ");
				assertLogIsJsonWithShutdownEvents();
			}
			finally {
				process.destroyForcibly();
			}
		}

		private void waitForStart(Process process) throws Exception {
			while (lines("out").stream().noneMatch((line) -> line.contains(" listens on "))) {
				assertThat(process.isAlive()).isTrue();
				Thread.sleep(50);
			}
		}

		private void assertLogIsJsonWithShutdownEvents() throws IOException {
			List<String> events = new ArrayList<>();
			for (String line : lines("err")) {
				JsonNode node = new ObjectMapper().readTree(line);
				assertThat(node.path("level").asText()).isNotEmpty();
				events.add(node.path("event").asText());
			}
			assertThat(events).contains("platform-unavailable", "stop-began", "resigned", "stop-ended");
		}

	}

}
