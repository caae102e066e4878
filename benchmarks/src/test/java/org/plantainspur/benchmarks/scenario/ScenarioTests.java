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
 * Guards the outcomes that the scenario files state. Scenarios of an hour or more run
 * only with {@code benchmarks/run}.
 */
class ScenarioTests {

	private static final int QUICK_SECONDS = 300;

	private static final int SEEDS = 3;

	static Stream<Scenario> quick() throws IOException {
		return ScenarioMain.scenarios(Path.of("scenarios"))
			.stream()
			.filter((scenario) -> scenario.seconds() <= QUICK_SECONDS)
			.map((scenario) -> scenario.name().equals("healthy-day") ? scenario.lasting(60) : scenario);
	}

	// Passes over exactly the bounds that KNOWN-RED.txt lists, and prints them.
	private void check(Deployment deployment, Scenario scenario) throws IOException {
		Measures measures = replay(deployment, scenario);
		List<String> known = Files.readAllLines(Path.of("../KNOWN-RED.txt"));
		List<String> missed = new ArrayList<>(measures.missed(scenario.expected()));
		missed.removeIf((miss) -> {
			String entry = "ScenarioTests " + deployment.name() + " " + scenario.name() + " " + miss.split(" ")[0];
			boolean listed = known.stream().anyMatch((line) -> line.startsWith(entry + ":"));
			if (listed) {
				System.out.println("known red: " + entry + ": " + miss);
			}
			return listed;
		});
		assertThat(missed).as("%s: %s", scenario.name(), measures).isEmpty();
	}

	private Measures replay(Deployment deployment, Scenario scenario) {
		Measures sum = new Measures();
		IntStream.rangeClosed(1, SEEDS)
			.parallel()
			.mapToObj((seed) -> ScenarioMain.replay(deployment, scenario, "pooled", seed))
			.toList()
			.forEach(sum::add);
		return sum;
	}

	@Nested
	class Cascadia {

		@ParameterizedTest
		@MethodSource("org.plantainspur.benchmarks.scenario.ScenarioTests#quick")
		void hasTheStatedOutcome(Scenario scenario) throws IOException {
			check(Deployment.CASCADIA, scenario);
		}

	}

	@Nested
	class Certimata {

		@ParameterizedTest
		@MethodSource("org.plantainspur.benchmarks.scenario.ScenarioTests#quick")
		void hasTheStatedOutcome(Scenario scenario) throws IOException {
			check(Deployment.CERTIMATA, scenario);
		}

	}

	@Nested
	class Traces {

		@Test
		void areTheSameForTheSameSeed() throws IOException {
			Scenario scenario = quick().findFirst().orElseThrow().lasting(5);
			assertThat(lines(scenario, 1)).isEqualTo(lines(scenario, 1)).isNotEqualTo(lines(scenario, 2));
		}

		@Test
		void areReadAsTheyWereWritten() throws IOException {
			Scenario scenario = quick().findFirst().orElseThrow().lasting(5);
			List<String> lines = lines(scenario, 1);
			assertThat(lines.stream().map(TraceEntry::parse).map(TraceEntry::line)).isEqualTo(lines);
		}

		@Test
		void thatAreCommittedAreStillTheGeneratorsOutput() throws IOException {
			Scenario scenario = Scenario.read(Path.of("scenarios/gray-target.scenario")).lasting(3);
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
