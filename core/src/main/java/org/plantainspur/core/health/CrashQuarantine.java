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
 * Quarantines a request once it has ended the connection of two targets while running, so
 * that one request crashes at most two targets, plus one for each copy already in flight.
 */
public final class CrashQuarantine implements Quarantine, OutcomeRecorder {

	/** How long a suspicion and a quarantine last. */
	static final long LIFETIME_MILLIS = 600_000;

	/** Targets that a request may crash before it is quarantined. */
	static final int CRASHES_ALLOWED = 2;

	private static final int MAX_SUSPECTS = 10_000;

	private final Clock clock;

	private final Consumer<PeerMessage.Suspect> announce;

	private final ConcurrentMap<String, Suspicion> suspicions = new ConcurrentHashMap<>();

	/**
	 * Creates an empty quarantine.
	 * @param clock the process clock
	 * @param announce sends a crash seen by this host to the account's home hosts and the
	 * service's coordinator; must not block
	 */
	public CrashQuarantine(Clock clock, Consumer<PeerMessage.Suspect> announce) {
		this.clock = clock;
		this.announce = announce;
	}

	@Override
	public boolean holds(String fingerprint) {
		if (this.suspicions.isEmpty()) {
			return false;
		}
		Suspicion suspicion = this.suspicions.get(fingerprint);
		return suspicion != null && suspicion.quarantined() && this.clock.millis() < suspicion.until();
	}

	@Override
	public void record(Outcome outcome) {
		if (outcome.kind() == Kind.RESET) {
			PeerMessage.Suspect suspect = new PeerMessage.Suspect(outcome.fingerprint(), outcome.target().id());
			suspect(suspect);
			this.announce.accept(suspect);
		}
		else if (outcome.kind() == Kind.SUCCESS && !this.suspicions.isEmpty()) {
			// A request that a target has completed is not what crashes targets.
			this.suspicions.computeIfPresent(outcome.fingerprint(),
					(id, suspicion) -> suspicion.quarantined() ? suspicion : null);
		}
	}

	@Override
	public void leaving(Target target) {
	}

	/**
	 * Takes a crash that this or another host saw.
	 * @param suspect the request and the target
	 */
	public void suspect(PeerMessage.Suspect suspect) {
		long now = this.clock.millis();
		if (this.suspicions.size() >= MAX_SUSPECTS) {
			makeRoom(now);
		}
		this.suspicions.compute(suspect.fingerprint(), (id, old) -> {
			boolean live = old != null && now < old.until();
			return Suspicion.of(live ? old : null, suspect.targetId(), now + LIFETIME_MILLIS);
		});
	}

	/**
	 * Returns the crashes that other hosts should know of.
	 * @param limit the largest number of entries
	 * @return the latest crashes, to be passed on with verdicts
	 */
	public List<PeerMessage.Suspect> known(int limit) {
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

	private void makeRoom(long now) {
		this.suspicions.values().removeIf((suspicion) -> suspicion.until() <= now);
		if (this.suspicions.size() >= MAX_SUSPECTS) {
			this.suspicions.entrySet()
				.stream()
				.min((a, b) -> Long.compare(a.getValue().until(), b.getValue().until()))
				.ifPresent((entry) -> this.suspicions.remove(entry.getKey(), entry.getValue()));
		}
	}

	/**
	 * The targets that a request has crashed.
	 *
	 * @param targets at most {@link #CRASHES_ALLOWED} targets
	 * @param until when it ends, on the process clock
	 */
	private record Suspicion(Set<String> targets, long until) {

		static Suspicion of(@Nullable Suspicion old, String targetId, long until) {
			Set<String> targets = (old != null) ? old.targets() : Set.of();
			if (targets.size() >= CRASHES_ALLOWED || targets.contains(targetId)) {
				return new Suspicion(targets, until);
			}
			return new Suspicion(
					Stream.concat(targets.stream(), Stream.of(targetId)).collect(Collectors.toUnmodifiableSet()),
					until);
		}

		boolean quarantined() {
			return this.targets.size() >= CRASHES_ALLOWED;
		}

	}

}
