package org.plantainspur.adapters.platform;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;

/**
 * Encodes changes as JSON objects of the form {@code {"changeId": "...", "type":
 * "put-account", "change": {...}}}.
 */
final class ChangeCodec {

	private static final Map<String, Class<? extends Change>> TYPES = types();

	private final ObjectMapper mapper = new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES,
			false);

	private static Map<String, Class<? extends Change>> types() {
		Map<String, Class<? extends Change>> types = new LinkedHashMap<>();
		types.put("put-account", Change.PutAccount.class);
		types.put("remove-account", Change.RemoveAccount.class);
		types.put("issue-key", Change.IssueKey.class);
		types.put("withdraw-key", Change.WithdrawKey.class);
		types.put("put-route", Change.PutRoute.class);
		types.put("remove-route", Change.RemoveRoute.class);
		types.put("put-service", Change.PutService.class);
		types.put("apply-sheet", Change.ApplySheet.class);
		types.put("member-joined", Change.MemberJoined.class);
		types.put("join-requested", Change.JoinRequested.class);
		types.put("members-admitted", Change.MembersAdmitted.class);
		types.put("member-resigned", Change.MemberResigned.class);
		types.put("members-removed", Change.MembersRemoved.class);
		types.put("members-lost", Change.MembersLost.class);
		types.put("seats-settled", Change.SeatsSettled.class);
		return types;
	}

	JsonNode encode(String changeId, Change change) {
		ObjectNode node = this.mapper.createObjectNode();
		node.put("changeId", changeId);
		node.put("type", typeName(change));
		node.set("change", this.mapper.valueToTree(change));
		return node;
	}

	ChangeEntry decode(long sequence, JsonNode node) throws IOException {
		String type = node.path("type").asText();
		Class<? extends Change> changeType = TYPES.get(type);
		if (changeType == null) {
			throw new IOException(
					"change " + sequence + " has the unknown type '" + type + "'; known types are " + TYPES.keySet());
		}
		return new ChangeEntry(sequence, node.path("changeId").asText(),
				this.mapper.treeToValue(node.path("change"), changeType));
	}

	private static String typeName(Change change) {
		return TYPES.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(change.getClass()))
			.map(Map.Entry::getKey)
			.findFirst()
			.orElseThrow();
	}

}
