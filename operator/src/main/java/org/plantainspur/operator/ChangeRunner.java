package org.plantainspur.operator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;

import org.plantainspur.core.configuration.AcceptanceTracker;
import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ChangeWriter;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.time.Clock;
import org.plantainspur.core.time.Pause;

/**
 * Writes a change, then queries the members in rounds until the change is accepted, that
 * is, until no host can serve requests without it.
 */
final class ChangeRunner {

	/**
	 * The pause between rounds in which every member is queried for its newest change.
	 */
	private static final long ROUND_INTERVAL_MILLIS = 100;

	private final ChangeWriter changeWriter;

	private final HostAdminClient adminClient;

	private final Clock clock;

	private final Pause pause;

	private final Supplier<String> newChangeId;

	ChangeRunner(ChangeWriter changeWriter, HostAdminClient adminClient, Clock clock, Pause pause,
			Supplier<String> newChangeId) {
		this.changeWriter = changeWriter;
		this.adminClient = adminClient;
		this.clock = clock;
		this.pause = pause;
		this.newChangeId = newChangeId;
	}

	Configuration read() {
		return this.changeWriter.read();
	}

	Map<String, JsonNode> query(String path) {
		return this.adminClient.query(read().membership().members(), path);
	}

	Map<String, JsonNode> query(Collection<Member> members, String path) {
		return this.adminClient.query(members, path);
	}

	Report run(Change change, Configuration base, long waitMillis) {
		String changeId = this.newChangeId.get();
		ChangeWriter.Outcome outcome = this.changeWriter.write(changeId, change, base);
		if (outcome instanceof ChangeWriter.Outcome.Written written) {
			return awaitAcceptance(written.sequence(), waitMillis);
		}
		if (outcome instanceof ChangeWriter.Outcome.Conflicting conflicting) {
			return new Report(Report.CONFLICT).with("result", "conflict, nothing was written")
				.with("conflicts", conflicting.conflicts().stream().map(ChangeRunner::describe).toList());
		}
		if (outcome instanceof ChangeWriter.Outcome.Unknown unknown) {
			return new Report(Report.UNKNOWN).with("result", "unknown, the change may have been written")
				.with("changeId", unknown.changeId())
				.with("reason", unknown.reason());
		}
		return new Report(Report.FAILED).with("result", "nothing was written").with("reason", outcome.toString());
	}

	private static String describe(ChangeWriter.Conflict conflict) {
		return conflict.entity() + " was at version " + conflict.baseVersion() + " and is now at version "
				+ conflict.presentVersion();
	}

	private Report awaitAcceptance(long sequence, long waitMillis) {
		Membership membership;
		try {
			membership = read().membership();
		}
		catch (ChangeLog.UnavailableException ex) {
			return new Report(Report.UNKNOWN).with("result", "written, acceptance not checked")
				.with("sequence", sequence)
				.with("reason", String.valueOf(ex.getMessage()));
		}
		return awaitAcceptance(sequence, membership, waitMillis);
	}

	private Report awaitAcceptance(long sequence, Membership membership, long waitMillis) {
		AcceptanceTracker tracker = new AcceptanceTracker(this.clock, membership, sequence);
		long deadlineMillis = this.clock.millis() + waitMillis;
		this.adminClient.nudge(membership.members());
		tracker.recordRound(acknowledgements(membership));
		while (!tracker.accepted() && this.clock.millis() < deadlineMillis) {
			this.pause.pause(ROUND_INTERVAL_MILLIS);
			tracker.recordRound(acknowledgements(membership));
		}
		String result = tracker.accepted() ? "accepted" : "written, not yet accepted";
		return new Report(tracker.accepted() ? Report.DONE : Report.UNKNOWN).with("result", result)
			.with("sequence", sequence)
			.with("inForce", tracker.inForce().stream().map(Member::hostId).toList())
			.with("notYet", tracker.missing().stream().map(Member::hostId).toList());
	}

	private List<AcceptanceTracker.Acknowledgement> acknowledgements(Membership membership) {
		List<AcceptanceTracker.Acknowledgement> acknowledgements = new ArrayList<>();
		this.adminClient.query(membership.members(), "/status")
			.forEach((host, status) -> acknowledgements
				.add(new AcceptanceTracker.Acknowledgement(status.path("hostId").asText(),
						status.path("processId").asText(), status.path("sequence").asLong(-1))));
		return acknowledgements;
	}

}
