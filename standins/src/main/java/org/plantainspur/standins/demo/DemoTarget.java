package org.plantainspur.standins.demo;

import java.util.Arrays;
import java.util.List;

/**
 * A target of the demonstration.
 *
 * @param id the name, which starts with the service, such as {@code booking-1}
 * @param region the region in which the target runs
 * @param address {@code ip:port} on which the target listens
 */
record DemoTarget(String id, String region, String address) {

	private static final String TARGET_PATTERN = "[a-z]+-[0-9]+=[a-z]+=127\\.[0-9.]+:[0-9]{1,5}";

	/** The pattern of a comma-separated list of targets as {@code id=region=ip:port}. */
	static final String LIST_PATTERN = TARGET_PATTERN + "(," + TARGET_PATTERN + ")*";

	static List<DemoTarget> parseList(String text) {
		return Arrays.stream(text.split(","))
			.map((entry) -> entry.split("="))
			.map((parts) -> new DemoTarget(parts[0], parts[1], parts[2]))
			.toList();
	}

	String service() {
		return this.id.substring(0, this.id.indexOf('-'));
	}

}
