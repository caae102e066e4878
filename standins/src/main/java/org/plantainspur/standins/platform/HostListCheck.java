package org.plantainspur.standins.platform;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import org.plantainspur.core.finding.Findings;

/**
 * Checks a list of hosts, so that a misspelt field of a test is not ignored.
 */
final class HostListCheck {

	private HostListCheck() {
	}

	/**
	 * Checks the list.
	 * @param list an object with the field {@code hosts}
	 * @return the list
	 * @throws Findings.InvalidInputException naming every fault
	 */
	static JsonNode check(JsonNode list) {
		Findings findings = new Findings();
		if (!list.path("hosts").isArray()) {
			findings.add("hosts", list.path("hosts").toString(), "is not an array", "write {\"hosts\": [...]}");
		}
		int index = 0;
		for (JsonNode host : list.path("hosts")) {
			String place = "hosts[" + index + "].";
			for (String field : List.of("id", "kind", "address")) {
				if (host.path(field).asText().isEmpty()) {
					findings.add(place + field, host.path(field).asText(), "is missing", "write a text");
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
