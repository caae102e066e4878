package org.plantainspur.core.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TableReplicaTests {

	private static StoredRow row(String key, long version) {
		return new StoredRow(key, new byte[0], version, false);
	}

	private static StoredRow removal(String key, long version) {
		return new StoredRow(key, new byte[0], version, true);
	}

	private static StoreVersion at(long number) {
		return new StoreVersion(1, number);
	}

	private static TableReplica replica(long version, StoredRow... rows) {
		TableReplica replica = new TableReplica();
		replica.replace(List.of(rows), at(version));
		return replica;
	}

	/**
	 * Guards against hosts with the same rows that count as older or newer than each
	 * other, depending on how they read the rows: a later change was then not fetched.
	 */
	@Nested
	class SameRows {

		@Test
		void haveTheSameDigestHoweverTheyWereRead() {
			TableReplica followed = replica(5, row("a", 1), row("b", 2));
			followed.apply(List.of(removal("b", 6)), at(6));
			TableReplica readAfterTheRemoval = replica(6, row("a", 1));
			TableReplica readTwice = replica(5, row("a", 1), row("b", 2));
			readTwice.replace(List.of(row("a", 1)), at(20));
			assertThat(readAfterTheRemoval.state()).isEqualTo(followed.state());
			assertThat(readTwice.state().digest()).isEqualTo(followed.state().digest());
			assertThat(followed.state().isBehind(readTwice.state())).isFalse();
			assertThat(followed.state().isConfirmedBy(readTwice.state())).isTrue();
		}

		@Test
		void haveTheSameDigestAfterChangesOfOtherTables() {
			TableReplica replica = replica(5, row("a", 1));
			TableState before = replica.state();
			replica.apply(List.of(), at(900));
			assertThat(replica.state()).isEqualTo(new TableState(at(900), before.digest()));
		}

		@Test
		void haveAnotherDigestAfterAChangeOrRemoval() {
			TableReplica replica = replica(5, row("a", 1), row("b", 2));
			TableState before = replica.state();
			replica.apply(List.of(row("a", 6)), at(6));
			assertThat(before.isBehind(replica.state())).isTrue();
			TableState changed = replica.state();
			replica.apply(List.of(removal("b", 7)), at(7));
			assertThat(changed.isBehind(replica.state())).isTrue();
		}

	}

	/** Guards against changes that a host misses because it fetches from another one. */
	@Nested
	class Changes {

		@Test
		void includeRemovals() {
			TableReplica replica = replica(5, row("a", 1), row("b", 2));
			replica.apply(List.of(removal("b", 6)), at(6));
			assertThat(replica.changes(at(5))).isInstanceOfSatisfying(StoreResult.Rows.class,
					(rows) -> assertThat(rows.rows()).singleElement()
						.satisfies((row) -> assertThat(row.removed()).isTrue()));
		}

		/**
		 * A row that is written and removed between two whole reads is unknown to this
		 * replica, but another host may have it.
		 */
		@Test
		void beforeTheLastWholeReadAreReportedAsLost() {
			TableReplica replica = replica(5, row("a", 1));
			assertThat(replica.changes(at(3))).isInstanceOf(StoreResult.HistoryLost.class);
			replica.replace(List.of(row("a", 1)), at(9));
			assertThat(replica.changes(at(5))).isInstanceOf(StoreResult.HistoryLost.class);
			assertThat(replica.changes(at(9))).isInstanceOf(StoreResult.Rows.class);
		}

		@Test
		void upToTheVersionOfAWholeReadDoNotBringARemovedRowBack() {
			TableReplica replica = replica(9, row("a", 1));
			assertThat(replica.apply(List.of(row("b", 7)), at(8))).isEmpty();
			assertThat(replica.allRows().rows()).extracting(StoredRow::key).containsExactly("a");
		}

	}

	/**
	 * Guards against hosts that keep other rows than the store had, after any order of
	 * changes, lost history, restorations from a copy, reads of the store, fetches from
	 * each other, heartbeats that arrive late, and restarts.
	 */
	@Group
	class Histories {

		@Property(tries = 3_000, seed = "27")
		void eachReplicaHasTheRowsOfItsVersion(
				@ForAll @Size(max = 80) List<@IntRange(min = 0, max = 100_000) Integer> steps) {
			History history = new History();
			for (int step : steps) {
				history.run(step);
				history.assertReplicasAreExact();
			}
			history.settle();
			history.assertAllHaveTheNewestRows();
		}

	}

	/** A model of the store, and hosts that read it or fetch from each other. */
	private static final class History {

		private static final int HOSTS = 3;

		private static final int KEYS = 4;

		private final TreeMap<String, StoredRow> rows = new TreeMap<>();

		private final Map<StoreVersion, Map<String, String>> liveRowsByVersion = new HashMap<>();

		private final List<TableReplica> replicas = new ArrayList<>();

		private final List<TableState> lateHeartbeats = new ArrayList<>();

		private StoreVersion version = new StoreVersion(1, 1);

		private long oldestRetained = 1;

		private TreeMap<String, StoredRow> copy = new TreeMap<>();

		private long copiedNumber = 1;

		private byte writes;

		History() {
			this.liveRowsByVersion.put(this.version, Map.of());
			for (int host = 0; host < HOSTS; host++) {
				this.replicas.add(new TableReplica());
				this.lateHeartbeats.add(TableState.NONE);
			}
		}

		void run(int step) {
			int argument = step / 11;
			int host = argument % HOSTS;
			int other = (host + 1 + argument / HOSTS % (HOSTS - 1)) % HOSTS;
			switch (step % 11) {
				case 0, 1 -> write(argument % KEYS, false);
				case 2 -> write(argument % KEYS, true);
				case 3 -> nextVersion();
				case 4 -> loseHistory();
				case 5 -> readStore(host);
				case 6 -> compare(host, other, this.replicas.get(other).state());
				case 7 -> compare(host, other, this.lateHeartbeats.get(other));
				case 8 -> {
					this.copy = new TreeMap<>(this.rows);
					this.copiedNumber = this.version.number();
				}
				case 9 -> restore();
				default -> {
					this.lateHeartbeats.set(host, this.replicas.get(host).state());
					if (argument % 2 == 0) {
						this.replicas.set(host, new TableReplica());
					}
				}
			}
		}

		void settle() {
			readStore(0);
			for (int host = 1; host < HOSTS; host++) {
				compare(host, 0, this.replicas.get(0).state());
			}
		}

		private void write(int keyNumber, boolean removed) {
			String key = "key-" + keyNumber;
			StoredRow previous = this.rows.get(key);
			if (!removed || (previous != null && !previous.removed())) {
				this.writes++;
				this.rows.put(key, new StoredRow(key, new byte[] { this.writes }, this.version.number() + 1, removed));
				nextVersion();
			}
		}

		private void nextVersion() {
			this.version = new StoreVersion(this.version.era(), this.version.number() + 1);
			this.liveRowsByVersion.put(this.version, live(this.rows.values()));
		}

		private void loseHistory() {
			this.oldestRetained = this.version.number();
		}

		// Versions since the copy are given out again, with other rows.
		private void restore() {
			this.rows.clear();
			this.rows.putAll(this.copy);
			this.version = new StoreVersion(this.version.era() + 1, this.copiedNumber);
			this.oldestRetained = Math.min(this.oldestRetained, this.copiedNumber);
			this.liveRowsByVersion.put(this.version, live(this.rows.values()));
		}

		private static Map<String, String> live(Iterable<StoredRow> rows) {
			Map<String, String> live = new HashMap<>();
			rows.forEach((row) -> {
				if (!row.removed()) {
					live.put(row.key(), row.version() + " with content " + row.value()[0]);
				}
			});
			return live;
		}

		// Does what TableFollower does with the responses of the store.
		private void readStore(int host) {
			TableReplica replica = this.replicas.get(host);
			StoreVersion after = replica.version();
			if (!after.isSameEra(this.version) || after.number() < this.oldestRetained) {
				replica.replace(this.rows.values().stream().filter((row) -> !row.removed()).toList(), this.version);
			}
			else {
				replica.apply(this.rows.values().stream().filter((row) -> row.version() > after.number()).toList(),
						this.version);
			}
		}

		// Does what TableFollower does with the state in a heartbeat.
		private void compare(int host, int other, TableState heartbeat) {
			TableReplica replica = this.replicas.get(host);
			TableReplica source = this.replicas.get(other);
			if (replica.state().isConfirmedBy(heartbeat)) {
				replica.confirm(heartbeat.version());
			}
			if (!replica.state().isBehind(heartbeat) || replica.version().isAfter(source.version())) {
				return;
			}
			if (replica.version().number() > 0
					&& source.changes(replica.version()) instanceof StoreResult.Rows changes) {
				replica.apply(changes.rows(), changes.version());
			}
			else if (source.version().number() > 0) {
				StoreResult.Rows all = source.allRows();
				replica.replace(all.rows(), all.version());
			}
		}

		void assertReplicasAreExact() {
			for (TableReplica replica : this.replicas) {
				if (replica.version().number() > 0) {
					assertThat(live(replica.allRows().rows())).isEqualTo(this.liveRowsByVersion.get(replica.version()));
				}
			}
		}

		void assertAllHaveTheNewestRows() {
			for (TableReplica replica : this.replicas) {
				assertThat(live(replica.allRows().rows())).isEqualTo(live(this.rows.values()));
			}
			assertThat(this.replicas.stream().map(TableReplica::state).collect(Collectors.toSet())).hasSize(1);
		}

	}

}
