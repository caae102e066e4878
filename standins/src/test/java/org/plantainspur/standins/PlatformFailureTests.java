package org.plantainspur.standins;

import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

import org.plantainspur.core.configuration.Change;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hosts that stop serving during a platform outage, changes that are
 * accepted during it, and writes that take effect twice because their reply was lost.
 */
@Timeout(120)
@ExtendWith(SharedFleetExtension.class)
class PlatformFailureTests {

	private static final ObjectMapper mapper = new ObjectMapper();

	@Nested
	class Outage {

		@Test
		void leavesRoutesThatNeedAKeyServedAndAcceptsNoChange(TestFleet fleet) throws Exception {
			fleet.awaitSettled();
			int changes = fleet.changes().size();
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 4, 10)) {
				Thread.sleep(500);
				long outageStartNanos = System.nanoTime();
				fleet.platformFaults("{\"unavailable\": \"closed\"}");
				Thread.sleep(1000);
				assertThat(fleet.operator("key", "issue", "harbor-clinic").exitCode()).isNotZero();
				Thread.sleep(4000);
				fleet.platformFaults("{\"unavailable\": \"silent\"}");
				Thread.sleep(5000);
				caller.close();
				assertThat(caller.endedSince(outageStartNanos)).isNotEmpty();
				assertThat(caller.failedSince(outageStartNanos)).isEmpty();
			}
			fleet.platformFaults("{}");
			assertThat(fleet.changes()).hasSize(changes);
		}

		@Test
		void letsARestartedHostProcessServe(TestFleet fleet) throws Exception {
			restartDuringOutage(fleet, "entry-4");
		}

		@Test
		void letsARestartedHostProcessJoinWhenItEnds(TestFleet fleet) throws Exception {
			restartDuringOutage(fleet, "entry-4");
			fleet.platformFaults("{}");
			fleet.awaitSettled();
			assertThat(fleet.joined("entry-4")).isTrue();
		}

		private static void restartDuringOutage(TestFleet fleet, String id) throws Exception {
			fleet.platformFaults("{\"unavailable\": \"closed\"}");
			fleet.signal(id, "KILL");
			fleet.awaitExit(id, 5);
			fleet.startHost(id, "--seeds", fleet.host("entry-1").peer() + "," + fleet.host("entry-2").peer());
			TestFleet.await("the new process serves during the outage", 10_000, () -> fleet.read(id) == 200);
		}

	}

	@Nested
	class LostReply {

		@Test
		void toAnIssuedKeyWritesOneKey(TestFleet fleet) throws Exception {
			// A write by a host would use up the single dropped reply.
			fleet.awaitSettled();
			long issuedBefore = countIssuedKeys(fleet);
			fleet.platformFaults("{\"dropRepliesToWrites\": 1}");
			TestFleet.OperatorResult result = fleet.operator("key", "issue", "harbor-clinic");
			fleet.platformFaults("{}");
			assertThat(result.exitCode()).as(result.output()).isZero();
			assertThat(countIssuedKeys(fleet)).isEqualTo(issuedBefore + 1);
			assertThat(mapper.readTree(result.output()).path("key").asText()).isNotEmpty();
		}

		@Test
		void toAJoinAdmitsTheProcessOnce(TestFleet fleet) throws Exception {
			fleet.signal("entry-3", "KILL");
			fleet.awaitExit("entry-3", 5);
			fleet.platformFaults("{\"dropRepliesToWrites\": 2}");
			fleet.startHost("entry-3");
			fleet.awaitReady();
			fleet.platformFaults("{}");
			String processId = fleet.status("entry-3").path("processId").asText();
			List<Change> changes = fleet.changes();
			assertThat(changes.stream().filter((change) -> admits(change, processId))).hasSize(1);
			assertThat(changes.stream().filter((change) -> requestsJoin(change, processId)))
				.hasSizeLessThanOrEqualTo(1);
		}

		// A new process takes over its host's seat in the membership (MemberJoined). If
		// it took longer than 3 s to start, its host has been removed and the process
		// has to request a seat (JoinRequested, then MembersAdmitted).
		private static boolean admits(Change change, String processId) {
			if (change instanceof Change.MembersAdmitted admitted) {
				return admitted.members().stream().anyMatch((member) -> member.processId().equals(processId));
			}
			return change instanceof Change.MemberJoined joined && joined.member().processId().equals(processId);
		}

		private static boolean requestsJoin(Change change, String processId) {
			return change instanceof Change.JoinRequested request && request.member().processId().equals(processId);
		}

		private static long countIssuedKeys(TestFleet fleet) throws Exception {
			List<Change> changes = fleet.changes();
			return changes.stream().filter((change) -> change instanceof Change.IssueKey).count();
		}

	}

}
