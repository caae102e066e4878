package org.plantainspur.standins;

import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;

import org.plantainspur.core.configuration.Change;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against service that stops with the platform, changes that are accepted without
 * it, and second effects of a write whose reply was lost.
 */
@Timeout(120)
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PlatformFailureTests {

	private static final ObjectMapper mapper = new ObjectMapper();

	private TestFleet fleet;

	@BeforeAll
	void start() throws Exception {
		this.fleet = new TestFleet();
	}

	@AfterAll
	void stop() {
		this.fleet.close();
	}

	@Nested
	class Outage {

		@Test
		void leavesKeyedRequestsServedAndAcceptsNoChange() throws Exception {
			TestFleet fleet = PlatformFailureTests.this.fleet;
			int changes = fleet.changes().size();
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 4, 10)) {
				Thread.sleep(500);
				long began = System.nanoTime();
				fleet.platformFaults("{\"unavailable\": \"closed\"}");
				Thread.sleep(1000);
				assertThat(fleet.operator("key", "issue", "harbor-clinic").exitCode()).isNotZero();
				Thread.sleep(4000);
				fleet.platformFaults("{\"unavailable\": \"silent\"}");
				Thread.sleep(5000);
				caller.close();
				assertThat(caller.since(began)).isNotEmpty();
				assertThat(caller.failures(began)).isEmpty();
			}
			finally {
				fleet.platformFaults("{}");
			}
			assertThat(fleet.changes()).hasSize(changes);
			fleet.awaitReady();
		}

		@Test
		void letsANewProcessAtTheSameSeatServe() throws Exception {
			TestFleet fleet = PlatformFailureTests.this.fleet;
			try {
				fleet.platformFaults("{\"unavailable\": \"closed\"}");
				fleet.signal("entry-4", "KILL");
				fleet.awaitExit("entry-4", 5);
				fleet.startHost("entry-4", "--seeds",
						fleet.host("entry-1").peer() + "," + fleet.host("entry-2").peer());
				TestFleet.await("the new process serves during the outage", 10_000, () -> fleet.read("entry-4") == 200);
			}
			finally {
				fleet.platformFaults("{}");
				fleet.awaitReady();
			}
		}

	}

	@Nested
	class LostReply {

		@Test
		void ofAnIssuedKeyHasOneEffect() throws Exception {
			TestFleet fleet = PlatformFailureTests.this.fleet;
			long before = issued();
			fleet.platformFaults("{\"dropRepliesToWrites\": 1}");
			TestFleet.OperatorResult result = fleet.operator("key", "issue", "harbor-clinic");
			fleet.platformFaults("{}");
			assertThat(result.exitCode()).as(result.output()).isZero();
			assertThat(issued()).isEqualTo(before + 1);
			assertThat(mapper.readTree(result.output()).path("key").asText()).isNotEmpty();
		}

		@Test
		void ofAJoinHasOneEffect() throws Exception {
			TestFleet fleet = PlatformFailureTests.this.fleet;
			fleet.signal("entry-3", "KILL");
			fleet.awaitExit("entry-3", 5);
			fleet.platformFaults("{\"dropRepliesToWrites\": 2}");
			fleet.startHost("entry-3");
			fleet.awaitReady();
			fleet.platformFaults("{}");
			String process = fleet.status("entry-3").path("processId").asText();
			assertThat(fleet.changes()
				.stream()
				.filter((change) -> change instanceof Change.MemberJoined joined
						&& joined.member().processId().equals(process)))
				.hasSize(1);
		}

		private long issued() throws Exception {
			List<Change> changes = PlatformFailureTests.this.fleet.changes();
			return changes.stream().filter((change) -> change instanceof Change.IssueKey).count();
		}

	}

}
