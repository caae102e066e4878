package org.plantainspur.core.configuration;

import java.util.List;

import org.plantainspur.core.membership.Member;

/**
 * One change of the configuration or of the membership.
 */
public sealed interface Change {

	/**
	 * Returns the names of the entities that the change writes, such as {@code
	 * account/harbor-clinic}. Two changes of the same entity conflict if one of them is
	 * based on a version from before the other.
	 * @return the names of the entities, each as {@code kind/name}, or {@code seats}
	 */
	List<String> entities();

	/**
	 * Creates or replaces a client account.
	 *
	 * @param account the account with its new rate limit
	 */
	record PutAccount(ClientAccount account) implements Change {

		@Override
		public List<String> entities() {
			return List.of("account/" + this.account.id());
		}

	}

	/**
	 * Removes a client account and all its keys.
	 *
	 * @param accountId the account's name
	 */
	record RemoveAccount(String accountId) implements Change {

		@Override
		public List<String> entities() {
			return List.of("account/" + this.accountId);
		}

	}

	/**
	 * Adds a key of a client account.
	 *
	 * @param keyHash the SHA-256 of the key in lower-case hexadecimal
	 * @param accountId the account that the key belongs to
	 */
	record IssueKey(String keyHash, String accountId) implements Change {

		@Override
		public List<String> entities() {
			return List.of("key/" + this.keyHash);
		}

	}

	/**
	 * Withdraws a key, so that requests with it are refused.
	 *
	 * @param keyHash the SHA-256 of the key in lower-case hexadecimal
	 */
	record WithdrawKey(String keyHash) implements Change {

		@Override
		public List<String> entities() {
			return List.of("key/" + this.keyHash);
		}

	}

	/**
	 * Creates or replaces a route.
	 *
	 * @param route the route with its new settings
	 */
	record PutRoute(Route route) implements Change {

		@Override
		public List<String> entities() {
			return List.of("route/" + this.route.id());
		}

	}

	/**
	 * Removes a route.
	 *
	 * @param routeId the route's name
	 */
	record RemoveRoute(String routeId) implements Change {

		@Override
		public List<String> entities() {
			return List.of("route/" + this.routeId);
		}

	}

	/**
	 * Sets the policy of a service.
	 *
	 * @param policy the new policy with the name of its service
	 */
	record PutService(ServicePolicy policy) implements Change {

		@Override
		public List<String> entities() {
			return List.of("service/" + this.policy.service());
		}

	}

	/**
	 * Applies a planners' sheet, in which capacity planners set the headroom of services
	 * and the rate limits of accounts. All its lines take effect at once.
	 *
	 * @param services the services with their new headroom
	 * @param accounts the accounts with their new rate limits
	 */
	record ApplySheet(List<ServicePolicy> services, List<ClientAccount> accounts) implements Change {

		public ApplySheet {
			services = List.copyOf(services);
			accounts = List.copyOf(accounts);
		}

		@Override
		public List<String> entities() {
			List<String> names = new java.util.ArrayList<>();
			this.services.forEach((policy) -> names.add("service/" + policy.service()));
			this.accounts.forEach((account) -> names.add("account/" + account.id()));
			return names;
		}

	}

	/**
	 * Adds a member, or replaces the process of an existing member.
	 *
	 * @param member the new member
	 */
	record MemberJoined(Member member) implements Change {

		@Override
		public List<String> entities() {
			return List.of("member/" + this.member.hostId());
		}

	}

	/**
	 * Requests a new seat for a process. The process becomes a member with a later
	 * {@link MembersAdmitted}.
	 *
	 * @param member the process
	 */
	record JoinRequested(Member member) implements Change {

		@Override
		public List<String> entities() {
			return List.of("waiting/" + this.member.hostId());
		}

	}

	/**
	 * Adds several waiting processes as members at once.
	 *
	 * @param members the new members
	 */
	record MembersAdmitted(List<Member> members) implements Change {

		public MembersAdmitted {
			members = List.copyOf(members);
		}

		@Override
		public List<String> entities() {
			return this.members.stream().map((member) -> "member/" + member.hostId()).toList();
		}

	}

	/**
	 * Records that a process has stopped using its shares of rate limits and is about to
	 * exit.
	 *
	 * @param hostId the host name of the member
	 * @param processId the identifier of the process that resigned
	 */
	record MemberResigned(String hostId, String processId) implements Change {

		@Override
		public List<String> entities() {
			return List.of("member/" + this.hostId);
		}

	}

	/**
	 * Removes members that a majority reports as silent.
	 *
	 * @param members the removed members
	 */
	record MembersRemoved(List<Member> members) implements Change {

		public MembersRemoved {
			members = List.copyOf(members);
		}

		@Override
		public List<String> entities() {
			return this.members.stream().map((member) -> "member/" + member.hostId()).toList();
		}

	}

	/**
	 * Removes members whose processes have ended and will not run again, as confirmed by
	 * an operator. Unlike {@link MembersRemoved}, this needs no majority of the members
	 * before it, so it works after the loss of half or more of the members.
	 *
	 * @param members the lost members
	 */
	record MembersLost(List<Member> members) implements Change {

		public MembersLost {
			members = List.copyOf(members);
		}

		@Override
		public List<String> entities() {
			return this.members.stream().map((member) -> "member/" + member.hostId()).toList();
		}

	}

	/**
	 * Records that a majority of the members before the last change of seats and a
	 * majority of those after it have that change in force, and that processes that lost
	 * their seat no longer serve requests. A seat is the combination of a host name and a
	 * peer address.
	 *
	 * @param seatSequence the sequence number of the change of seats
	 */
	record SeatsSettled(long seatSequence) implements Change {

		@Override
		public List<String> entities() {
			return List.of("seats");
		}

	}

}
