package org.plantainspur.core.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

class TableFollowerTests {

	/** The state of a replica that is newer than all rows of these tests. */
	private static final TableState NEWER = new TableState(version(1_000), -1);

	private final ManualClock clock = new ManualClock();

	private final ScriptedStore store = new ScriptedStore();

	private final List<String> events = new ArrayList<>();

	private final Deque<Error> listenerFailures = new ArrayDeque<>();

	private long sinceLossMs;

	private final List<Throwable> reportedFailures = new ArrayList<>();

	private final ChangeDelayBudget budget = ChangeDelayBudget.builder().build();

	private final long retryMs = this.budget.retryIntervalMs(1);

	private final long wholeReadMs = this.budget.wholeReadIntervalMs();

	private final ManualScheduler scheduler = new ManualScheduler(this.clock, this::runReportingFailures);

	private final TableFollower.Timing timing = new TableFollower.Timing(this.budget,
			new RetrySchedule(this.clock, this.scheduler, this.budget), new AnswerSchedule(this.clock, this.budget));

	private final TableFollower.Listener listener = new TableFollower.Listener() {

		@Override
		public void read() {
			// These tests look at the rows.
		}

		@Override
		public void replaced(List<StoredRow> rows, StoreVersion version, long sinceLossMs) {
			TableFollowerTests.this.events.add("replaced " + keys(rows));
			failIfPrepared();
		}

		@Override
		public void changed(List<StoredRow> rows, StoreVersion version, long sinceLossMs) {
			TableFollowerTests.this.events.add("changed " + keys(rows));
			TableFollowerTests.this.sinceLossMs = sinceLossMs;
			failIfPrepared();
		}

		@Override
		public void outdated(StoreVersion readVersion, StoreVersion ownVersion) {
			TableFollowerTests.this.events.add("outdated " + readVersion.number() + " " + ownVersion.number());
		}

		@Override
		public void unavailable(StoreResult result) {
			TableFollowerTests.this.events.add("unavailable");
		}

	};

	private final TableFollower follower = new TableFollower("servers", this.store, this.clock, this.scheduler,
			this.timing, this.listener);

	private static List<String> keys(List<StoredRow> rows) {
		return rows.stream().map(StoredRow::key).toList();
	}

	private static StoredRow row(String key, long version) {
		return new StoredRow(key, key.getBytes(StandardCharsets.UTF_8), version, false);
	}

	private static StoreVersion version(long number) {
		return new StoreVersion(1, number);
	}

	private static StoreResult rows(long version, boolean more, StoredRow... rows) {
		return new StoreResult.Rows(List.of(rows), version(version), more);
	}

	private static StoreResult rowsOfEra(long era, long number, StoredRow... rows) {
		return new StoreResult.Rows(List.of(rows), new StoreVersion(era, number), false);
	}

	private void failIfPrepared() {
		Error failure = this.listenerFailures.poll();
		if (failure != null) {
			throw failure;
		}
	}

