package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.http.StandInServer;
import org.plantainspur.standins.tablestore.TableStoreStandIn;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hosts that keep the rows from before when the store comes back from a
 * copy that lacks its latest rows, and gives out their versions again.
 */
class RestoredStoreTests extends AbstractGatewayTests {

	/** The time within which a change must be in force. */
	private static final long APPLY_MS = 2_500;

	/** How long a target stays in use whose entry may be written again. */
	private static final long ENTRY_GRACE_MS = 2_000;

	private static final String[] CALLS = { "/rows-get", "/rows-feed", "/rows-tx" };

	private final Map<String, AtomicInteger> requestsByTarget = new ConcurrentHashMap<>();

	private TableStoreStandIn store() {
		return this.fixture.store();
	}

	private StandInServer startTarget(String id) throws IOException {
		AtomicInteger requests = this.requestsByTarget.computeIfAbsent(id, (name) -> new AtomicInteger());
		return this.fixture.startTarget(id, (exchange) -> {
			requests.incrementAndGet();
			exchange.respond(GatewayFixture
				.signedResponse(String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id")), id));
		});
	}

	private int requestsTo(String id) {
		return this.requestsByTarget.getOrDefault(id, new AtomicInteger()).get();
	}

	private void assertInForceWithin(long milliseconds, List<GatewayFixture.Host> hosts, String key, int status) {
		GatewayFixture.sleep(milliseconds);
		assertThat(hosts).allSatisfy((host) -> assertThat(GatewayFixture.read(host, key)).isEqualTo(status));
	}

	// Writes rows that do not concern the hosts.
	private void writeOtherRows(int count) {
		for (int i = 0; i < count; i++) {
			store().put("other", "row", String.valueOf(i));
		}
	}

	// Copies the store, then puts the second key in force and writes other rows.
	private TableStoreStandIn.Copy copyBeforeTheSecondKey(List<GatewayFixture.Host> hosts, int otherRows) {
		TableStoreStandIn.Copy copy = store().copy();
		this.fixture.writeDesiredState("second-key");
		writeOtherRows(otherRows);
		assertInForceWithin(APPLY_MS, hosts, "second-key", 200);
		return copy;
	}

	private int calls() {
		return Stream.of(CALLS).mapToInt((path) -> store().callCount(path)).sum();
	}

	private List<GatewayFixture.Host> startHosts() throws IOException {
		return List.of(this.fixture.startReadyHost("a1"), this.fixture.startReadyHost("a2"),
				this.fixture.startReadyHost("a3"));
	}

	@Nested
	class ChangeAfterTheReturn {

		@Test
		void isInForceThoughItsVersionWasGivenOutBefore() throws Exception {
			startTarget("i-1");
			List<GatewayFixture.Host> hosts = startHosts();
			TableStoreStandIn.Copy copy = copyBeforeTheSecondKey(hosts, 50);
			store().restore(copy);
			RestoredStoreTests.this.fixture.writeDesiredState("second-key");
			GatewayFixture.sleep(1_000);
			RestoredStoreTests.this.fixture.writeDesiredState("third-key");
			assertInForceWithin(APPLY_MS, hosts, "third-key", 200);
			assertThat(hosts).allSatisfy((host) -> assertThat(GatewayFixture.read(host, "second-key")).isEqualTo(401));
		}

		@Test
		void isInForceWhenTheStoreHasAlreadyPassedTheVersionOfTheHosts() throws Exception {
			startTarget("i-1");
			List<GatewayFixture.Host> hosts = startHosts();
			TableStoreStandIn.Copy copy = copyBeforeTheSecondKey(hosts, 5);
			synchronized (store()) {
				store().restore(copy);
				RestoredStoreTests.this.fixture.writeDesiredState("third-key");
				writeOtherRows(20);
			}
			assertInForceWithin(APPLY_MS, hosts, "third-key", 200);
			assertThat(hosts).allSatisfy((host) -> assertThat(GatewayFixture.read(host, "second-key")).isEqualTo(401));
		}

		@Test
		void isInForceAfterTwoCopiesInARow() throws Exception {
			startTarget("i-1");
			List<GatewayFixture.Host> hosts = startHosts();
			TableStoreStandIn.Copy copy = store().copy();
			writeOtherRows(50);
			RestoredStoreTests.this.fixture.writeDesiredState("second-key");
			assertInForceWithin(APPLY_MS, hosts, "second-key", 200);
			store().restore(copy);
			writeOtherRows(30);
			RestoredStoreTests.this.fixture.writeDesiredState("third-key");
			GatewayFixture.sleep(500);
			store().restore(copy);
			writeOtherRows(3);
			RestoredStoreTests.this.fixture.writeDesiredState("fourth-key");
			assertInForceWithin(APPLY_MS, hosts, "fourth-key", 200);
			assertThat(hosts).allSatisfy((host) -> assertThat(GatewayFixture.read(host, "third-key")).isEqualTo(401));
		}

		/** A host that cannot reach the store learns of the copy from another host. */
		@Test
		void isInForceOnAHostThatMeetsTheCopyThroughAnotherHost() throws Exception {
			startTarget("i-1");
			GatewayFixture.Host reader = RestoredStoreTests.this.fixture.startReadyHost("a1");
			GatewayFixture.Host standby;
			GatewayFixture.Host cutOff;
			try (TcpForwarder path = new TcpForwarder(store().port());
					TcpForwarder otherPath = new TcpForwarder(store().port())) {
				cutOff = RestoredStoreTests.this.fixture.startReadyHostWithStoreAt("a0", path.port());
				standby = RestoredStoreTests.this.fixture.startReadyHostWithStoreAt("a2", otherPath.port());
			}
			TableStoreStandIn.Copy copy = store().copy();
			writeOtherRows(50);
			RestoredStoreTests.this.fixture.writeDesiredState("second-key");
			GatewayFixture.await(() -> GatewayFixture.read(cutOff, "second-key") == 200
					&& GatewayFixture.read(standby, "second-key") == 200);
			store().restore(copy);
			RestoredStoreTests.this.fixture.writeDesiredState("third-key");
			GatewayFixture.await(() -> GatewayFixture.read(reader, "third-key") == 200);
			assertInForceWithin(APPLY_MS, List.of(reader, standby, cutOff), "third-key", 200);
		}

	}

	@Nested
	class TargetsAfterTheReturn {

		@Test
		void oneWhoseEntryIsNotWrittenAgainGetsNoRequests() throws Exception {
			startTarget("i-1");
			List<GatewayFixture.Host> hosts = startHosts();
			TableStoreStandIn.Copy copy = store().copy();
			writeOtherRows(20);
			startTarget("i-2");
			GatewayFixture.await(() -> {
				hosts.forEach((host) -> GatewayFixture.read(host, GatewayFixture.KEY));
				return requestsTo("i-2") > 3;
			});
			store().restore(copy);
			GatewayFixture.sleep(APPLY_MS + ENTRY_GRACE_MS);
			int before = requestsTo("i-2");
			for (int i = 0; i < 10; i++) {
				hosts.forEach((host) -> assertThat(GatewayFixture.read(host, GatewayFixture.KEY)).isEqualTo(200));
			}
			assertThat(requestsTo("i-2")).isEqualTo(before);
		}

		/** The copy lists a target as ready that has left since. */
		@Test
		void oneThatHadLeftGetsNoRequests() throws Exception {
			startTarget("i-1");
			StandInServer leaving = startTarget("i-2");
			List<GatewayFixture.Host> hosts = startHosts();
			TableStoreStandIn.Copy copy = store().copy();
			RestoredStoreTests.this.fixture.listTarget("i-2", leaving.port(), "draining");
			GatewayFixture.sleep(APPLY_MS);
			store().remove("servers", "i-2");
			writeOtherRows(20);
			GatewayFixture.sleep(APPLY_MS);
			int before = requestsTo("i-2");
			store().restore(copy);
			for (int i = 0; i < 50; i++) {
				hosts.forEach((host) -> assertThat(GatewayFixture.read(host, GatewayFixture.KEY)).isEqualTo(200));
				GatewayFixture.sleep(100);
			}
			assertThat(requestsTo("i-2")).isEqualTo(before);
		}

	}

	@Nested
	class CallsAfterTheReturn {

		@Test
		void stayWithinThoseOfAnOrdinaryOutage() throws Exception {
			startTarget("i-1");
			startHosts();
			TableStoreStandIn.Copy copy = store().copy();
			writeOtherRows(50);
			GatewayFixture.sleep(APPLY_MS);
			store().setUnavailable(true);
			GatewayFixture.sleep(2_000);
			store().setUnavailable(false);
			int beforeOrdinary = calls();
			GatewayFixture.sleep(4_000);
			int ordinary = calls() - beforeOrdinary;
			store().setUnavailable(true);
			GatewayFixture.sleep(2_000);
			store().restore(copy);
			store().setUnavailable(false);
			int beforeRestored = calls();
			GatewayFixture.sleep(4_000);
			// Each host reads two tables whole after an answer that the history is lost,
			// and writes its own entry again.
			assertThat(calls() - beforeRestored).isLessThanOrEqualTo(ordinary + 3 * 6);
		}

	}

	@Nested
	class OwnRows {

		@Test
		void areWrittenAgain() throws Exception {
			startTarget("i-1");
			TableStoreStandIn.Copy copy = store().copy();
			startHosts();
			store().restore(copy);
			GatewayFixture.await(() -> store().keys("plantainspur-hosts-a").equals(List.of("a1", "a2", "a3")));
		}

	}

}
