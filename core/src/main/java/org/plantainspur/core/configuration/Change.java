package org.plantainspur.core.configuration;

import java.util.List;

import org.plantainspur.core.membership.Member;

/**
 * One change of the configuration or of the membership.
 */
public sealed interface Change {

	/**
	 * Returns the names of the entities that the change writes, such as
	 * {@code account/harbor-clinic}. Two changes that share an entity conflict if one is
	 * based on a version before the other.
	 * @return entity names
	 */
	List<String> entities();

	/**
	 * Creates or replaces a client account.
	 *
	 * @param account the account
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
	 * Issues a key.
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
	 * Withdraws a key.
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
	 * @param route the route
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
	 * @param policy the policy
	 */
	record PutService(ServicePolicy policy) implements Change {

		@Override
		public List<String> entities() {
			return List.of("service/" + this.policy.service());
		}

	}

	/**
	 * Applies a planners' sheet as a whole.
	 *
	 * @param services the services with their new headroom
	 * @param accounts the accounts with their new limits
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
	 * Adds a member, or replaces the process at an existing member's host.
	 *
	 * @param member the member
	 */
	record MemberJoined(Member member) implements Change {

		@Override
		public List<String> entities() {
			return List.of("member/" + this.member.hostId());
		}

	}

	/**
	 * Asks for a seat of its own for a process, which is no member until
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
	 * Gives seats to several waiting processes at once.
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
	 * Records that a member has stopped using its shares and is about to stop.
	 *
	 * @param hostId the member's host
	 * @param processId the process that resigned
	 */
	record MemberResigned(String hostId, String processId) implements Change {

		@Override
		public List<String> entities() {
			return List.of("member/" + this.hostId);
		}

	}

	/**
	 * Removes members that were not heard from.
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
	 * Removes members whose processes have certainly ended and will not run again, as an
	 * operator states. Unlike {@link MembersRemoved}, this needs no majority of the
	 * members before it, so it is possible after the loss of half or more of the seats.
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
	 * Records that the last change of seats is known to a majority of the members before
	 * and after it, and that processes that lost their seat are fenced.
	 *
	 * @param seatSequence the sequence number of that change of seats
	 */
	record SeatsSettled(long seatSequence) implements Change {

		@Override
		public List<String> entities() {
			return List.of("seats");
		}

	}

}
