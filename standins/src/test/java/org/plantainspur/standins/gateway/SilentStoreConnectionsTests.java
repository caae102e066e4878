package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against changes that come into force late because connections to the store that
 * are open have gone silent, while new ones work.
 */
class SilentStoreConnectionsTests extends AbstractGatewayTests {

	/** The time within which a change must be in force. */
	private static final long APPLY_MS = 2_500;

	/** After this time from a change, hosts wait for the next one. */
	private static final long READ_AGAIN_MS = 600;

	private final List<TcpForwarder> paths = new ArrayList<>();

	private List<GatewayFixture.Host> startHosts(int count) throws IOException {
		this.fixture.startTarget("i-1", (exchange) -> exchange.respond(GatewayFixture
			.signedResponse(String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id")), "done")));
		List<GatewayFixture.Host> hosts = new ArrayList<>();
		for (int i = 1; i <= count; i++) {
			TcpForwarder path = new TcpForwarder(this.fixture.store().port());
			this.paths.add(path);
			hosts.add(this.fixture.startReadyHostWithStoreAt("a" + i, path.port()));
		}
		this.fixture.writeDesiredState("first-key");
		GatewayFixture.sleep(READ_AGAIN_MS);
		return hosts;
	}

	private void silence(List<TcpForwarder> silenced) {
		silenced.forEach(TcpForwarder::silenceOpenConnections);
	}

	private void writeFourStates(String lastKey) {
		for (int i = 1; i <= 3; i++) {
			this.fixture.writeDesiredState("key-" + i);
			GatewayFixture.sleep(25);
		}
		this.fixture.writeDesiredState(lastKey);
	}

	private static void assertInForceInTime(List<GatewayFixture.Host> hosts, String key) {
		GatewayFixture.sleep(APPLY_MS);
		assertThat(hosts).allSatisfy((host) -> assertThat(GatewayFixture.read(host, key)).isEqualTo(200));
	}

	@Nested
	class OpenConnections {

		@Test
		void ofAllHostsDelayNoChange() throws Exception {
			List<GatewayFixture.Host> hosts = startHosts(3);
			silence(SilentStoreConnectionsTests.this.paths);
			writeFourStates("last-key");
			assertInForceInTime(hosts, "last-key");
		}

		@Test
		void ofAllHostsDelayNoChangeJustBefore() throws Exception {
			List<GatewayFixture.Host> hosts = startHosts(3);
			SilentStoreConnectionsTests.this.fixture.writeDesiredState("last-key");
			silence(SilentStoreConnectionsTests.this.paths);
			assertInForceInTime(hosts, "last-key");
		}

		@Test
		void ofTheHostThatReadsForTheOthersDelayNoChange() throws Exception {
			List<GatewayFixture.Host> hosts = startHosts(3);
			silence(SilentStoreConnectionsTests.this.paths.subList(0, 1));
			writeFourStates("last-key");
			assertInForceInTime(hosts, "last-key");
		}

		@Test
		void ofAHostWithoutOthersDelayNoChange() throws Exception {
			List<GatewayFixture.Host> hosts = startHosts(1);
			silence(SilentStoreConnectionsTests.this.paths);
			writeFourStates("last-key");
			assertInForceInTime(hosts, "last-key");
		}

	}

	/** Calls that begin during an outage get no answer after its end either. */
	@Nested
	class Outage {

		private static final long OUTAGE_MS = 6_850;

		private void endsBeforeChanges(int hostCount) throws Exception {
			List<GatewayFixture.Host> hosts = startHosts(hostCount);
			SilentStoreConnectionsTests.this.paths.forEach(TcpForwarder::beginOutage);
			GatewayFixture.sleep(OUTAGE_MS);
			SilentStoreConnectionsTests.this.paths.forEach(TcpForwarder::endOutage);
			writeFourStates("last-key");
			assertInForceInTime(hosts, "last-key");
		}

		@Test
		void delaysNoChangeAfterItsEndOnAHostWithoutOthers() throws Exception {
			endsBeforeChanges(1);
		}

		@Test
		void delaysNoChangeAfterItsEndOnHostsThatRelyOnAReader() throws Exception {
			endsBeforeChanges(3);
		}

	}

}
