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
import org.plantainspur.core.configuration.ChangeAuthor;
import org.plantainspur.core.configuration.ChangeAuthor.Outcome;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an operator overwriting a change that the operator never saw, and
 * against a lost reply that doubles a change.
 */
class ChangeAuthorTests {

	private static Configuration replay(List<ChangeEntry> entries) {
		Configuration configuration = Configuration.empty();
		for (ChangeEntry entry : entries) {
			configuration = configuration.apply(entry);
		}
		return configuration;
	}

	private static ChangeAuthor author(FakeTable.Access access) {
		return new ChangeAuthor(access, () -> replay(access.read(0)), (millis) -> {
		}, new Random(1));
	}

	private static Change put(String account) {
		return new Change.PutAccount(new ClientAccount(account, 5, 5));
	}

	@Group
	class Racing {

		@Property(seed = "20261204", tries = 500)
		void nothingIsOverwrittenOrDoubled(@ForAll long seed, @ForAll @IntRange(min = 2, max = 4) int authors) {
			Random random = new Random(seed);
			FakeTable table = new FakeTable();
			List<Configuration> bases = new ArrayList<>();
			List<FakeTable.Access> accesses = new ArrayList<>();
			for (int i = 0; i < authors; i++) {
				accesses.add(table.access(() -> true));
				bases.add(Configuration.empty());
			}
			for (int step = 0; step < 30; step++) {
				int who = random.nextInt(authors);
				if (random.nextInt(3) == 0) {
					bases.set(who, author(accesses.get(who)).read());
				}
				accesses.get(who).loseReplies(random.nextInt(12) / 4);
				accesses.get(who).loseWrites(random.nextInt(12) / 3);
				String id = "c" + step;
				Change change = put("a" + random.nextInt(3));
				Outcome outcome = author(accesses.get(who)).write(id, change, bases.get(who));
				check(table, id, change, bases.get(who), outcome);
			}
		}

		private void check(FakeTable table, String id, Change change, Configuration base, Outcome outcome) {
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
	class Platform {

		@Test
		void conflictNamesTheEntityAndBothVersions() {
			FakeTable table = new FakeTable();
			ChangeAuthor author = author(table.access(() -> true));
			author.write("c1", put("harbor"), author.read());
			assertThat(author.write("c2", put("harbor"), Configuration.empty()))
				.isEqualTo(new Outcome.Conflicting(List.of(new ChangeAuthor.Conflict("account/harbor", 0, 1))));
		}

		@Test
		void changeOfAnotherEntityIsNoConflict() {
			FakeTable table = new FakeTable();
			ChangeAuthor author = author(table.access(() -> true));
			author.write("c1", put("harbor"), author.read());
			assertThat(author.write("c2", put("ferry"), Configuration.empty())).isEqualTo(new Outcome.Written(2));
		}

		@Test
		void lostReplyWithoutThePlatformIsUnknownAndCanBeSettled() {
			FakeTable table = new FakeTable();
			boolean[] reachable = { true };
			FakeTable.Access access = table.access(() -> reachable[0]);
			ChangeAuthor author = new ChangeAuthor(access, () -> {
				Configuration read = replay(access.read(0));
				reachable[0] = false;
				return read;
			}, (millis) -> {
			}, new Random(1));
			assertThat(author.write("c1", put("harbor"), Configuration.empty()))
				.isEqualTo(new Outcome.Unknown("c1", "no connection"));
			reachable[0] = true;
			assertThat(author.find("c1")).isEmpty();
		}

		@Test
		void triesArePausedLongerEachTimeWithinABound() {
			List<Long> pauses = new ArrayList<>();
			FakeTable.Access access = new FakeTable().access(() -> false);
			new ChangeAuthor(access, () -> replay(access.read(0)), pauses::add, new Random(1)).write("c1",
					put("harbor"), Configuration.empty());
			assertThat(pauses).hasSize(7);
			long longest = 50;
			for (long pause : pauses) {
				assertThat(pause).isBetween(longest / 2, longest);
				longest = Math.min(1000, 2 * longest);
			}
		}

		@Test
		void platformThatCannotBeReadWritesNothing() {
			FakeTable table = new FakeTable();
			assertThat(author(table.access(() -> false)).write("c1", put("harbor"), Configuration.empty()))
				.isInstanceOf(Outcome.NotWritten.class);
			assertThat(table.entries()).isEmpty();
		}

	}

}
