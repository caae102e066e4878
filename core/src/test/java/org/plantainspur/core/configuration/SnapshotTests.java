package org.plantainspur.core.configuration;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.membership.Member;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a new host that reads all changes although a snapshot exists, loses part
 * of the state, or skips changes after the snapshot.
 */
class SnapshotTests {

	private static Configuration after(long changes) {
		Configuration configuration = Configuration.empty();
		for (long sequence = 1; sequence <= changes; sequence++) {
			configuration = configuration.apply(entry(sequence));
		}
		return configuration;
	}

	private static ChangeEntry entry(long sequence) {
		Change change = (sequence % 2 == 0) ? new Change.PutAccount(new ClientAccount("a" + sequence, 1, 1))
				: new Change.MemberJoined(Member.builder("h" + sequence, "p").peerAddress("h:1").build());
		return new ChangeEntry(sequence, "c" + sequence, change);
	}

	private static final class InMemorySnapshotStore implements SnapshotStore {

		private final AtomicReference<Optional<Configuration>> stored = new AtomicReference<>(Optional.empty());

		@Override
		public Optional<Configuration> newest() {
			return this.stored.get();
		}

		@Override
		public void put(Configuration configuration) {
			this.stored.set(Optional.of(Configuration.restore(configuration.state())));
		}

	}

	private record ChangeLogAfterSnapshot(long snapshotSequence, long head) implements ChangeLog {

		@Override
		public List<ChangeEntry> read(long after) {
			assertThat(after).as("read starts after the snapshot").isGreaterThanOrEqualTo(this.snapshotSequence);
			return java.util.stream.LongStream.rangeClosed(after + 1, this.head)
				.mapToObj(SnapshotTests::entry)
				.toList();
		}

		@Override
		public AppendResult append(long expectedHead, String changeId, Change change) {
			return new AppendResult.Unknown("read only");
		}

		@Override
		public OptionalLong find(String changeId) {
			return OptionalLong.empty();
		}

	}

	@Nested
	class Reading {

		@Test
		void newHostReadsTheSnapshotAndTheChangesAfterIt() {
			InMemorySnapshotStore store = new InMemorySnapshotStore();
			store.put(after(30));
			ConfigurationView view = new ConfigurationView();
			new ConfigurationFollower(new ChangeLogAfterSnapshot(30, 35), view, store, new ManualClock()).poll();
			assertThat(view.current().state()).usingRecursiveComparison()
				.ignoringCollectionOrder()
				.isEqualTo(after(35).state());
		}

	}

	@Nested
	class ObjectStoreDown {

		@Test
		void newHostReadsAllChanges() {
			ConfigurationView view = new ConfigurationView();
			SnapshotStore unavailable = new SnapshotStore() {

				@Override
				public Optional<Configuration> newest() {
					throw new ChangeLog.UnavailableException("no connection", new IllegalStateException());
				}

				@Override
				public void put(Configuration configuration) {
				}

			};
			new ConfigurationFollower(new ChangeLogAfterSnapshot(0, 5), view, unavailable, new ManualClock()).poll();
			assertThat(view.current().sequence()).isEqualTo(5);
		}

	}

	@Nested
	class Writing {

		@Test
		void onlyTheCoordinatorWritesAndOnlyAfterTheInterval() {
			InMemorySnapshotStore store = new InMemorySnapshotStore();
			ConfigurationView view = new ConfigurationView();
			AtomicBoolean coordinator = new AtomicBoolean();
			SnapshotWriter writer = new SnapshotWriter(view, store, coordinator::get);
			view.advance(after(SnapshotWriter.INTERVAL_CHANGES));
			writer.writeIfDue();
			assertThat(store.newest()).as("snapshot while another host is the coordinator").isEmpty();
			coordinator.set(true);
			writer.writeIfDue();
			assertThat(store.newest().map(Configuration::sequence)).contains(SnapshotWriter.INTERVAL_CHANGES);
			view.advance(after(2 * SnapshotWriter.INTERVAL_CHANGES - 1));
			writer.writeIfDue();
			assertThat(store.newest().map(Configuration::sequence)).contains(SnapshotWriter.INTERVAL_CHANGES);
		}

	}

}
