package org.plantainspur.adapters.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import org.plantainspur.core.routing.Target;
import org.plantainspur.core.routing.TargetDirectory;

/**
 * Reads the targets from the platform's list of live and leaving hosts. The list lags.
 */
public final class TargetListReader {

	private final PlatformClient client;

	/**
	 * Creates a reader.
	 * @param client the platform
	 */
	public TargetListReader(PlatformClient client) {
		this.client = client;
	}

	/**
	 * Reads the list once.
	 * @return the targets
	 * @throws IOException if no answer came
	 */
	public TargetDirectory read() throws IOException {
		List<Target> targets = new ArrayList<>();
		for (JsonNode node : this.client.hosts().path("hosts")) {
			if (node.path("kind").asText().equals("target")) {
				targets.add(new Target(node.path("id").asText(), node.path("service").asText(),
						node.path("address").asText(), node.path("region").asText(),
						node.path("failureDomain").asText(), node.path("slots").asInt(1),
						node.path("connections").asInt(1), node.path("state").asText().equals("leaving")));
			}
		}
		return TargetDirectory.of(targets);
	}

}
