package org.plantainspur.core.target;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.time.Clock;

/**
 * The last statement of each target's incarnation, whichever host it was made to. A
 * statement holds until the target makes another one, as it may be the only protection of
 * a target that gets no requests for a while. A pause that a target asks for is kept
 * beside it; it concerns this host only and ends by its time. Thread-safe.
 */
public final class TargetStatements {

	/**
	 * How long a statement is kept that nothing holds any more: long enough to reach all
	 * hosts, so that none of them brings back the one before.
	 */
	static final long WITHDRAWN_RETENTION_MS = 30_000;

	/**
	 * How long a statement of a target that is not listed is kept. An entry that expires
	 * during an outage of the store comes back sooner.
	 */
	static final long UNLISTED_RETENTION_MS = 60_000;

	/** The most reports in a heartbeat, which must fit into a datagram. */
	static final int MAX_REPORTS = 64;

	private final Clock clock;

	private final ChangeListener listener;

	private final ConcurrentMap<TargetIncarnation, Entry> entries = new ConcurrentHashMap<>();

	/**
	 * Creates a collection without statements.
	 * @param clock the host's clock
	 * @param listener told when a statement differs from the one before
	 */
	public TargetStatements(Clock clock, ChangeListener listener) {
		this.clock = clock;
		this.listener = listener;
	}

	/**
	 * Records what a target said in a response to this host.
	 * @param target the target
	 * @param statement what it said
	 * @return whether it differs from the statement before
	 */
	public boolean record(TargetIncarnation target, TargetStatement statement) {
		boolean changed = update(target, statement, this.clock.millis());
		if (changed) {
			this.listener.changed(target, statement, Source.RESPONSE);
		}
		return changed;
	}

	/**
	 * Records what another host reports.
	 * @param report the report
	 */
	public void receive(TargetStatementReport report) {
		if (update(report.target(), report.statement(), this.clock.millis() - report.ageMs())) {
			this.listener.changed(report.target(), report.statement(), Source.HOST);
		}
	}

	/**
	 * Records that a target asked this host to send it nothing for a while.
	 * @param target the target
	 * @param pauseMs the duration in milliseconds
	 */
	public void pause(TargetIncarnation target, long pauseMs) {
		long untilMs = this.clock.millis() + pauseMs;
		this.entries.computeIfAbsent(target, (absent) -> new Entry()).pausedUntilMs.accumulateAndGet(untilMs,
				Math::max);
	}

	private boolean update(TargetIncarnation target, TargetStatement statement, long saidMs) {
		Entry entry = this.entries.get(target);
		if (entry == null) {
			if (statement.equals(TargetStatement.NONE)) {
				return false;
			}
			entry = this.entries.computeIfAbsent(target, (absent) -> new Entry());
		}
		return entry.update(statement, saidMs);
	}

	/**
	 * Returns what a target says of itself.
	 * @param target the target
	 * @return its last statement, {@link TargetStatement#NONE} if it has made none
	 */
	public TargetStatement of(TargetIncarnation target) {
		Entry entry = this.entries.get(target);
		return (entry != null) ? entry.statement() : TargetStatement.NONE;
	}

	/**
	 * Returns all that is kept of a target.
	 * @param target the target
	 * @return its entry, {@code null} if the target has neither made a statement nor
	 * asked for a pause
	 */
	@Nullable Entry entry(TargetIncarnation target) {
		return this.entries.get(target);
	}

	/**
	 * Returns the statements as this host reports them to the others, the newest first.
	 * @return at most {@link #MAX_REPORTS} reports, withdrawn statements included
	 */
	public List<TargetStatementReport> reports() {
		if (this.entries.isEmpty()) {
			return List.of();
		}
		long nowMs = this.clock.millis();
		return this.entries.entrySet().stream().filter((entry) -> entry.getValue().stated()).map((entry) -> {
			Said said = entry.getValue().said.get();
			return new TargetStatementReport(entry.getKey(), said.statement(), Math.max(0, nowMs - said.saidMs()));
		}).sorted(Comparator.comparingLong(TargetStatementReport::ageMs)).limit(MAX_REPORTS).toList();
	}

	/**
	 * Drops statements that nothing depends on any more.
	 * @param listed tells whether the platform lists a target
	 */
	public void removeOld(Predicate<TargetIncarnation> listed) {
		long nowMs = this.clock.millis();
		this.entries.entrySet().removeIf((entry) -> {
			Said said = entry.getValue().said.get();
			long ageMs = nowMs - said.saidMs();
			boolean paused = entry.getValue().pausedUntilMs.get() > nowMs;
			return !paused && ((said.statement().equals(TargetStatement.NONE) && ageMs > WITHDRAWN_RETENTION_MS)
					|| (ageMs > UNLISTED_RETENTION_MS && !listed.test(entry.getKey())));
		});
	}

	/**
	 * Where a statement was learned.
	 */
	public enum Source {

		/** A response of the target. */
		RESPONSE,

		/** A report of another host. */
		HOST

	}

	/**
	 * Told of statements that differ from the ones before. Called by any thread.
	 */
	@FunctionalInterface
	public interface ChangeListener {

		/**
		 * Called when a target says something else than before.
		 * @param target the target
		 * @param statement what it says now
		 * @param source where this host learned it
		 */
		void changed(TargetIncarnation target, TargetStatement statement, Source source);

	}

	/**
	 * What is kept of one incarnation of a target.
	 */
	static final class Entry {

		private static final Said NOT_STATED = new Said(TargetStatement.NONE, Long.MIN_VALUE / 2);

		private final AtomicReference<Said> said = new AtomicReference<>(NOT_STATED);

		private final AtomicLong pausedUntilMs = new AtomicLong(Long.MIN_VALUE);

		private final RequestPacer pacer = new RequestPacer();

		/**
		 * Returns what the target says of itself.
		 * @return its last statement, {@link TargetStatement#NONE} if it has made none
		 */
		TargetStatement statement() {
			return this.said.get().statement();
		}

		/**
		 * Returns until when the target wants nothing from this host.
		 * @return the time of the clock in milliseconds, in the past if it has not asked
		 * for a pause
		 */
		long pausedUntilMs() {
			return this.pausedUntilMs.get();
		}

		/**
		 * Returns what paces this host's requests to the target while it names a limit.
		 * @return always the same pacer
		 */
		RequestPacer pacer() {
			return this.pacer;
		}

		// Returns whether the target has made a statement, other than asking for a pause.
		private boolean stated() {
			return this.said.get() != NOT_STATED;
		}

		// Returns whether the statement changed.
		private boolean update(TargetStatement statement, long saidMs) {
			Said previous = this.said.getAndUpdate((current) -> current.followedBy(statement, saidMs));
			return !previous.statement().equals(previous.followedBy(statement, saidMs).statement());
		}

	}

	private record Said(TargetStatement statement, long saidMs) {

		// A statement that arrives late still tells that the target is leaving.
		Said followedBy(TargetStatement other, long otherSaidMs) {
			return (otherSaidMs >= this.saidMs) ? new Said(this.statement.followedBy(other), otherSaidMs)
					: new Said(other.followedBy(this.statement), this.saidMs);
		}

	}

}
