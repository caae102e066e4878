package org.plantainspur.core.peer;

import java.util.List;

import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ConfigurationPart;
import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.routing.Target;

/**
 * A message between two members: either a request or the answer to one.
 */
public sealed interface PeerMessage {

	/**
	 * Tells the state of the sender. Both a heartbeat and the response to it have this
	 * form.
	 *
	 * @param hostId the host name of the sender
	 * @param processId the process identifier of the sender
	 * @param sequence the sequence number that the sender has in force, -1 until the
	 * sender first has evidence that this number is the newest that a majority knows
	 * @param platformReadAgeMillis the time since the sender's last complete read of the
	 * platform began, in milliseconds; -1 if there was none
	 * @param leaving whether the sender is about to stop
	 * @param silentHosts the names of hosts that the sender has received no response from
	 * for 3 s, at most 64
	 */
	record Heartbeat(String hostId, String processId, long sequence, long platformReadAgeMillis, boolean leaving,
			List<String> silentHosts) implements PeerMessage {

		public Heartbeat {
			silentHosts = List.copyOf(silentHosts);
		}
	}

	/**
	 * Requests the changes after a sequence number.
	 *
	 * @param after the sequence number that the requester has in force
	 */
	record ConfigurationRequest(long after) implements PeerMessage {
	}

	/**
	 * Returns the changes after the requested sequence number.
	 *
	 * @param entries the changes in the order of their sequence numbers
	 */
	record ConfigurationChanges(List<ChangeEntry> entries) implements PeerMessage {

		public ConfigurationChanges {
			entries = List.copyOf(entries);
		}
	}

	/**
	 * Requests a part of the whole configuration state.
	 *
	 * @param sequence the sequence number of the state
	 * @param number the number of the part, from 0
	 */
	record ConfigurationPartRequest(long sequence, int number) implements PeerMessage {
	}

	/**
	 * Returns a part of the whole configuration state. It also answers a request for
	 * changes that the sender no longer keeps.
	 *
	 * @param part the part with its number and the number of all parts
	 */
	record PartOfConfiguration(ConfigurationPart part) implements PeerMessage {
	}

	/**
	 * Requests the list of targets of all services.
	 */
	record TargetListRequest() implements PeerMessage {
	}

	/**
	 * Returns the newest list of targets that the sender has read.
	 *
	 * @param targets the targets of all services
	 */
	record TargetList(List<Target> targets) implements PeerMessage {

		public TargetList {
			targets = List.copyOf(targets);
		}
	}

	/**
	 * Notifies a member that a newer sequence number exists, so that it reads the
	 * platform before its next poll is due.
	 *
	 * @param sequence the newer sequence number
	 */
	record Nudge(long sequence) implements PeerMessage {
	}

	/**
	 * Requests to borrow rate-limit tokens of an account from one of its home hosts. A
	 * token admits one request.
	 *
	 * @param hostId the host name of the borrower
	 * @param accountId the name of the account
	 * @param milliTokens the requested amount in thousandths of a token
	 */
	record Borrow(String hostId, String accountId, long milliTokens) implements PeerMessage {
	}

	/**
	 * Lends tokens, in answer to a {@link Borrow}.
	 *
	 * @param milliTokens the lent amount in thousandths of a token, 0 if no tokens are
	 * available
	 */
	record Lent(long milliTokens) implements PeerMessage {
	}

	/**
	 * Requests that a member send a {@link Report} on a service to the coordinator
	 * without delay. The receiver only acknowledges this message.
	 *
	 * @param service the name of the service
	 */
	record ReportRequest(String service) implements PeerMessage {
	}

	/**
	 * Reports the outcomes of requests that one host has dispatched since its last
	 * report.
	 *
	 * @param hostId the host name of the reporter
	 * @param processId the process identifier of the reporter
	 * @param sequence the sequence number that the reporter has in force
	 * @param service the name of the service
	 * @param targets the outcomes, one element for each target
	 * @param ejectedHeld the ejections in force at the reporter
	 */
	record Report(String hostId, String processId, long sequence, String service, List<TargetEvidence> targets,
			List<HeldEjection> ejectedHeld) implements PeerMessage {
	}

	/**
	 * An ejection that is in force at the reporter, from a {@link Verdict} that has not
	 * expired.
	 *
	 * @param targetId the identifier of the target
	 * @param requiredBudget the required budget of that verdict, in slots
	 */
	record HeldEjection(String targetId, int requiredBudget) {
	}

