package org.plantainspur.operator;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.plantainspur.core.membership.Member;

/**
 * Queries the admin endpoints over HTTP. An answer that is late or malformed, or whose
 * status is not 200, counts as missing.
 */
final class HttpHostAdminClient implements HostAdminClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private static final int STATUS_OK = 200;

	private final ObjectMapper mapper = new ObjectMapper();

	private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

	@Override
	public Map<String, JsonNode> query(Collection<Member> members, String path) {
		Map<String, JsonNode> answers = new ConcurrentHashMap<>();
		List<CompletableFuture<?>> pending = new ArrayList<>();
		for (Member member : members) {
			HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + member.adminAddress() + path))
				.timeout(TIMEOUT)
				.build();
			pending.add(this.client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
				.thenAccept((response) -> recordAnswer(answers, member, response))
				.exceptionally((failure) -> null));
		}
		CompletableFuture.allOf(pending.toArray(CompletableFuture[]::new)).join();
		return answers;
	}

	@Override
	public void nudge(Collection<Member> members) {
		for (Member member : members) {
			HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + member.adminAddress() + "/nudge"))
				.timeout(TIMEOUT)
				.POST(HttpRequest.BodyPublishers.noBody())
				.build();
			this.client.sendAsync(request, HttpResponse.BodyHandlers.discarding());
		}
	}

	private void recordAnswer(Map<String, JsonNode> answers, Member member, HttpResponse<String> response) {
		try {
			if (response.statusCode() == STATUS_OK) {
				answers.put(member.hostId(), this.mapper.readTree(response.body()));
			}
		}
		catch (JsonProcessingException ex) {
			answers.remove(member.hostId());
		}
	}

}
