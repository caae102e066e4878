package org.plantainspur.core.fleet;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.store.ChangeDelayBudget;
import org.plantainspur.core.store.TableStates;

/**
 * Decides whether this host reads the store itself. Calls to the store and bytes to
 * another region are billed, so one host of each failure domain reads for all of them;
 * the others are standbys that fetch whole tables and changes from it. When the reader's
 * state is too old, the standbys begin to read in order of their names, twice as many at
 * each step, until one succeeds; the others stop then. This bounds the load on the store,
 * also when all hosts start together, and a host that can reach the store never depends
 * on one that cannot. Used by one thread.
 */
public final class StoreReaderElection {

	/**
	 * The delay between two steps at which standbys begin to read. A host that began at
	 * the previous step has read the store and sent a heartbeat by then.
	 */
	static final long TAKEOVER_STEP_MS = 100;

	/**
	 * The delay between two steps while this host does not have all tables yet. Longer,
	 * since reading whole tables from another region takes longer.
	 */
	static final long START_STEP_MS = 250;

	/**
	 * A host without tables fetches those of a host that is out of touch with the store
	 * only this long after it could have read the store itself. The store answers within
	 * this time if it can be reached; a withdrawn key or a target that has left would
	 * otherwise be in use again after a restart beside such a host.
	 */
	static final long STALE_FETCH_DELAY_MS = 500;

	/**
	 * A host that must read goes on for at least this long, so that the hosts do not take
	 * turns as readers.
	 */
	static final long MIN_READER_MS = 1_000;

	private final String host;

	private final long maxAgeMs;

	private long readsUntilMs = Long.MIN_VALUE;

	private long firstDecisionMs = Long.MIN_VALUE;

	/**
	 * Creates the election for a host that has read nothing yet.
	 * @param host the name of this host
	 * @param budget the age from which on a reader is late
	 */
	public StoreReaderElection(String host, ChangeDelayBudget budget) {
		this.host = host;
		this.maxAgeMs = budget.takeoverAgeMs();
	}

	/**
	 * Decides whether to read the store and from which host to fetch.
	 * @param rank the position of this host among the live hosts of its failure domain, 0
	 * for the first
	 * @param own this host's tables
	 * @param others the read states of the other hosts of the failure domain
	 * @param nowMs the clock's current reading in milliseconds
	 * @return whether to read the store, and the host to fetch from
	 */
	public Decision decide(int rank, OwnReadState own, List<PeerReadState> others, long nowMs) {
		if (this.firstDecisionMs == Long.MIN_VALUE) {
			this.firstDecisionMs = nowMs;
		}
		long freshestAgeMs = Long.MAX_VALUE;
		boolean readerBefore = false;
		PeerReadState fetchFrom = null;
		for (PeerReadState other : others) {
			freshestAgeMs = Math.min(freshestAgeMs, other.ageMs());
			readerBefore |= other.ageMs() <= this.maxAgeMs && other.heartbeat().host().compareTo(this.host) < 0;
			if (own.tables().isBehind(other.heartbeat().tables())
					&& (fetchFrom == null || other.ageMs() < fetchFrom.ageMs())) {
				fetchFrom = other;
			}
		}
		long startReadMs = this.firstDecisionMs + START_STEP_MS * step(rank);
		if (!own.complete() && fetchFrom != null && isOutOfTouch(fetchFrom)
				&& nowMs < startReadMs + STALE_FETCH_DELAY_MS) {
			fetchFrom = null;
		}
		boolean inTouch = own.storeAgeMs() <= this.maxAgeMs;
		boolean othersAreLate = freshestAgeMs > this.maxAgeMs + TAKEOVER_STEP_MS * step(rank);
		boolean remainsReader = isReading(nowMs) && inTouch && !readerBefore;
		boolean mustRead = own.complete() ? rank == 0 || othersAreLate || remainsReader
				: fetchFrom == null && nowMs >= startReadMs;
		if (mustRead) {
			this.readsUntilMs = nowMs + MIN_READER_MS;
		}
		else if (own.complete() && !inTouch && freshestAgeMs <= this.maxAgeMs) {
			// Another host was first to reach the store.
			this.readsUntilMs = Long.MIN_VALUE;
		}
		return new Decision(isReading(nowMs), fetchFrom);
	}

	private boolean isReading(long nowMs) {
		return nowMs <= this.readsUntilMs;
	}

	// A reader that is late is relieved within the minimum time of a reader.
	private boolean isOutOfTouch(PeerReadState peer) {
		return peer.ageMs() > this.maxAgeMs + MIN_READER_MS;
	}

	// The step at which a host begins: 0 for the first host, 1 for the next one, 2 for
	// the next two, 3 for the next four.
	private static int step(int rank) {
		return Integer.SIZE - Integer.numberOfLeadingZeros(rank);
	}

	/**
	 * How current the tables of this host are.
	 *
	 * @param complete whether it has every table
	 * @param tables the states of its tables
	 * @param storeAgeMs the time since the store answered it, in milliseconds
	 */
	public record OwnReadState(boolean complete, TableStates tables, long storeAgeMs) {
	}

	/**
	 * How current the tables of another host are.
	 *
	 * @param heartbeat the last heartbeat of the host
	 * @param ageMs the time since the store answered it, in milliseconds
	 */
	public record PeerReadState(HostHeartbeat heartbeat, long ageMs) {
	}

	/**
	 * The outcome of the election on this host.
	 *
	 * @param readStore whether this host reads the store
	 * @param fetchFrom the host to fetch rows from, {@code null} if none has newer tables
	 */
	public record Decision(boolean readStore, @Nullable PeerReadState fetchFrom) {
	}

}