	/**
	 * The outcomes of one target at one host.
	 *
	 * @param targetId the identifier of the target
	 * @param accounts the outcomes, one element for each account that had any; accounts
	 * beyond the first 16 share the element {@code other}
	 * @param latencyCounts the number of successes in each latency bucket; bucket
	 * {@code i} ends at 2^i milliseconds, and the last one is unbounded
	 * @param inFlight requests in flight from this host
	 * @param leaving whether this host saw a sign that the target is leaving
	 */
	record TargetEvidence(String targetId, List<AccountEvidence> accounts, List<Integer> latencyCounts, int inFlight,
			boolean leaving) {
	}

	/**
	 * The outcomes of one account on one target at one host.
	 *
	 * @param accountId the name of the account
	 * @param successes the number of complete answers with a status below 500 and of
	 * answers that exceeded the size limit
	 * @param failures the number of complete answers with status 500 or above, which
	 * prove that the target can be reached
	 * @param unanswered the number of timeouts and connection resets
	 * @param connectFailures the number of attempts for which no connection could be
	 * opened
	 * @param sheds the number of requests that the target refused to shed load
	 * @param overdueChange the change of the number of overdue requests since the last
	 * report. A request is overdue if it has no answer after several times the service's
	 * usual latency. The value is negative if such requests have ended; they are then
	 * counted by their outcome
	 */
	record AccountEvidence(String accountId, int successes, int failures, int unanswered, int connectFailures,
			int sheds, int overdueChange) {
	}

	/**
	 * Returns the health verdicts of a service, in answer to a {@link Report}.
	 *
	 * @param service the name of the service
	 * @param verdicts the verdicts in force, one for each target of the service
	 * @param lifetimeMillis how long the verdicts are valid in milliseconds, counted from
	 * before the report was sent
	 * @param settling whether the coordinator may not eject targets for this reporter
	 * now, because it took over only recently, its configuration may be out of date or it
	 * does not know the reporter as a member; the reporter then keeps the ejections that
	 * it has in force until they expire
	 * @param leaving the identifiers of the targets that are leaving
	 */
	record Verdicts(String service, List<Verdict> verdicts, long lifetimeMillis, boolean settling,
			List<String> leaving) implements PeerMessage {
	}

	/**
	 * The health verdict on one target.
	 *
	 * @param targetId the identifier of the target
	 * @param ejected whether the target is ejected, so that no requests are sent to it
	 * @param requiredBudget the smallest ejection budget, in slots, with which a host
	 * applies the ejection; each host computes its budget from the targets that it knows
	 * @param weight the share of its normal load, from 0 to 1, if it is not ejected
	 * @param load the requests in flight on it from all hosts, as last reported
	 * @param sickness the strength of the evidence against the target; larger is worse
	 * @param reason the evidence for the verdict, as a text for operators
	 */
	record Verdict(String targetId, boolean ejected, int requiredBudget, double weight, int load, double sickness,
			String reason) {

		/**
		 * Creates a verdict with a required budget of 0: a host applies its ejection, if
		 * it is one, with any budget.
		 * @param targetId the identifier of the target
		 * @param ejected whether the target is ejected, so that no requests are sent to
		 * it
		 * @param weight the share of its normal load, from 0 to 1, if it is not ejected
		 * @param load the requests in flight on it from all hosts, as last reported
		 * @param sickness the strength of the evidence against the target; larger is
		 * worse
		 * @param reason the evidence for the verdict, as a text for operators
		 */
		public Verdict(String targetId, boolean ejected, double weight, int load, double sickness, String reason) {
			this(targetId, ejected, 0, weight, load, sickness, reason);
		}

	}

	/**
	 * Relays a non-idempotent request to the only process that may dispatch it.
	 *
	 * @param processId the identifier of that process
	 * @param request the whole request; the receiver ignores its time of receipt
	 * @param deadlineMillis the time until the deadline of the request, in milliseconds
	 */
	record Relay(String processId, CallerRequest request, long deadlineMillis) implements PeerMessage {
	}

	/**
	 * Returns the answer to a relayed request.
	 *
	 * @param answer the answer for the caller
	 */
	record Relayed(CallerAnswer answer) implements PeerMessage {
	}

	/**
	 * Notifies a member that a request may have crashed a target.
	 *
	 * @param fingerprint the hash that identifies equal requests
	 * @param targetId the identifier of the target
	 */
	record Suspect(String fingerprint, String targetId) implements PeerMessage {
	}

	/**
	 * Acknowledges a message that needs no other answer.
	 */
	record Acknowledged() implements PeerMessage {
	}

	/**
	 * Answers a message of a type that the receiver does not know.
	 *
	 * @param type the name of the unknown type
	 */
	record Unsupported(String type) implements PeerMessage {
	}

}
