package org.plantainspur.core.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ChangeLog;

/**
 * The platform's log of changes, kept in memory.
 */
final class InMemoryChangeTable {

	private final List<ChangeEntry> entries = new ArrayList<>();

	long head() {
		return this.entries.size();
	}

	List<ChangeEntry> entries() {
		return this.entries;
	}

	/**
	 * Returns the access of one process to the table.
	 * @param reachable returns whether the process can reach the platform now
	 * @return the access, which loses no replies or writes until told to
	 */
	Access access(BooleanSupplier reachable) {
		return new Access(reachable);
	}

	/**
	 * The access of one process to the table. Its reads and writes fail while the process
	 * cannot reach the platform.
	 */
	final class Access implements ChangeLog {

		private final BooleanSupplier reachable;

		private long visibleHead = Long.MAX_VALUE;

		private int repliesToLose;

		private int writesToLose;

		Access(BooleanSupplier reachable) {
			this.reachable = reachable;
		}

		/**
		 * Hides newer changes, so that a slow read returns the state at its start.
		 * @param head the newest visible sequence number
		 */
		void limitVisibleHead(long head) {
			this.visibleHead = head;
		}

		/**
		 * Makes the next appends write their change but return an unknown result.
		 * @param replies the number of appends
		 */
		void loseReplies(int replies) {
			this.repliesToLose = replies;
		}

		/**
		 * Makes the next appends write nothing and return an unknown result.
		 * @param writes the number of appends
		 */
		void loseWrites(int writes) {
			this.writesToLose = writes;
		}

		@Override
		public long head() {
			requireReachable();
			return Math.min(InMemoryChangeTable.this.head(), this.visibleHead);
		}

		@Override
		public List<ChangeEntry> read(long after) {
			long head = head();
			return InMemoryChangeTable.this.entries.stream()
				.filter((entry) -> entry.sequence() > after && entry.sequence() <= head)
				.toList();
		}

		@Override
		public AppendResult append(long expectedHead, String changeId, Change change) {
			if (!this.reachable.getAsBoolean()) {
				return new AppendResult.Unknown("no connection");
			}
			if (this.writesToLose > 0) {
				this.writesToLose--;
				return new AppendResult.Unknown("the write was lost");
			}
			OptionalLong found = find(changeId);
			if (found.isPresent()) {
				return new AppendResult.Appended(found.getAsLong());
			}
			if (expectedHead != InMemoryChangeTable.this.head()) {
				return new AppendResult.HeadMoved(InMemoryChangeTable.this.head());
			}
			InMemoryChangeTable.this.entries.add(new ChangeEntry(expectedHead + 1, changeId, change));
			if (this.repliesToLose > 0) {
				this.repliesToLose--;
				return new AppendResult.Unknown("the reply was lost");
			}
			return new AppendResult.Appended(expectedHead + 1);
		}

		@Override
		public OptionalLong find(String changeId) {
			requireReachable();
			return InMemoryChangeTable.this.entries.stream()
				.filter((entry) -> entry.changeId().equals(changeId))
				.mapToLong(ChangeEntry::sequence)
				.findFirst();
		}

		private void requireReachable() {
			if (!this.reachable.getAsBoolean()) {
				throw new UnavailableException("no connection", new IllegalStateException("platform down"));
			}
		}

	}

}
