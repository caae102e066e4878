package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import org.plantainspur.core.time.Clock;

/**
 * Quarantines a request that has crashed several targets one after another, and lets
 * single attempts through at growing intervals to find out whether it still does. Hosts
 * report the crashes to each other, as such a request comes again at any of them.
 * <p>
 * Targets also crash for other reasons, and connections break without a crash. A crash
 * therefore counts only if its attempt was sent after the one before had been seen, so
 * that targets which fail together count once, and it is discarded if the target answers
 * an attempt sent shortly after. A request that any target has completed is not suspect
 * any more.
 * <p>
 * Thread-safe: the suspicions are an immutable map that is replaced on each change.
 */
public final class SequentialCrashQuarantine implements RequestQuarantine {

	/** The number of crashes, one after another, that quarantine a request. */
	static final int MAX_CRASHES = 3;

	/**
	 * A crash is discarded if its target answers an attempt that was sent within this
	 * time after it. A target that has crashed takes longer to start again.
	 */
	static final long REFUTATION_MS = 1_000;

	/** How long a request is quarantined at first; doubled by each further crash. */
	static final long INITIAL_QUARANTINE_MS = 20_000;

	/** How long several crashes are remembered, and the longest quarantine. */
	static final long LIFETIME_MS = 600_000;

	/**
	 * How long a single crash is remembered. While any is remembered, the fingerprint of
	 * each request is needed, and most lost connections are not repeated.
	 */
	static final long SINGLE_CRASH_LIFETIME_MS = 60_000;

	/**
	 * How long no further attempt is let through while the outcome of one is unknown.
	 */
	static final long PROBE_MS = 10_000;

	/**
	 * Crashes are reported for this long after {@link #REFUTATION_MS}, so that a report
	 * reaches other regions even if some heartbeats are lost. Those of quarantined
	 * requests are reported until they are forgotten, for hosts that start later.
	 */
	static final long REPORT_MS = 5_000;

	/** The most crashes in a report, which bounds the size of heartbeats. */
	static final int MAX_REPORTED = 12;

	/**
	 * The most suspect requests; beyond it the one whose crash is the oldest is evicted.
	 */
	static final int MAX_SUSPICIONS = 256;

	private static final int MAX_CRASHES_PER_REQUEST = 16;

	private final Clock clock;

	private final LongSupplier ids;

	private final AtomicReference<Map<String, Suspicion>> suspicions = new AtomicReference<>(Map.of());

	/**
	 * Creates an empty quarantine.
	 * @param clock the host's clock
	 * @param ids returns ids for crashes, unique among all hosts
	 */
	public SequentialCrashQuarantine(Clock clock, LongSupplier ids) {
		this.clock = clock;
		this.ids = ids;
	}

	/**
	 * Returns whether no request is suspect, so that fingerprints are not needed.
	 * @return {@code true} if no crash is remembered
	 */
	public boolean isEmpty() {
		return this.suspicions.get().isEmpty();
	}

	// Returns the number of suspect requests.
	int size() {
		return this.suspicions.get().size();
	}

	/**
	 * Returns whether an attempt must not be made. Returns {@code false} once when a
	 * quarantine ends; the outcome of that attempt decides about the next ones.
	 */
	@Override
	public boolean quarantined(String fingerprint) {
		long now = this.clock.millis();
		Suspicion suspicion = this.suspicions.get().get(fingerprint);
		if (suspicion == null || suspicion.crashCount() < MAX_CRASHES) {
			return false;
		}
		if (now < suspicion.quarantinedUntilMs()) {
			return true;
		}
		AtomicBoolean probe = new AtomicBoolean();
		replace((next) -> {
			Suspicion current = next.get(fingerprint);
			probe.set(current != null && now >= current.quarantinedUntilMs());
			if (current != null && probe.get()) {
				next.put(fingerprint, new Suspicion(current.crashes(), now + PROBE_MS));
			}
		});
		return !probe.get();
	}

	/**
	 * Records that the connection to a target was lost while it was running a request.
	 * @param fingerprint the request's fingerprint
	 * @param targetId the identity of the target
	 * @param sentMs the clock's reading when the request was sent
	 */
	public void recordCrash(String fingerprint, String targetId, long sentMs) {
		add(fingerprint, new Crash(targetId, this.ids.getAsLong(), sentMs, this.clock.millis()));
	}

	/**
	 * Records that a target has completed a request, so that the request does not crash
	 * targets.
	 * @param fingerprint the request's fingerprint
	 */
	public void recordCompletion(String fingerprint) {
		if (this.suspicions.get().containsKey(fingerprint)) {
			replace((next) -> next.remove(fingerprint));
		}
	}

	/**
	 * Records that a target has responded to any request, so that it had not crashed
	 * shortly before.
	 * @param targetId the identity of the target
	 * @param sentMs the clock's reading when that request was sent
	 */
	public void recordResponse(String targetId, long sentMs) {
		if (this.suspicions.get().values().stream().anyMatch((suspicion) -> suspicion.isRefutedBy(targetId, sentMs))) {
			replace((next) -> {
				next.replaceAll((fingerprint, suspicion) -> suspicion.withoutRefuted(targetId, sentMs));
				next.values().removeIf((suspicion) -> suspicion.crashes().isEmpty());
			});
		}
	}

	/**
	 * Discards the crashes that this host has seen since a time, because its connections
	 * were lost for another reason.
	 * @param sinceMs the clock's reading from which on crashes are discarded
	 */
	public void discardSince(long sinceMs) {
		replace((next) -> {
			next.replaceAll((fingerprint, suspicion) -> suspicion.withoutSeenSince(sinceMs));
			next.values().removeIf((suspicion) -> suspicion.crashes().isEmpty());
		});
	}

