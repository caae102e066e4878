package org.plantainspur.operator;

import java.util.Collection;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

import org.plantainspur.core.membership.Member;

/**
 * Sends requests to the admin endpoints of hosts.
 */
interface HostAdminClient {

	/**
	 * Queries several members concurrently and waits for their answers.
	 * @param members the members to query
	 * @param path the path of the query, such as {@code /status}
	 * @return the JSON answers by host id, without the hosts that gave no valid answer
	 */
	Map<String, JsonNode> query(Collection<Member> members, String path);

	/**
	 * Tells members to read the platform at once, without waiting for their answers. A
	 * member that the message does not reach reads the platform at its next poll.
	 * @param members the members to tell
	 */
	void nudge(Collection<Member> members);

}
