package org.plantainspur.core.health;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.Clock;

/**
 * Quarantines a request once the connections of two targets have been reset while they
 * ran it, so that one request crashes at most two targets, plus one for each copy already
 * in flight.
 */
public final class CrashQuarantine implements RequestQuarantine, OutcomeRecorder {

	/**
	 * How long a request's crashes are remembered, and a quarantine lasts, after the
	 * latest crash.
	 */
	static final long LIFETIME_MILLIS = 600_000;

	/** The number of different targets after whose crashes a request is quarantined. */
	static final int MAX_CRASHED_TARGETS = 2;

	/**
	 * The largest number of requests whose crashes are remembered, which bounds the
	 * memory used. Beyond it the entry that expires first is evicted.
	 */
	private static final int MAX_SUSPICIONS = 10_000;

	private final Clock clock;

	private final Consumer<PeerMessage.Suspect> broadcast;

	private final ConcurrentMap<String, Suspicion> suspicions = new ConcurrentHashMap<>();

	/**
	 * Creates an empty quarantine.
	 * @param clock the process clock
	 * @param broadcast sends a crash seen by this host to the other members; must not
	 * block
	 */
	public CrashQuarantine(Clock clock, Consumer<PeerMessage.Suspect> broadcast) {
		this.clock = clock;
		this.broadcast = broadcast;
	}

	@Override
	public boolean quarantined(String fingerprint) {
		if (this.suspicions.isEmpty()) {
			return false;
		}
		Suspicion suspicion = this.suspicions.get(fingerprint);
		return suspicion != null && suspicion.quarantined() && this.clock.millis() < suspicion.until();
	}

	@Override
	public void record(Outcome outcome) {
		if (outcome.kind() == Kind.RESET) {
			PeerMessage.Suspect crash = new PeerMessage.Suspect(outcome.fingerprint(), outcome.target().id());
			recordCrash(crash);
			this.broadcast.accept(crash);
		}
		else if (outcome.kind() == Kind.SUCCESS && !this.suspicions.isEmpty()) {
			// A request that a target has completed does not crash targets, so its
			// earlier resets had another cause.
			this.suspicions.computeIfPresent(outcome.fingerprint(),
					(id, suspicion) -> suspicion.quarantined() ? suspicion : null);
		}
	}

	@Override
	public void targetLeaving(Target target) {
	}

	/**
	 * Records a crash that this or another host has seen.
	 * @param crash the request's fingerprint and the id of the target that crashed
	 */
	public void recordCrash(PeerMessage.Suspect crash) {
		long now = this.clock.millis();
		if (this.suspicions.size() >= MAX_SUSPICIONS) {
			evictOldest(now);
		}
		this.suspicions.compute(crash.fingerprint(), (id, previous) -> {
			boolean unexpired = previous != null && now < previous.until();
			return Suspicion.of(unexpired ? previous : null, crash.targetId(), now + LIFETIME_MILLIS);
		});
	}

	/**
	 * Returns the latest crashes.
	 * @param limit the largest number of entries
	 * @return one entry for each request and target, ordered by the request's latest
	 * crash, latest first
	 */
	public List<PeerMessage.Suspect> recentCrashes(int limit) {
		return this.suspicions.entrySet()
			.stream()
			.sorted((a, b) -> Long.compare(b.getValue().until(), a.getValue().until()))
			.flatMap((entry) -> entry.getValue()
				.targets()
				.stream()
				.map((target) -> new PeerMessage.Suspect(entry.getKey(), target)))
			.limit(limit)
			.toList();
	}

	private void evictOldest(long now) {
		this.suspicions.values().removeIf((suspicion) -> suspicion.until() <= now);
		if (this.suspicions.size() >= MAX_SUSPICIONS) {
			this.suspicions.entrySet()
				.stream()
				.min((a, b) -> Long.compare(a.getValue().until(), b.getValue().until()))
				.ifPresent((entry) -> this.suspicions.remove(entry.getKey(), entry.getValue()));
		}
	}

	/**
	 * The targets whose connections were reset while they ran a request.
	 *
	 * @param targets the ids of at most {@link #MAX_CRASHED_TARGETS} targets
	 * @param until when the entry expires, in milliseconds of the process clock
	 */
	private record Suspicion(Set<String> targets, long until) {

		static Suspicion of(@Nullable Suspicion previous, String targetId, long until) {
			Set<String> targets = (previous != null) ? previous.targets() : Set.of();
			if (targets.size() >= MAX_CRASHED_TARGETS || targets.contains(targetId)) {
				return new Suspicion(targets, until);
			}
			return new Suspicion(
					Stream.concat(targets.stream(), Stream.of(targetId)).collect(Collectors.toUnmodifiableSet()),
					until);
		}

		boolean quarantined() {
			return this.targets.size() >= MAX_CRASHED_TARGETS;
		}

	}

}
