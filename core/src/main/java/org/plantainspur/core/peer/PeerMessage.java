package org.plantainspur.core.peer;

import java.util.List;

import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ConfigurationPart;
import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.routing.Target;

/**
 * A message between two members.
 */
public sealed interface PeerMessage {

	/**
	 * Tells the sender's state. It is both the request and the answer.
	 *
	 * @param hostId the sender's host
	 * @param processId the sender's process
	 * @param sequence the sender's sequence number in force, -1 while the sender has not
	 * shown it to be the newest that a majority knows
	 * @param platformReadAgeMillis the age of the sender's newest read of the platform in
	 * milliseconds, -1 if it has none
	 * @param leaving whether the sender is about to stop
	 * @param silentHosts hosts that gave the sender no answer for 3 s, at most 64
	 */
	record Heartbeat(String hostId, String processId, long sequence, long platformReadAgeMillis, boolean leaving,
			List<String> silentHosts) implements PeerMessage {

		public Heartbeat {
			silentHosts = List.copyOf(silentHosts);
		}
	}

	/**
	 * Asks for the changes after a sequence number.
	 *
	 * @param after the sequence number to start after
	 */
	record ConfigurationRequest(long after) implements PeerMessage {
	}

	/**
	 * Returns the changes after the requested sequence number.
	 *
	 * @param entries the changes in order
	 */
	record ConfigurationChanges(List<ChangeEntry> entries) implements PeerMessage {

		public ConfigurationChanges {
			entries = List.copyOf(entries);
		}
	}

	/**
	 * Asks for a part of the whole state.
	 *
	 * @param sequence the sequence number of the state
	 * @param number the number of the part, from 0
	 */
	record ConfigurationPartRequest(long sequence, int number) implements PeerMessage {
	}

	/**
	 * Returns a part of the whole state, if the requested changes are no longer kept.
	 *
	 * @param part the part
	 */
	record PartOfConfiguration(ConfigurationPart part) implements PeerMessage {
	}

	/**
	 * Asks for the list of targets.
	 */
	record TargetListRequest() implements PeerMessage {
	}

	/**
	 * Returns the list of targets as the sender last had it.
	 *
	 * @param targets the targets of all services
	 */
	record TargetList(List<Target> targets) implements PeerMessage {

		public TargetList {
			targets = List.copyOf(targets);
		}
	}

	/**
	 * Tells that a newer sequence number exists.
	 *
	 * @param sequence the sequence number
	 */
	record Nudge(long sequence) implements PeerMessage {
	}

	/**
	 * Asks a home host for tokens of an account.
	 *
	 * @param hostId the borrower's host
	 * @param accountId the account
	 * @param milliTokens the wanted amount in thousandths of a token
	 */
	record Borrow(String hostId, String accountId, long milliTokens) implements PeerMessage {
	}

	/**
	 * Lends tokens.
	 *
	 * @param milliTokens the lent amount in thousandths of a token, 0 if there are none
	 */
	record Lent(long milliTokens) implements PeerMessage {
	}

	/**
	 * Asks a member to report on a service at once.
	 *
	 * @param service the service
	 */
	record ReportRequest(String service) implements PeerMessage {
	}

	/**
	 * Reports the outcomes that one host saw since its last report.
	 *
	 * @param hostId the reporter's host
	 * @param processId the reporter's process
	 * @param sequence the reporter's sequence number in force
	 * @param service the service
	 * @param targets the outcomes by target
	 * @param ejectedHeld the ejections that the reporter holds now
	 */
	record Report(String hostId, String processId, long sequence, String service, List<TargetEvidence> targets,
			List<HeldEjection> ejectedHeld) implements PeerMessage {
	}

	/**
	 * An ejection that a host holds.
	 *
	 * @param targetId the target
	 * @param requiredBudget as in the verdict
	 */
	record HeldEjection(String targetId, int requiredBudget) {
	}

