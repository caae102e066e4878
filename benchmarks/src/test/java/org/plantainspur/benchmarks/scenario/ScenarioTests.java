package org.plantainspur.benchmarks.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against changes of the decision code that miss the outcomes which the scenario
 * files expect, and against traces that differ for the same seed. Scenarios longer than
 * five minutes run only with {@code benchmarks/run}.
 */
class ScenarioTests {

	private static final int MAX_SCENARIO_SECONDS = 300;

	private static final int SEED_COUNT = 3;

	static Stream<Scenario> shortScenarios() throws IOException {
		return ScenarioMain.scenarios(Path.of("scenarios"))
			.stream()
			.filter((scenario) -> scenario.seconds() <= MAX_SCENARIO_SECONDS)
			.map((scenario) -> scenario.name().equals("healthy-day") ? scenario.withSeconds(60) : scenario);
	}

	// Ignores exactly the bounds that KNOWN-RED.txt lists, and prints them.
	private void assertExpectedOutcome(Deployment deployment, Scenario scenario) throws IOException {
		ReplayResult result = replay(deployment, scenario);
		List<String> knownFailures = Files.readAllLines(Path.of("../KNOWN-RED.txt"));
		List<String> unmetBounds = new ArrayList<>(result.unmetBounds(scenario.expected()));
		unmetBounds.removeIf((bound) -> {
			String entry = "ScenarioTests " + deployment.name() + " " + scenario.name() + " " + bound.split(" ")[0];
			boolean isKnown = knownFailures.stream().anyMatch((line) -> line.startsWith(entry + ":"));
			if (isKnown) {
				System.out.println("known red: " + entry + ": " + bound);
			}
			return isKnown;
		});
		assertThat(unmetBounds).as("%s: %s", scenario.name(), result).isEmpty();
	}

	private ReplayResult replay(Deployment deployment, Scenario scenario) {
		ReplayResult sum = new ReplayResult();
		IntStream.rangeClosed(1, SEED_COUNT)
			.parallel()
			.mapToObj((seed) -> ScenarioMain.replay(deployment, scenario, "pooled", seed))
			.toList()
			.forEach(sum::add);
		return sum;
	}

	@Nested
	class CascadiaDeployment {

		@ParameterizedTest
		@MethodSource("org.plantainspur.benchmarks.scenario.ScenarioTests#shortScenarios")
		void hasTheExpectedOutcome(Scenario scenario) throws IOException {
			assertExpectedOutcome(Deployment.CASCADIA, scenario);
		}

	}

	@Nested
	class CertimataDeployment {

		@ParameterizedTest
		@MethodSource("org.plantainspur.benchmarks.scenario.ScenarioTests#shortScenarios")
		void hasTheExpectedOutcome(Scenario scenario) throws IOException {
			assertExpectedOutcome(Deployment.CERTIMATA, scenario);
		}

	}

	@Nested
	class Traces {

		@Test
		void areTheSameForTheSameSeed() throws IOException {
			Scenario scenario = shortScenarios().findFirst().orElseThrow().withSeconds(5);
			assertThat(lines(scenario, 1)).isEqualTo(lines(scenario, 1)).isNotEqualTo(lines(scenario, 2));
		}

		@Test
		void areReadAsTheyWereWritten() throws IOException {
			Scenario scenario = shortScenarios().findFirst().orElseThrow().withSeconds(5);
			List<String> lines = lines(scenario, 1);
			assertThat(lines.stream().map(TraceEntry::parse).map(TraceEntry::line)).isEqualTo(lines);
		}

		@Test
		void thatAreCommittedMatchTheGenerator() throws IOException {
			Scenario scenario = Scenario.read(Path.of("scenarios/gray-target.scenario")).withSeconds(3);
			assertThat(Files.readAllLines(Path.of("traces/certimata-gray-target-1.trace")))
				.isEqualTo(lines(Deployment.CERTIMATA, scenario, 1));
		}

		private List<String> lines(Scenario scenario, long seed) {
			return lines(Deployment.CASCADIA, scenario, seed);
		}

		private List<String> lines(Deployment deployment, Scenario scenario, long seed) {
			List<String> lines = new ArrayList<>();
			new TraceGenerator(deployment, scenario, seed).forEachRemaining((entry) -> lines.add(entry.line()));
			return lines;
		}

	}

}
