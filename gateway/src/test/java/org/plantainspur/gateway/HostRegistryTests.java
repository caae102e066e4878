package org.plantainspur.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.fleet.HostHeartbeat;
import org.plantainspur.core.reach.RelayKey;
import org.plantainspur.core.store.Store;
import org.plantainspur.core.store.StoreResult;
import org.plantainspur.core.store.StoreVersion;
import org.plantainspur.core.store.StoredRow;
import org.plantainspur.core.store.TableStates;

import static org.assertj.core.api.Assertions.assertThat;

class HostRegistryTests {

	private final FakeStore store = new FakeStore();

	private final List<Runnable> scheduled = new ArrayList<>();

	private HostRegistry registry(String host, String domain) {
		return new HostRegistry(this.store, (delay, task) -> this.scheduled.add(task), heartbeat(host, domain, 1),
				RelayKey.random(), () -> {
				});
	}

	private static HostHeartbeat heartbeat(String host, String domain, long start) {
		return new HostHeartbeat(host, start, domain, "10.0.0.1:80", peerAddress(host), 1, true, 1, TableStates.NONE, 0,
				Map.of(), List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
	}

	private static String peerAddress(String host) {
		return "10.0." + (int) host.charAt(0) + "." + host.substring(1) + ":81";
	}

	private void runScheduled() {
		List<Runnable> due = List.copyOf(this.scheduled);
		this.scheduled.clear();
		due.forEach(Runnable::run);
	}

	/**
	 * Guards against a start whose reads grow with the fleet. If one table held all
	 * hosts, half of its rows would be read from another region.
	 */
	@Nested
	class OwnDomain {

		@Test
		void aStartingHostReadsOnlyItsOwnFailureDomain() {
			registry("b1", "sea-a").start();
			registry("a1", "pdx-a").start();
			HostRegistry second = registry("a2", "pdx-a");
			second.start();
			assertThat(second.peersInDomain()).containsExactly(peerAddress("a1"));
			assertThat(HostRegistryTests.this.store.listedTables).doesNotContain("plantainspur-hosts-sea-b")
				.filteredOn((table) -> table.endsWith("sea-a"))
				.hasSize(1);
		}

		@Test
		void aHostThatCouldNotRegisterFindsTheOthersAndRegistersLater() {
			registry("a1", "pdx-a").start();
			HostRegistry second = registry("a2", "pdx-a");
			HostRegistryTests.this.store.refusesWrites = true;
			second.start();
			assertThat(second.peersInDomain()).containsExactly(peerAddress("a1"));
			HostRegistryTests.this.store.refusesWrites = false;
			runScheduled();
			HostRegistry third = registry("a3", "pdx-a");
			third.start();
			assertThat(third.peersInDomain()).containsExactlyInAnyOrder(peerAddress("a1"), peerAddress("a2"));
		}

		@Test
		void aRestartedHostCountsAsUnknown() {
			HostRegistry registry = registry("a1", "pdx-a");
			assertThat(registry.receive(heartbeat("a2", "pdx-a", 1))).isTrue();
			assertThat(registry.receive(heartbeat("a2", "pdx-a", 1))).isFalse();
			assertThat(registry.receive(heartbeat("a2", "pdx-a", 2))).isTrue();
		}

	}

	/**
	 * Guards against a host that later ones do not find, since the store was restored
	 * from a copy without its entry.
	 */
	@Nested
	class RestoredStore {

		@Test
		void theEntryIsWrittenAgainInANewEraOnly() {
			HostRegistry registry = registry("a1", "pdx-a");
			registry.start();
			HostRegistryTests.this.scheduled.clear();
			HostRegistryTests.this.store.tables.clear();
			registry.writeAgainIn(1);
			runScheduled();
			assertThat(HostRegistryTests.this.store.tables).isEmpty();
			HostRegistryTests.this.store.era = 2;
			registry.writeAgainIn(2);
			runScheduled();
			assertThat(HostRegistryTests.this.store.tables).containsKey("plantainspur-hosts-pdx-a");
		}

		@Test
		void theWriteIsRepeatedUntilTheStoreAcceptsIt() {
			HostRegistry registry = registry("a1", "pdx-a");
			registry.start();
			HostRegistryTests.this.scheduled.clear();
			HostRegistryTests.this.store.tables.clear();
			HostRegistryTests.this.store.era = 2;
			HostRegistryTests.this.store.refusesWrites = true;
			for (int i = 0; i < 5; i++) {
				registry.writeAgainIn(2);
				runScheduled();
			}
			HostRegistryTests.this.store.refusesWrites = false;
			for (int i = 0; i < 2; i++) {
				registry.writeAgainIn(2);
				runScheduled();
			}
			assertThat(HostRegistryTests.this.store.tables).containsKey("plantainspur-hosts-pdx-a");
		}

	}

	/**
	 * Guards against a representative that sends no digests to a failure domain whose
	 * heartbeats do not arrive, or that reads its table from the store at each call.
	 */
	@Nested
	class OtherDomains {

		@Test
		void theRepresentativeReadsDomainsWithoutRecentHeartbeats() {
			registry("b1", "sea-a").start();
			HostRegistry representative = registry("a1", "pdx-a");
			representative.start();
			representative.receive(heartbeat("c1", "sea-b", 1));
			representative.readOtherDomains(List.of("pdx-a", "sea-a", "sea-b"),
					(heartbeat) -> heartbeat.host().equals("c1") ? 100 : Long.MAX_VALUE, 0);
			assertThat(HostRegistryTests.this.store.listedTables).contains("plantainspur-hosts-sea-a")
				.doesNotContain("plantainspur-hosts-sea-b");
			assertThat(representative.recipientsInOtherDomains((domain) -> true, (heartbeat) -> 100))
				.containsExactlyInAnyOrder(peerAddress("b1"), peerAddress("c1"));
		}

		@Test
		void aDomainWithoutHeartbeatsIsReadOncePerInterval() {
			HostRegistry representative = registry("a1", "pdx-a");
			for (int i = 0; i < 10; i++) {
				representative.readOtherDomains(List.of("sea-a"), (heartbeat) -> Long.MAX_VALUE, i * 500);
			}
			assertThat(HostRegistryTests.this.store.listedTables).containsExactly("plantainspur-hosts-sea-a");
		}

	}

	private static final class FakeStore implements Store {

		private final Map<String, Map<String, StoredRow>> tables = new TreeMap<>();

		private final List<String> listedTables = new ArrayList<>();

		private boolean refusesWrites;

		private long era = 1;

		@Override
		public CompletionStage<StoreResult> put(String table, String key, byte[] value) {
			if (this.refusesWrites) {
				return CompletableFuture.completedFuture(new StoreResult.Unavailable("refused"));
			}
			this.tables.computeIfAbsent(table, (name) -> new TreeMap<>()).put(key, new StoredRow(key, value, 1, false));
			return CompletableFuture
				.completedFuture(new StoreResult.Rows(List.of(), new StoreVersion(this.era, 1), false));
		}

		@Override
		public CompletionStage<StoreResult> list(String table, String from) {
			this.listedTables.add(table);
			List<StoredRow> rows = List.copyOf(this.tables.getOrDefault(table, Map.of()).values());
			return CompletableFuture.completedFuture(new StoreResult.Rows(rows, new StoreVersion(this.era, 1), false));
		}

		@Override
		public CompletionStage<StoreResult> changes(String table, StoreVersion after, long waitMs) {
			return new CompletableFuture<>();
		}

	}

}
