package org.plantainspur.benchmarks.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A scenario file: faults to inject and the expected outcome.
 *
 * @param name the file's name without its ending
 * @param seconds the length of the scenario in seconds
 * @param faults the faults to inject
 * @param expected the expected bounds by name, as {@link ReplayResult#unmetBounds} takes
 * them
 * @param heldOut whether the scenario is not used for tuning
 */
public record Scenario(String name, int seconds, List<Fault> faults, Map<String, Double> expected, boolean heldOut) {

	/**
	 * Reads a scenario file. Each line has a keyword and values, divided by spaces.
	 * @param file the scenario file
	 * @return the scenario, named after the file
	 * @throws IOException if the file cannot be read
	 */
	public static Scenario read(Path file) throws IOException {
		int seconds = 0;
		boolean heldOut = false;
		List<Fault> faults = new ArrayList<>();
		Map<String, Double> expected = new TreeMap<>();
		for (String line : Files.readAllLines(file)) {
			String[] fields = line.split(" ");
			switch (fields[0]) {
				case "", "#" -> {
				}
				case "held-out" -> {
					heldOut = true;
				}
				case "seconds" -> {
					seconds = Integer.parseInt(fields[1]);
				}
				case "fault" -> faults.add(new Fault(fields[1], fields[2], Long.parseLong(fields[3]),
						Long.parseLong(fields[4]), Double.parseDouble(fields[5])));
				case "expect" -> expected.put(fields[1], Double.parseDouble(fields[2]));
				default -> throw new IllegalArgumentException(
						file + ": '" + fields[0] + "' is not one of held-out, seconds, fault, expect");
			}
		}
		String name = file.getFileName().toString().replace(".scenario", "");
		return new Scenario(name, seconds, List.copyOf(faults), expected, heldOut);
	}

	/**
	 * Returns a copy of this scenario with another length.
	 * @param newSeconds the new length in seconds
	 * @return the copy; its faults are unchanged
	 */
	public Scenario withSeconds(int newSeconds) {
		return new Scenario(this.name, newSeconds, this.faults, this.expected, this.heldOut);
	}

	/**
	 * A fault that lasts for a part of the scenario.
	 *
	 * @param kind the kind of fault, such as {@code gray}; {@link TraceGenerator},
	 * {@link FleetReplay} and {@link NoisyTenantReplay} define what each kind does
	 * @param subject the id of the affected target, service, account or region, by kind
	 * @param from the start in milliseconds since the start of the scenario, inclusive
	 * @param to the end in milliseconds since the start of the scenario, exclusive
	 * @param amount a probability, a factor or a duration in milliseconds, by kind
	 */
	public record Fault(String kind, String subject, long from, long to, double amount) {

		boolean activeAt(long millis) {
			return millis >= this.from && millis < this.to;
		}

		boolean affects(String otherKind, String otherSubject, long millis) {
			return this.kind.equals(otherKind) && this.subject.equals(otherSubject) && activeAt(millis);
		}

	}

}
