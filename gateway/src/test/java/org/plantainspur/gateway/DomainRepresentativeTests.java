package org.plantainspur.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.fleet.AccountUsage;
import org.plantainspur.core.fleet.DomainDigest;
import org.plantainspur.core.fleet.HostHeartbeat;
import org.plantainspur.core.reach.RelayKey;
import org.plantainspur.core.store.Store;
import org.plantainspur.core.store.StoreResult;
import org.plantainspur.core.store.StoreVersion;
import org.plantainspur.core.store.TableStates;

import static org.assertj.core.api.Assertions.assertThat;

class DomainRepresentativeTests {

	private final List<String> sent = new ArrayList<>();

	private final HostHeartbeat ownHeartbeat = heartbeat("a1", "pdx-a", List.of(), List.of());

	private final HostRegistry registry = new HostRegistry(new SilentStore(), (delay, task) -> {
	}, this.ownHeartbeat, RelayKey.random(), () -> {
	});

	private final DomainRepresentative representative = new DomainRepresentative(settings(), this.registry,
			(heartbeat) -> 100, (heartbeat, addresses) -> addresses
				.forEach((address) -> this.sent.add(address + " " + describe(heartbeat))));

	DomainRepresentativeTests() {
		this.registry.receive(heartbeat("b1", "pdx-b", List.of(), List.of()));
		this.registry.receive(heartbeat("c1", "sea-a", List.of(), List.of()));
	}

	private static GatewaySettings settings() {
		InetSocketAddress any = new InetSocketAddress("127.0.0.1", 1);
		return GatewaySettings.builder()
			.host("a1")
			.failureDomain("pdx-a")
			.region("pdx-a", "pdx")
			.region("pdx-b", "pdx")
			.region("sea-a", "sea")
			.callerAddress(any)
			.readyAddress(any)
			.directoryAddress(any)
			.peerAddress(any)
			.metricsAddress(any)
			.relayAddress(any)
			.storeAddress(any)
			.build();
	}

	private static HostHeartbeat heartbeat(String host, String domain, List<String> failed, List<String> recovered) {
		return new HostHeartbeat(host, 1, domain, host + ":80", host + ":81", 1, true, 1, TableStates.NONE, 0,
				Map.of("mill", new AccountUsage(5, 1)), List.of(), failed, recovered, List.of(), List.of(), List.of());
	}

	private static String describe(HostHeartbeat heartbeat) {
		DomainDigest digest = heartbeat.digests().get(0);
		return digest.accounts().keySet() + " failed " + digest.failedTargets() + " recovered "
				+ digest.recoveredTargets();
	}

	private void sendDueAt(long now) {
		this.representative.sendDue(this.ownHeartbeat,
				List.of(this.ownHeartbeat, heartbeat("a2", "pdx-a", List.of(), List.of())), List::of, now);
	}

	/**
	 * Without these updates, hosts that send requests to another failure domain of their
	 * region would find its unhealthy targets only by failed requests, although that
	 * failure domain knows them.
	 */
	@Nested
	class TargetUpdates {

		@Test
		void targetUpdatesGoToTheSameRegionAndUsageToAll() {
			DomainRepresentativeTests.this.representative
				.receive(heartbeat("a2", "pdx-a", List.of("i-1"), List.of("i-2")));
			sendDueAt(0);
			assertThat(DomainRepresentativeTests.this.sent).containsExactlyInAnyOrder(
					"b1:81 [mill] failed [i-1] recovered [i-2]", "c1:81 [mill] failed [] recovered []");
		}

		@Test
		void updatesWithinTheIntervalAreSentTogether() {
			sendDueAt(0);
			DomainRepresentativeTests.this.sent.clear();
			DomainRepresentativeTests.this.representative.receive(heartbeat("a2", "pdx-a", List.of("i-1"), List.of()));
			sendDueAt(300);
			DomainRepresentativeTests.this.representative.receive(heartbeat("a2", "pdx-a", List.of("i-3"), List.of()));
			sendDueAt(400);
			DomainRepresentativeTests.this.representative.receive(heartbeat("a3", "pdx-a", List.of(), List.of("i-3")));
			sendDueAt(500);
			assertThat(DomainRepresentativeTests.this.sent).containsExactly("b1:81 [] failed [i-1] recovered []",
					"b1:81 [] failed [] recovered [i-3]");
		}

		@Test
		void onlyTheFirstHostOfAFailureDomainSendsDigests() {
			DomainRepresentativeTests.this.representative.receive(heartbeat("a2", "pdx-a", List.of("i-1"), List.of()));
			DomainRepresentativeTests.this.representative.sendDue(DomainRepresentativeTests.this.ownHeartbeat, List
				.of(heartbeat("a0", "pdx-a", List.of(), List.of()), DomainRepresentativeTests.this.ownHeartbeat),
					List::of, 0);
			assertThat(DomainRepresentativeTests.this.sent).isEmpty();
		}

	}

	private static final class SilentStore implements Store {

		@Override
		public CompletionStage<StoreResult> put(String table, String key, byte[] value) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletionStage<StoreResult> list(String table, String from) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletionStage<StoreResult> changes(String table, StoreVersion after, long waitMs) {
			return new CompletableFuture<>();
		}

	}

}
