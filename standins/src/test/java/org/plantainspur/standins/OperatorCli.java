package org.plantainspur.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Runs the operators' command line in a separate process.
 */
final class OperatorCli {

	private final String platformAddress;

	OperatorCli(String platformAddress) {
		this.platformAddress = platformAddress;
	}

	Process start(String... args) throws Exception {
		List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java", "-Xmx96m",
				"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
				"org.plantainspur.operator.OperatorMain"));
		command.addAll(List.of(args));
		command.addAll(List.of("--platform-url", "http://" + this.platformAddress, "--output", "json"));
		return new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
	}

	Result awaitResult(Process process) throws Exception {
		String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		return new Result(process.waitFor(), output);
	}

	Result run(String... args) throws Exception {
		return awaitResult(start(args));
	}

	/**
	 * The exit code of a command and its standard output.
	 */
	record Result(int exitCode, String output) {

		JsonNode json() throws Exception {
			return new ObjectMapper().readTree(this.output);
		}

	}

}
