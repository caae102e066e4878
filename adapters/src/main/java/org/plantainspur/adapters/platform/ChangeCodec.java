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
 * Encodes configuration changes as JSON objects of the form {@code {"changeId": "...",
 * "type": "put-account", "change": {...}}}.
 */
final class ChangeCodec {

	private static final Map<String, Class<? extends Change>> CLASSES_BY_TYPE = classesByType();

	private final ObjectMapper mapper = new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES,
			false);

	private static Map<String, Class<? extends Change>> classesByType() {
		Map<String, Class<? extends Change>> classes = new LinkedHashMap<>();
		classes.put("put-account", Change.PutAccount.class);
		classes.put("remove-account", Change.RemoveAccount.class);
		classes.put("issue-key", Change.IssueKey.class);
		classes.put("withdraw-key", Change.WithdrawKey.class);
		classes.put("put-route", Change.PutRoute.class);
		classes.put("remove-route", Change.RemoveRoute.class);
		classes.put("put-service", Change.PutService.class);
		classes.put("apply-sheet", Change.ApplySheet.class);
		classes.put("member-joined", Change.MemberJoined.class);
		classes.put("join-requested", Change.JoinRequested.class);
		classes.put("members-admitted", Change.MembersAdmitted.class);
		classes.put("member-resigned", Change.MemberResigned.class);
		classes.put("members-removed", Change.MembersRemoved.class);
		classes.put("members-lost", Change.MembersLost.class);
		classes.put("seats-settled", Change.SeatsSettled.class);
		return classes;
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
		Class<? extends Change> changeType = CLASSES_BY_TYPE.get(type);
		if (changeType == null) {
			throw new IOException("change " + sequence + " has the unknown type '" + type + "'; known types are "
					+ CLASSES_BY_TYPE.keySet());
		}
		return new ChangeEntry(sequence, node.path("changeId").asText(),
				this.mapper.treeToValue(node.path("change"), changeType));
	}

	private static String typeName(Change change) {
		return CLASSES_BY_TYPE.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().equals(change.getClass()))
			.map(Map.Entry::getKey)
			.findFirst()
			.orElseThrow();
	}

}