	/**
	 * The outcomes of one target at one host.
	 *
	 * @param targetId the target
	 * @param accounts the outcomes by account, at most a few accounts
	 * @param latencyCounts the number of answers in each latency bucket; bucket {@code i}
	 * ends at 2^i milliseconds
	 * @param inFlight requests in flight from this host
	 * @param leaving whether this host saw a sign that the target is leaving
	 */
	record TargetEvidence(String targetId, List<AccountEvidence> accounts, List<Integer> latencyCounts, int inFlight,
			boolean leaving) {
	}

	/**
	 * The outcomes of one account on one target at one host.
	 *
	 * @param accountId the account
	 * @param successes whole answers below status 500
	 * @param failures whole answers with status 500 or above, which prove that the path
	 * works
	 * @param unanswered timeouts and resets
	 * @param connectFailures attempts without a connection
	 * @param sheds refusals by the target
	 * @param overdueChange by how many more requests than at the last report are overdue:
	 * still without an answer after several times the service's usual latency; negative
	 * when such requests have ended, which are then counted by their outcome
	 */
	record AccountEvidence(String accountId, int successes, int failures, int unanswered, int connectFailures,
			int sheds, int overdueChange) {
	}

	/**
	 * Answers a report.
	 *
	 * @param service the service
	 * @param verdicts the verdicts in force, one for each target of the service
	 * @param lifetimeMillis how long the verdicts hold, counted from before the report
	 * was sent
	 * @param settling whether the coordinator is too new to eject; the receiver keeps the
	 * ejections it holds until they expire
	 * @param leaving the targets that are leaving
	 */
	record Verdicts(String service, List<Verdict> verdicts, long lifetimeMillis, boolean settling,
			List<String> leaving) implements PeerMessage {
	}

	/**
	 * The verdict on one target.
	 *
	 * @param targetId the target
	 * @param ejected whether it gets no work
	 * @param requiredBudget the least ejection budget, in slots by the targets that the
	 * host itself knows, with which the host keeps the ejection
	 * @param weight its weight from 0 to 1 if it is not ejected
	 * @param load the requests in flight on it from all hosts, as last reported
	 * @param sickness how sick it is; larger is worse
	 * @param reason the evidence, for operators
	 */
	record Verdict(String targetId, boolean ejected, int requiredBudget, double weight, int load, double sickness,
			String reason) {

		/**
		 * Creates a verdict whose ejection, if it is one, holds with any budget.
		 * @param targetId the target
		 * @param ejected whether it gets no work
		 * @param weight its weight from 0 to 1 if it is not ejected
		 * @param load the requests in flight on it from all hosts, as last reported
		 * @param sickness how sick it is; larger is worse
		 * @param reason the evidence, for operators
		 */
		public Verdict(String targetId, boolean ejected, double weight, int load, double sickness, String reason) {
			this(targetId, ejected, 0, weight, load, sickness, reason);
		}

	}

	/**
	 * Passes a non-idempotent request to the process that may dispatch it.
	 *
	 * @param processId the process that may dispatch it
	 * @param request the whole request; its instant of receipt has no meaning
	 * @param deadlineMillis the time left in milliseconds
	 */
	record Relay(String processId, CallerRequest request, long deadlineMillis) implements PeerMessage {
	}

	/**
	 * Returns the answer of a relayed request.
	 *
	 * @param answer the answer
	 */
	record Relayed(CallerAnswer answer) implements PeerMessage {
	}

	/**
	 * Tells that a request may have crashed a target.
	 *
	 * @param fingerprint the request's identity
	 * @param targetId the target
	 */
	record Suspect(String fingerprint, String targetId) implements PeerMessage {
	}

	/**
	 * Confirms a message that needs no other answer.
	 */
	record Acknowledged() implements PeerMessage {
	}

	/**
	 * Answers a message that the receiver does not know.
	 *
	 * @param type the type of the message
	 */
	record Unsupported(String type) implements PeerMessage {
	}

}
