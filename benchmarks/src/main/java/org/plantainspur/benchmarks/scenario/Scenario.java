package org.plantainspur.benchmarks.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A scenario file: what goes wrong, and the outcome that is expected.
 *
 * @param name the file's name without its ending
 * @param seconds the length
 * @param faults what goes wrong
 * @param expected the bounds by name
 * @param heldOut whether it is kept out of tuning
 */
public record Scenario(String name, int seconds, List<Fault> faults, Map<String, Double> expected, boolean heldOut) {

	/**
	 * Reads a scenario.
	 * @param file the file
	 * @return the scenario
	 * @throws IOException if it cannot be read
	 */
	public static Scenario read(Path file) throws IOException {
		int seconds = 0;
		boolean heldOut = false;
		List<Fault> faults = new ArrayList<>();
		Map<String, Double> expected = new TreeMap<>();
		for (String line : Files.readAllLines(file)) {
			String[] words = line.split(" ");
			switch (words[0]) {
				case "", "#" -> {
				}
				case "held-out" -> {
					heldOut = true;
				}
				case "seconds" -> {
					seconds = Integer.parseInt(words[1]);
				}
				case "fault" -> faults.add(new Fault(words[1], words[2], Long.parseLong(words[3]),
						Long.parseLong(words[4]), Double.parseDouble(words[5])));
				case "expect" -> expected.put(words[1], Double.parseDouble(words[2]));
				default -> throw new IllegalArgumentException(
						file + ": '" + words[0] + "' is not one of held-out, seconds, fault, expect");
			}
		}
		String name = file.getFileName().toString().replace(".scenario", "");
		return new Scenario(name, seconds, List.copyOf(faults), expected, heldOut);
	}

	/**
	 * Returns this scenario with another length.
	 * @param newSeconds the length
	 * @return a copy
	 */
	public Scenario lasting(int newSeconds) {
		return new Scenario(this.name, newSeconds, this.faults, this.expected, this.heldOut);
	}

	/**
	 * Something that goes wrong.
	 *
	 * @param kind such as {@code gray}
	 * @param subject a target, service, account or region
	 * @param from when it begins, in milliseconds
	 * @param to when it ends, in milliseconds
	 * @param amount a rate or duration, by kind
	 */
	public record Fault(String kind, String subject, long from, long to, double amount) {

		boolean at(long millis) {
			return millis >= this.from && millis < this.to;
		}

		boolean is(String otherKind, String otherSubject, long millis) {
			return this.kind.equals(otherKind) && this.subject.equals(otherSubject) && at(millis);
		}

	}

}