	private void runReportingFailures(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException | StackOverflowError ex) {
			this.reportedFailures.add(ex);
		}
	}

	private void runFor(long milliseconds) {
		this.scheduler.runFor(milliseconds);
	}

	// Reads a table with the row a from the store and stops following it.
	private void readTheStoreOnce() {
		this.store.results.add(rows(5, false, row("a", 1)));
		this.follower.follow(true);
		this.follower.follow(false);
		runFor(10);
	}

	/** Guards against rows or changes that are missed while following the store. */
	@Nested
	class Following {

		@Test
		void aTableLongerThanOnePageIsReadWhole() {
			TableFollowerTests.this.store.results.add(rows(5, true, row("a", 1), row("b", 2)));
			TableFollowerTests.this.store.results.add(rows(5, false, row("c", 3)));
			TableFollowerTests.this.follower.follow(true);
			runFor(10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a, b, c]");
			assertThat(TableFollowerTests.this.store.calls).startsWith("list ", "list b\0");
		}

		/**
		 * Guards against a change of a row on the first page while the second one is
		 * read: a target that began to drain then stayed in use.
		 */
		@Test
		void aChangeBetweenTwoPagesIsRead() {
			TableFollowerTests.this.store.results.add(rows(5, true, row("a", 1), row("b", 2)));
			TableFollowerTests.this.store.results.add(rows(7, false, row("c", 7)));
			TableFollowerTests.this.store.results.add(rows(7, false, row("a", 6), row("c", 7)));
			TableFollowerTests.this.follower.follow(true);
			runFor(10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a, b, c]", "changed [a, c]");
			assertThat(TableFollowerTests.this.store.calls).containsSequence("list b\0", "changes 5");
			assertThat(TableFollowerTests.this.follower.replica().version()).isEqualTo(version(7));
		}

		@Test
		void theTableIsReadWholeWhenTheHistoryIsLost() {
			TableFollowerTests.this.store.results.add(rows(5, false, row("a", 1)));
			TableFollowerTests.this.store.results.add(new StoreResult.HistoryLost());
			TableFollowerTests.this.store.results.add(rows(9, false, row("b", 8)));
			TableFollowerTests.this.follower.follow(true);
			runFor(10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a]", "replaced [b]");
		}

		@Test
		void aFailedReadIsRetriedFromTheSameVersion() {
			TableFollowerTests.this.store.results.add(rows(5, false, row("a", 1)));
			TableFollowerTests.this.store.results.add(new StoreResult.Unavailable("busy"));
			TableFollowerTests.this.store.results.add(rows(6, false, row("b", 6)));
			TableFollowerTests.this.follower.follow(true);
			runFor(TableFollowerTests.this.retryMs + 10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a]", "unavailable", "changed [b]");
			assertThat(TableFollowerTests.this.store.calls).containsSequence("changes 5", "changes 5");
		}

		/**
		 * Guards against frequent retries: calls that the store refuses are billed like
		 * others. The tables of a host share what they retry.
		 */
		@Test
		void retriesOfTwoTablesAreSpacedWhileTheStoreIsUnavailable() {
			TableFollower secondFollower = new TableFollower("op", TableFollowerTests.this.store,
					TableFollowerTests.this.clock, TableFollowerTests.this.scheduler, TableFollowerTests.this.timing,
					TableFollowerTests.this.listener);
			for (int i = 0; i < 100; i++) {
				TableFollowerTests.this.store.results.add(new StoreResult.Unavailable("busy"));
			}
			TableFollowerTests.this.follower.follow(true);
			secondFollower.follow(true);
			runFor(10_000);
			assertThat(TableFollowerTests.this.store.calls).hasSizeBetween(2 * 7, 2 * 10 + 2);
		}

	}

	/**
	 * Guards against a follower that never reads again after an unexpected exception or
	 * error, so that its host keeps using the rows of that moment.
	 */
	@Nested
	class UnexpectedFailures {

		@Test
		void theTableIsReadWholeAfterTheListenerFailed() {
			TableFollowerTests.this.listenerFailures.add(new StackOverflowError("a row nested too deeply"));
			TableFollowerTests.this.store.results.add(rows(5, false, row("a", 1)));
			TableFollowerTests.this.store.results.add(rows(6, false, row("a", 1), row("b", 6)));
			TableFollowerTests.this.follower.follow(true);
			runFor(TableFollowerTests.this.wholeReadMs + 10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a]", "replaced [a, b]");
			assertThat(TableFollowerTests.this.follower.complete()).isTrue();
			assertThat(TableFollowerTests.this.reportedFailures).hasSize(1);
		}

		@Test
		void changesThatTheListenerMissedAreReadAgain() {
			TableFollowerTests.this.store.results.add(rows(5, false, row("a", 1)));
			TableFollowerTests.this.follower.follow(true);
			runFor(10);
			TableFollowerTests.this.listenerFailures.add(new StackOverflowError("a row nested too deeply"));
			TableFollowerTests.this.store.pending.remove().complete(rows(6, false, row("b", 6)));
			TableFollowerTests.this.store.results.add(rows(6, false, row("a", 1), row("b", 6)));
			runFor(TableFollowerTests.this.wholeReadMs + 10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a]", "changed [b]",
					"replaced [a, b]");
		}

		@Test
		void aListenerThatFailsOnRowsOfAnotherHostIsToldAgain() {
			ScriptedStore other = new ScriptedStore();
			other.results.add(rows(7, false, row("a", 1)));
			other.results.add(rows(7, false, row("a", 1)));
			TableFollowerTests.this.listenerFailures.add(new StackOverflowError("a row nested too deeply"));
			TableFollowerTests.this.follower.fetchFrom(other, NEWER, "b", 0);
			runFor(10);
			assertThat(TableFollowerTests.this.follower.complete()).isFalse();
			TableFollowerTests.this.follower.fetchFrom(other, NEWER, "b", 0);
			runFor(10);
			assertThat(TableFollowerTests.this.follower.complete()).isTrue();
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a]", "replaced [a]");
		}

		@Test
		void aCallThatEndsWithAnExceptionIsRetried() {
			TableFollowerTests.this.store.failures.add(new OutOfMemoryError("a response too large"));
			TableFollowerTests.this.follower.follow(true);
			runFor(10);
			TableFollowerTests.this.store.results.add(rows(5, false, row("a", 1)));
			runFor(TableFollowerTests.this.retryMs);
			assertThat(TableFollowerTests.this.events).containsExactly("unavailable", "replaced [a]");
		}

	}

	/**
	 * Guards against rows of a host that has read the store less recently: a target that
	 * has left or a key that was withdrawn must not come back.
	 */
	@Nested
	class OlderRows {

		@Test
		void anOlderChangeOfAnotherHostDoesNotReplaceANewerRow() {
			TableFollowerTests.this.store.results
				.add(rows(100, false, new StoredRow("a", new byte[0], 95, true), row("b", 80)));
			TableFollowerTests.this.follower.follow(true);
			TableFollowerTests.this.follower.follow(false);
			runFor(10);
			ScriptedStore other = new ScriptedStore();
			other.results.add(rows(101, false, row("a", 90)));
			TableFollowerTests.this.follower.fetchFrom(other, NEWER, "b", 0);
			runFor(10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [b]");
			assertThat(TableFollowerTests.this.follower.replica().allRows().rows()).extracting(StoredRow::key)
				.containsExactly("b");
		}

		@Test
		void anOlderWholeTableOfAnotherHostIsNotUsed() {
			TableFollowerTests.this.store.results.add(rows(100, false, row("b", 80)));
			TableFollowerTests.this.store.results.add(new StoreResult.HistoryLost());
			TableFollowerTests.this.store.results.add(new StoreResult.Unavailable("busy"));
			TableFollowerTests.this.store.results.add(rows(101, false, row("b", 80)));
			TableFollowerTests.this.follower.follow(true);
			runFor(10);
			ScriptedStore other = new ScriptedStore();
			other.results.add(rows(90, false, row("a", 70), row("b", 80)));
			TableFollowerTests.this.follower.fetchFrom(other, NEWER, "b", 0);
			runFor(TableFollowerTests.this.retryMs + 10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [b]", "unavailable", "replaced [b]");
		}

		@Test
		void aReadOfTheStoreThatIsOvertakenByRowsOfAnotherHostDoesNotReplaceThem() {
			TableFollowerTests.this.follower.follow(true);
			ScriptedStore other = new ScriptedStore();
			other.results.add(rows(101, false, row("b", 101)));
			TableFollowerTests.this.follower.fetchFrom(other, NEWER, "b", 0);
			runFor(10);
			TableFollowerTests.this.store.pending.remove().complete(rows(100, false, row("a", 70)));
			runFor(10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [b]", "outdated 100 101");
		}

	}

	/**
	 * Guards against billed calls to the store for changes that another host has, and
	 * against missing them if it does not.
	 */
	@Nested
	class Fetching {

		@Test
		void changesAreFetchedFromAnotherHostWithoutACallToTheStore() {
			readTheStoreOnce();
			ScriptedStore other = new ScriptedStore();
			other.results.add(rows(7, false, row("b", 7)));
			TableFollowerTests.this.follower.fetchFrom(other, NEWER, "b", 0);
			runFor(10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a]", "changed [b]");
			assertThat(TableFollowerTests.this.store.calls).containsExactly("list ");
		}

		@Test
		void aReaderLeavesTheChangesToItsPendingReadWhileTheStoreAnswers() {
			TableFollowerTests.this.store.results.add(rows(5, false, row("a", 1)));
			TableFollowerTests.this.follower.follow(true);
			runFor(10);
			ScriptedStore other = new ScriptedStore();
			TableFollowerTests.this.follower.fetchFrom(other, NEWER, "b", 0);
			assertThat(other.calls).isEmpty();
		}

		/** Guards against a reader that is cut off from the store and keeps old rows. */
		@Test
		void aReaderThatHasLostTheStoreFetchesFromAnotherHost() {
			TableFollowerTests.this.store.results.add(rows(5, false, row("a", 1)));
			TableFollowerTests.this.store.results.add(new StoreResult.Unavailable("cut off"));
			TableFollowerTests.this.follower.follow(true);
			TableFollowerTests.this.clock.advance(1);
			runFor(10);
			ScriptedStore other = new ScriptedStore();
			other.results.add(rows(7, false, row("b", 7)));
			TableFollowerTests.this.follower.fetchFrom(other, NEWER, "b", 0);
			runFor(10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a]", "unavailable", "changed [b]");
		}

		@Test
		void theWholeTableIsFetchedWhenTheOtherHostHasLostTheHistory() {
			readTheStoreOnce();
			ScriptedStore other = new ScriptedStore();
			other.results.add(new StoreResult.HistoryLost());
			other.results.add(rows(7, false, row("b", 7)));
			TableFollowerTests.this.follower.fetchFrom(other, NEWER, "b", 0);
			runFor(1_000);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a]", "replaced [b]");
			assertThat(other.calls).containsExactly("changes 5", "list ");
			assertThat(TableFollowerTests.this.store.calls).containsExactly("list ");
		}

		@Test
		void theStoreIsReadOnceWhenTheOtherHostReturnsNoRows() {
			readTheStoreOnce();
			ScriptedStore other = new ScriptedStore();
			other.results.add(new StoreResult.HistoryLost());
			other.results.add(new StoreResult.Unavailable("stopping"));
			TableFollowerTests.this.store.results.add(rows(7, false, row("b", 7)));
			TableFollowerTests.this.follower.fetchFrom(other, NEWER, "b", 0);
			runFor(1_000);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a]", "changed [b]");
			assertThat(TableFollowerTests.this.store.calls).containsExactly("list ", "changes 5");
		}

		/**
		 * Guards against requests for changes of other tables, with which the version
		 * rises, too.
		 */
		@Test
		void nothingIsFetchedFromAHostWithTheSameRowsAndItsVersionIsTaken() {
			readTheStoreOnce();
			TableState later = new TableState(version(900),
					TableFollowerTests.this.follower.replica().state().digest());
			ScriptedStore other = new ScriptedStore();
			TableFollowerTests.this.follower.fetchFrom(other, later, "b", 0);
			TableFollowerTests.this.follower.compareWith(later, "b", 0);
			assertThat(other.calls).isEmpty();
			assertThat(TableFollowerTests.this.follower.replica().version()).isEqualTo(version(900));
		}

	}

	/**
	 * Guards against a host that has just started and reads whole tables from the store
	 * although another host of its failure domain has them.
	 */
	@Nested
	class FetchingWholeTable {

		@Test
		void aHostWithoutTheTableFetchesItFromAnotherHost() {
			ScriptedStore other = new ScriptedStore();
			other.results.add(rows(7, false, row("a", 1), new StoredRow("b", new byte[0], 7, true)));
			TableFollowerTests.this.follower.fetchFrom(other, NEWER, "b", 0);
			runFor(10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a]");
			assertThat(TableFollowerTests.this.follower.complete()).isTrue();
			assertThat(TableFollowerTests.this.follower.replica().version()).isEqualTo(version(7));
			assertThat(TableFollowerTests.this.store.calls).isEmpty();
		}

		@Test
		void theStoreIsFollowedFromTheFetchedVersion() {
			ScriptedStore other = new ScriptedStore();
			other.results.add(rows(7, false, row("a", 1)));
			TableFollowerTests.this.follower.fetchFrom(other, NEWER, "b", 0);
			runFor(10);
			TableFollowerTests.this.follower.follow(true);
			assertThat(TableFollowerTests.this.store.calls).containsExactly("changes 7");
		}

	}

	/**
	 * Guards against rows from before that are kept when the store comes back from a
	 * copy: it gives out again the versions that hosts already have.
	 */
	@Nested
	class LaterEra {

		private final ScriptedStore other = new ScriptedStore();

		@Test
		void isReadWholeThoughItsVersionIsLower() {
			TableFollowerTests.this.store.results.add(rowsOfEra(1, 100, row("a", 90)));
			TableFollowerTests.this.store.results.add(new StoreResult.HistoryLost());
			TableFollowerTests.this.store.results.add(rowsOfEra(2, 40, row("b", 40)));
			TableFollowerTests.this.store.results.add(rowsOfEra(2, 41, row("c", 41)));
			TableFollowerTests.this.follower.follow(true);
			runFor(10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a]", "replaced [b]", "changed [c]");
		}

		@Test
		void isReadWholeThoughItsChangesFollowTheVersionOfTheHost() {
			TableFollowerTests.this.store.results.add(rowsOfEra(1, 100, row("a", 90)));
			TableFollowerTests.this.store.results.add(rowsOfEra(2, 105, row("c", 105)));
			TableFollowerTests.this.store.results.add(rowsOfEra(2, 105, row("b", 60), row("c", 105)));
			TableFollowerTests.this.follower.follow(true);
			runFor(10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a]", "replaced [b, c]");
		}

		@Test
		void isFetchedFromAnotherHostThoughTheDigestIsTheSame() {
			readTheStoreOnce();
			TableState state = TableFollowerTests.this.follower.replica().state();
			this.other.results.add(rowsOfEra(2, 5, row("a", 1)));
			TableFollowerTests.this.follower.fetchFrom(this.other,
					new TableState(new StoreVersion(2, 5), state.digest()), "b", 0);
			runFor(10);
			assertThat(TableFollowerTests.this.follower.replica().version()).isEqualTo(new StoreVersion(2, 5));
			assertThat(this.other.calls).containsExactly("list ");
			assertThat(TableFollowerTests.this.store.calls).containsExactly("list ");
		}

		@Test
		void isNotLeftForRowsOfAnEarlierOne() {
			TableFollowerTests.this.store.results.add(rowsOfEra(2, 40, row("b", 40)));
			TableFollowerTests.this.follower.follow(true);
			runFor(10);
			this.other.results.add(rowsOfEra(1, 100, row("a", 90)));
			TableFollowerTests.this.follower.fetchFrom(this.other, new TableState(new StoreVersion(1, 100), 7), "b", 0);
			TableFollowerTests.this.store.pending.remove().complete(rowsOfEra(1, 101, row("c", 101)));
			runFor(10);
			assertThat(this.other.calls).isEmpty();
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [b]");
		}

		/** A read that began before lacks the rows that the host has not seen. */
		@Test
		void isNotTakenFromAReadThatBeganInTheEarlierOne() {
			readTheStoreOnce();
			TableFollowerTests.this.follower.follow(true);
			TableFollowerTests.this.store.results.clear();
			TableFollowerTests.this.follower.follow(false);
			this.other.results.add(rowsOfEra(2, 3, row("b", 2)));
			TableFollowerTests.this.store.pending.remove().complete(rowsOfEra(2, 9, row("d", 9)));
			TableFollowerTests.this.store.results.add(rowsOfEra(2, 9, row("b", 2), row("c", 8), row("d", 9)));
			runFor(10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [a]", "replaced [b, c, d]");
		}

		/** Guards against targets that stay in use after their removal near a start. */
		@Test
		void isALossOfRowsButTheFirstReadIsNone() {
			TableFollowerTests.this.store.results.add(rows(5, false, row("a", 1)));
			TableFollowerTests.this.store.results.add(rows(6, false, row("b", 6)));
			TableFollowerTests.this.follower.follow(true);
			runFor(10);
			assertThat(TableFollowerTests.this.sinceLossMs).isGreaterThan(600_000);
			TableFollowerTests.this.store.results.add(rowsOfEra(2, 3, row("a", 1)));
			TableFollowerTests.this.store.results.add(rowsOfEra(2, 3, row("a", 1)));
			TableFollowerTests.this.store.results.add(rowsOfEra(2, 4, row("b", 4)));
			runFor(TableFollowerTests.this.budget.pauseBetweenReadsMs() + 10);
			assertThat(TableFollowerTests.this.sinceLossMs).isLessThan(1_000);
		}

		@Test
		void pagesOfTwoErasAreNotOneTable() {
			TableFollowerTests.this.store.results.add(rows(100, true, row("a", 1)));
			TableFollowerTests.this.store.results.add(rowsOfEra(2, 40, row("c", 40)));
			TableFollowerTests.this.store.results.add(rowsOfEra(2, 40, row("b", 30), row("c", 40)));
			TableFollowerTests.this.follower.follow(true);
			runFor(TableFollowerTests.this.wholeReadMs + 10);
			assertThat(TableFollowerTests.this.events).containsExactly("replaced [b, c]");
		}

	}

	/**
	 * Guards against whole reads without a pause, when their rows are dropped as outdated
	 * or the changes after them are lost each time.
	 */
	@Nested
	class RepeatedWholeReads {

		@Test
		void ofOutdatedRowsPauseInBetween() {
			ScriptedStore other = new ScriptedStore();
			other.results.add(rows(101, false, row("b", 101)));
			TableFollowerTests.this.listenerFailures.add(new StackOverflowError("a row nested too deeply"));
			TableFollowerTests.this.follower.fetchFrom(other, NEWER, "b", 0);
			runFor(10);
			for (int i = 0; i < 1_000; i++) {
				TableFollowerTests.this.store.results.add(rows(90, false, row("a", 70)));
			}
			TableFollowerTests.this.follower.follow(true);
			runFor(5_000);
			assertThat(TableFollowerTests.this.store.calls).hasSizeLessThan(8);
		}

		@Test
		void whoseChangesAreLostPauseInBetween() {
			for (int i = 0; i < 1_000; i++) {
				TableFollowerTests.this.store.results.add(rows(90 + i, false, row("a", 70)));
				TableFollowerTests.this.store.results.add(new StoreResult.HistoryLost());
			}
			TableFollowerTests.this.follower.follow(true);
			runFor(5_000);
			int cycles = (int) (5_000 / TableFollowerTests.this.wholeReadMs) + 2;
			assertThat(TableFollowerTests.this.store.calls).hasSizeLessThanOrEqualTo(2 * cycles);
		}

	}

	private static final class ScriptedStore implements Store {

		private final Deque<StoreResult> results = new ArrayDeque<>();

		private final Deque<Throwable> failures = new ArrayDeque<>();

		private final Deque<CompletableFuture<StoreResult>> pending = new ArrayDeque<>();

		private final List<String> calls = new ArrayList<>();

		@Override
		public CompletionStage<StoreResult> list(String table, String from) {
			this.calls.add("list " + from);
			return nextResult();
		}

		@Override
		public CompletionStage<StoreResult> changes(String table, StoreVersion after, long waitMs) {
			this.calls.add("changes " + after.number());
			return nextResult();
		}

		@Override
		public CompletionStage<StoreResult> put(String table, String key, byte[] value) {
			return nextResult();
		}

		// A call without a prepared result stays pending.
		private CompletionStage<StoreResult> nextResult() {
			Throwable failure = this.failures.poll();
			if (failure != null) {
				return CompletableFuture.failedFuture(failure);
			}
			StoreResult result = this.results.poll();
			if (result != null) {
				return CompletableFuture.completedFuture(result);
			}
			CompletableFuture<StoreResult> unanswered = new CompletableFuture<>();
			this.pending.add(unanswered);
			return unanswered;
		}

	}

}
