package org.plantainspur.operator;

import java.util.Collection;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

import org.plantainspur.core.membership.Member;

/**
 * Asks the admin interfaces of hosts.
 */
interface HostAdmin {

	/**
	 * Asks several members at once.
	 * @param members the members
	 * @param path the path, such as {@code /status}
	 * @return the answers by host; hosts that gave none are missing
	 */
	Map<String, JsonNode> ask(Collection<Member> members, String path);

	/**
	 * Tells members to read the platform at once, without waiting for an answer. A member
	 * that does not hear of it reads the platform at its next poll.
	 * @param members the members
	 */
	void nudge(Collection<Member> members);

}
