package org.plantainspur.adapters.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import org.plantainspur.core.routing.Target;
import org.plantainspur.core.routing.TargetDirectory;

/**
 * Reads the targets from the platform's list of live and leaving hosts. The platform
 * updates the list with a delay. With 12,000 targets the list is several megabytes long,
 * so it is transferred and parsed only if it has changed. Not thread-safe.
 */
public final class TargetListReader {

	private final PlatformClient client;

	private TargetDirectory directory = TargetDirectory.of(List.of());

	private String entityTag = "";

	/**
	 * Creates a reader.
	 * @param client the client of the platform
	 */
	public TargetListReader(PlatformClient client) {
		this.client = client;
	}

	/**
	 * Asks the platform whether the list has changed, and reads it if so.
	 * @return the targets of the newest list
	 * @throws IOException if the platform did not answer as expected
	 */
	public TargetDirectory read() throws IOException {
		if (this.client.hosts(this.entityTag) instanceof PlatformClient.HostList.Changed changed) {
			this.directory = TargetDirectory.of(parseTargets(changed.hosts()));
			this.entityTag = changed.entityTag();
		}
		return this.directory;
	}

	private static List<Target> parseTargets(JsonNode hosts) {
		List<Target> targets = new ArrayList<>();
		for (JsonNode node : hosts) {
			if (node.path("kind").asText().equals("target")) {
				targets.add(new Target(node.path("id").asText(), node.path("service").asText(),
						node.path("address").asText(), node.path("region").asText(),
						node.path("failureDomain").asText(), node.path("slots").asInt(1),
						node.path("connections").asInt(1), node.path("state").asText().equals("leaving")));
			}
		}
		return targets;
	}

}