	/**
	 * Returns the crashes that other hosts must know of, and forgets expired ones. Must
	 * be called regularly.
	 * @return at most {@link #MAX_REPORTED} crashes, latest first
	 */
	public List<RequestCrash> reports() {
		long now = this.clock.millis();
		if (this.suspicions.get().values().stream().anyMatch((suspicion) -> suspicion.isExpired(now))) {
			replace((next) -> next.values().removeIf((suspicion) -> suspicion.isExpired(now)));
		}
		return this.suspicions.get()
			.entrySet()
			.stream()
			.flatMap((entry) -> entry.getValue().reportable(now).map((crash) -> crash.toReport(entry.getKey(), now)))
			.sorted(Comparator.comparingLong(RequestCrash::crashedAgeMs))
			.limit(MAX_REPORTED)
			.toList();
	}

	/**
	 * Records crashes that another host has reported.
	 * @param reports the reports; known crashes are skipped
	 */
	public void receive(Collection<RequestCrash> reports) {
		long now = this.clock.millis();
		for (RequestCrash report : reports) {
			if (report.crashedAgeMs() < LIFETIME_MS) {
				add(report.fingerprint(),
						new Crash("", report.id(), now - report.sentAgeMs(), now - report.crashedAgeMs()));
			}
		}
	}

	private void add(String fingerprint, Crash crash) {
		Suspicion known = this.suspicions.get().get(fingerprint);
		if (known != null && known.contains(crash.id())) {
			return;
		}
		replace((next) -> {
			next.merge(fingerprint, new Suspicion(List.of(crash), Long.MIN_VALUE),
					(present, added) -> present.contains(crash.id()) ? present : present.with(crash));
			if (next.size() > MAX_SUSPICIONS) {
				next.entrySet()
					.stream()
					.min(Comparator.comparingLong((entry) -> entry.getValue().latestMs()))
					.ifPresent((oldest) -> next.remove(oldest.getKey()));
			}
		});
	}

	private void replace(Consumer<Map<String, Suspicion>> change) {
		this.suspicions.updateAndGet((previous) -> {
			Map<String, Suspicion> next = new HashMap<>(previous);
			change.accept(next);
			return Map.copyOf(next);
		});
	}

	/**
	 * A crash, in readings of this host's clock. The target is empty if another host has
	 * reported the crash, as it cannot be refuted any more.
	 */
	private record Crash(String targetId, long id, long sentMs, long crashedMs) {

		RequestCrash toReport(String fingerprint, long now) {
			return new RequestCrash(fingerprint, this.id, now - this.sentMs, now - this.crashedMs);
		}

		boolean isRefutedBy(String answeringTargetId, long answeredAttemptSentMs) {
			return this.targetId.equals(answeringTargetId) && answeredAttemptSentMs >= this.crashedMs
					&& answeredAttemptSentMs - this.crashedMs < REFUTATION_MS;
		}

	}

	/**
	 * The crashes of one request, in the order in which they happened.
	 */
	private record Suspicion(List<Crash> crashes, long probeUntilMs) {

		boolean contains(long id) {
			return this.crashes.stream().anyMatch((crash) -> crash.id() == id);
		}

		Suspicion with(Crash crash) {
			if (this.crashes.size() >= MAX_CRASHES_PER_REQUEST) {
				return this;
			}
			List<Crash> ordered = new ArrayList<>(this.crashes);
			ordered.add(crash);
			ordered.sort(Comparator.comparingLong(Crash::crashedMs));
			return new Suspicion(List.copyOf(ordered), this.probeUntilMs);
		}

		// Crashes of attempts that were on their way at the same time count once.
		int crashCount() {
			int count = 0;
			long countedMs = Long.MIN_VALUE;
			for (Crash crash : this.crashes) {
				if (crash.sentMs() >= countedMs) {
					count++;
					countedMs = crash.crashedMs();
				}
			}
			return count;
		}

		long latestMs() {
			return this.crashes.get(this.crashes.size() - 1).crashedMs();
		}

		boolean isExpired(long now) {
			return now - latestMs() >= ((crashCount() > 1) ? LIFETIME_MS : SINGLE_CRASH_LIFETIME_MS);
		}

		long quarantinedUntilMs() {
			int doublings = Math.min(Math.max(0, crashCount() - MAX_CRASHES), MAX_CRASHES_PER_REQUEST);
			long durationMs = Math.min(LIFETIME_MS, INITIAL_QUARANTINE_MS << doublings);
			return Math.max(this.probeUntilMs, latestMs() + durationMs);
		}

		Stream<Crash> reportable(long now) {
			boolean quarantined = crashCount() >= MAX_CRASHES;
			return this.crashes.stream().filter((crash) -> {
				long ageMs = now - crash.crashedMs();
				return ageMs >= REFUTATION_MS && (quarantined || ageMs < REFUTATION_MS + REPORT_MS);
			});
		}

		boolean isRefutedBy(String targetId, long sentMs) {
			return sentMs - latestMs() < REFUTATION_MS
					&& this.crashes.stream().anyMatch((crash) -> crash.isRefutedBy(targetId, sentMs));
		}

		// Crashes that other hosts have seen name no target.
		Suspicion withoutSeenSince(long sinceMs) {
			return new Suspicion(this.crashes.stream()
				.filter((crash) -> crash.targetId().isEmpty() || crash.crashedMs() < sinceMs)
				.toList(), this.probeUntilMs);
		}

		Suspicion withoutRefuted(String targetId, long sentMs) {
			return isRefutedBy(targetId, sentMs) ? new Suspicion(
					this.crashes.stream().filter((crash) -> !crash.isRefutedBy(targetId, sentMs)).toList(),
					this.probeUntilMs) : this;
		}

	}

}
