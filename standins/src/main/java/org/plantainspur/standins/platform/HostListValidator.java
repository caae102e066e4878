package org.plantainspur.standins.platform;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import org.plantainspur.core.finding.Findings;

/**
 * Validates a list of hosts, so that a misspelt field in a test fails instead of being
 * ignored.
 */
final class HostListValidator {

	private HostListValidator() {
	}

	/**
	 * Validates the list.
	 * @param list a JSON object whose field {@code hosts} holds the entries
	 * @return the same list
	 * @throws Findings.InvalidInputException if fields are missing or invalid; names each
	 * of them
	 */
	static JsonNode validate(JsonNode list) {
		Findings findings = new Findings();
		if (!list.path("hosts").isArray()) {
			findings.add("hosts", list.path("hosts").toString(), "is not an array", "write {\"hosts\": [...]}");
		}
		int index = 0;
		for (JsonNode host : list.path("hosts")) {
			String place = "hosts[" + index + "].";
			for (String field : List.of("id", "kind", "address")) {
				if (host.path(field).asText().isEmpty()) {
					findings.add(place + field, host.path(field).asText(), "is missing",
							"write a string that is not empty");
				}
			}
			String state = host.path("state").asText();
			if (!state.equals("live") && !state.equals("leaving")) {
				findings.add(place + "state", state, "is unknown", "write live or leaving");
			}
			index++;
		}
		findings.throwIfAny();
		return list;
	}

}
