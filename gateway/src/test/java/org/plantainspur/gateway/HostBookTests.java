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
import org.plantainspur.core.store.Store;
import org.plantainspur.core.store.StoreResult;
import org.plantainspur.core.store.StoredRow;

import static org.assertj.core.api.Assertions.assertThat;

class HostBookTests {

	private final FakeStore store = new FakeStore();

	private final List<Runnable> later = new ArrayList<>();

	private HostBook book(String host, String domain) {
		return new HostBook(this.store, (delay, task) -> this.later.add(task), beat(host, domain, 1), () -> {
		});
	}

	private static HostHeartbeat beat(String host, String domain, long start) {
		return new HostHeartbeat(host, start, domain, host + ":80", host + ":81", 1, true, 1, 1, 0, Map.of(), List.of(),
				List.of(), List.of(), List.of());
	}

	private void runLater() {
		List<Runnable> due = List.copyOf(this.later);
		this.later.clear();
		due.forEach(Runnable::run);
	}

	/**
	 * What a starting host reads must not grow with the fleet: the table of all hosts
	 * went to another region for half of them.
	 */
	@Nested
	class OwnDomain {

		@Test
		void onlyTheHostsOfItsOwnFailureDomainAreRead() {
			book("b1", "sea-a").start();
			book("a1", "pdx-a").start();
			HostBook second = book("a2", "pdx-a");
			second.start();
			assertThat(second.peersHere()).containsExactly("a1:81");
			assertThat(HostBookTests.this.store.lists).doesNotContain("plantainspur-hosts-sea-b")
				.filteredOn((table) -> table.endsWith("sea-a"))
				.hasSize(1);
		}

		@Test
		void aHostThatCouldNotRegisterFindsTheOthersAndRegistersLater() {
			book("a1", "pdx-a").start();
			HostBook second = book("a2", "pdx-a");
			HostBookTests.this.store.refusesWrites = true;
			second.start();
			assertThat(second.peersHere()).containsExactly("a1:81");
			HostBookTests.this.store.refusesWrites = false;
			runLater();
			HostBook third = book("a3", "pdx-a");
			third.start();
			assertThat(third.peersHere()).containsExactlyInAnyOrder("a1:81", "a2:81");
		}

		@Test
		void aNewProcessOfAKnownHostIsNews() {
			HostBook book = book("a1", "pdx-a");
			assertThat(book.heard(beat("a2", "pdx-a", 1))).isTrue();
			assertThat(book.heard(beat("a2", "pdx-a", 1))).isFalse();
			assertThat(book.heard(beat("a2", "pdx-a", 2))).isTrue();
		}

	}

	@Nested
	class OtherDomains {

		@Test
		void theSpeakerReadsDomainsFromWhichNothingWasHeard() {
			book("b1", "sea-a").start();
			HostBook speaker = book("a1", "pdx-a");
			speaker.start();
			speaker.heard(beat("c1", "sea-b", 1));
			speaker.findElsewhere(List.of("pdx-a", "sea-a", "sea-b"),
					(beat) -> beat.host().equals("c1") ? 100 : Long.MAX_VALUE, 0);
			assertThat(HostBookTests.this.store.lists).contains("plantainspur-hosts-sea-a")
				.doesNotContain("plantainspur-hosts-sea-b");
			assertThat(speaker.listenersElsewhere((domain) -> true, (beat) -> 100)).containsExactlyInAnyOrder("b1:81",
					"c1:81");
		}

		@Test
		void aDomainThatStaysSilentIsReadSeldom() {
			HostBook speaker = book("a1", "pdx-a");
			for (int i = 0; i < 10; i++) {
				speaker.findElsewhere(List.of("sea-a"), (beat) -> Long.MAX_VALUE, i * 500);
			}
			assertThat(HostBookTests.this.store.lists).containsExactly("plantainspur-hosts-sea-a");
		}

	}

	private static final class FakeStore implements Store {

		private final Map<String, Map<String, StoredRow>> tables = new TreeMap<>();

		private final List<String> lists = new ArrayList<>();

		private boolean refusesWrites;

		@Override
		public CompletionStage<StoreResult> put(String table, String key, byte[] value) {
			if (this.refusesWrites) {
				return CompletableFuture.completedFuture(new StoreResult.Unavailable("refused"));
			}
			this.tables.computeIfAbsent(table, (name) -> new TreeMap<>()).put(key, new StoredRow(key, value, 1, false));
			return CompletableFuture.completedFuture(new StoreResult.Rows(List.of(), 1, false));
		}

		@Override
		public CompletionStage<StoreResult> list(String table, String from) {
			this.lists.add(table);
			List<StoredRow> rows = List.copyOf(this.tables.getOrDefault(table, Map.of()).values());
			return CompletableFuture.completedFuture(new StoreResult.Rows(rows, 1, false));
		}

		@Override
		public CompletionStage<StoreResult> changes(String table, long after, long waitMs) {
			return new CompletableFuture<>();
		}

	}

}
