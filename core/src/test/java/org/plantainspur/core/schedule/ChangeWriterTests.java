package org.plantainspur.core.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ChangeWriter;
import org.plantainspur.core.configuration.ChangeWriter.Outcome;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a change that overwrites another one that its author has not seen, and
 * against a change that is written twice after a lost reply.
 */
class ChangeWriterTests {

	private static Configuration replay(List<ChangeEntry> entries) {
		Configuration configuration = Configuration.empty();
		for (ChangeEntry entry : entries) {
			configuration = configuration.apply(entry);
		}
		return configuration;
	}

	private static ChangeWriter writer(InMemoryChangeTable.Access access) {
		return new ChangeWriter(access, () -> replay(access.read(0)), (millis) -> {
		}, new Random(1));
	}

	private static Change put(String account) {
		return new Change.PutAccount(new ClientAccount(account, 5, 5));
	}

	@Group
	class ConcurrentWriters {

		@Property(seed = "20261204", tries = 500)
		void noChangeIsOverwrittenOrWrittenTwice(@ForAll long seed, @ForAll @IntRange(min = 2, max = 4) int writers) {
			Random random = new Random(seed);
			InMemoryChangeTable table = new InMemoryChangeTable();
			List<Configuration> bases = new ArrayList<>();
			List<InMemoryChangeTable.Access> accesses = new ArrayList<>();
			for (int i = 0; i < writers; i++) {
				accesses.add(table.access(() -> true));
				bases.add(Configuration.empty());
			}
			for (int step = 0; step < 30; step++) {
				int index = random.nextInt(writers);
				if (random.nextInt(3) == 0) {
					bases.set(index, writer(accesses.get(index)).read());
				}
				accesses.get(index).loseReplies(random.nextInt(12) / 4);
				accesses.get(index).loseWrites(random.nextInt(12) / 3);
				String id = "c" + step;
				Change change = put("a" + random.nextInt(3));
				Outcome outcome = writer(accesses.get(index)).write(id, change, bases.get(index));
				assertWrittenAtMostOnce(table, id, change, bases.get(index), outcome);
			}
		}

		private void assertWrittenAtMostOnce(InMemoryChangeTable table, String id, Change change, Configuration base,
				Outcome outcome) {
			List<ChangeEntry> written = table.entries()
				.stream()
				.filter((entry) -> entry.changeId().equals(id))
				.toList();
			if (outcome instanceof Outcome.Written done) {
				assertThat(written).as("entries of %s", id).hasSize(1);
				assertThat(written.get(0).sequence()).isEqualTo(done.sequence());
				Configuration before = replay(table.entries().subList(0, (int) done.sequence() - 1));
				change.entities()
					.forEach((entity) -> assertThat(before.version(entity)).as("version under %s", id)
						.isEqualTo(base.version(entity)));
			}
			else {
				assertThat(written).as("entries of %s after %s", id, outcome).isEmpty();
			}
		}

	}

	@Nested
	class SingleWriter {

		@Test
		void conflictNamesTheEntityAndBothVersions() {
			InMemoryChangeTable table = new InMemoryChangeTable();
			ChangeWriter writer = writer(table.access(() -> true));
			writer.write("c1", put("harbor"), writer.read());
			assertThat(writer.write("c2", put("harbor"), Configuration.empty()))
				.isEqualTo(new Outcome.Conflicting(List.of(new ChangeWriter.Conflict("account/harbor", 0, 1))));
		}

		@Test
		void changeOfAnotherEntityIsNoConflict() {
			InMemoryChangeTable table = new InMemoryChangeTable();
			ChangeWriter writer = writer(table.access(() -> true));
			writer.write("c1", put("harbor"), writer.read());
			assertThat(writer.write("c2", put("ferry"), Configuration.empty())).isEqualTo(new Outcome.Written(2));
		}

		@Test
		void outcomeOfAnAppendWithoutConnectionIsUnknownAndCanBeLookedUp() {
			InMemoryChangeTable table = new InMemoryChangeTable();
			boolean[] reachable = { true };
			InMemoryChangeTable.Access access = table.access(() -> reachable[0]);
			ChangeWriter writer = new ChangeWriter(access, () -> {
				Configuration current = replay(access.read(0));
				reachable[0] = false;
				return current;
			}, (millis) -> {
			}, new Random(1));
			assertThat(writer.write("c1", put("harbor"), Configuration.empty()))
				.isEqualTo(new Outcome.Unknown("c1", "no connection"));
			reachable[0] = true;
			assertThat(writer.find("c1")).isEmpty();
		}

		@Test
		void pausesBetweenTriesDoubleUpToAMaximum() {
			List<Long> pauses = new ArrayList<>();
			InMemoryChangeTable.Access access = new InMemoryChangeTable().access(() -> false);
			new ChangeWriter(access, () -> replay(access.read(0)), pauses::add, new Random(1)).write("c1",
					put("harbor"), Configuration.empty());
			assertThat(pauses).hasSize(7);
			long longest = 50;
			for (long pause : pauses) {
				assertThat(pause).isBetween(longest / 2, longest);
				longest = Math.min(1000, 2 * longest);
			}
		}

		@Test
		void nothingIsWrittenIfThePlatformCannotBeRead() {
			InMemoryChangeTable table = new InMemoryChangeTable();
			assertThat(writer(table.access(() -> false)).write("c1", put("harbor"), Configuration.empty()))
				.isInstanceOf(Outcome.NotWritten.class);
			assertThat(table.entries()).isEmpty();
		}

	}

}
