package org.plantainspur.standins.demo;

import java.util.Arrays;
import java.util.List;

/**
 * A target of the demonstration.
 *
 * @param id the name, which starts with the service
 * @param region the region
 * @param address {@code ip:port}
 */
record DemoTarget(String id, String region, String address) {

	private static final String ENTRY = "[a-z]+-[0-9]+=[a-z]+=127\\.[0-9.]+:[0-9]{1,5}";

	/** A list of targets. */
	static final String LIST_PATTERN = ENTRY + "(," + ENTRY + ")*";

	static List<DemoTarget> list(String text) {
		return Arrays.stream(text.split(","))
			.map((entry) -> entry.split("="))
			.map((parts) -> new DemoTarget(parts[0], parts[1], parts[2]))
			.toList();
	}

	String service() {
		return this.id.substring(0, this.id.indexOf('-'));
	}

}
