package org.plantainspur.core.target;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.time.Clock;

/**
 * The targets that may get requests, as last read from the platform, with their observed
 * state. Any thread may read it: each call reads an immutable snapshot. Only the thread
 * that reads the platform's list may replace the targets.
 */
public final class TargetRegistry {

	private final Clock clock;

	private final AtomicReference<Snapshot> current = new AtomicReference<>(new Snapshot(Map.of(), Map.of()));

	public TargetRegistry(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the targets of a service that are not leaving.
	 * @param service the service's name
	 * @return an unmodifiable list in the order of the targets' identities, empty for an
	 * unknown service
	 */
	public List<ObservedTarget> targets(String service) {
		return this.current.get().byService().getOrDefault(service, List.of());
	}

	/**
	 * Returns the target with an identity.
	 * @param id the target's identity
	 * @return the target, or {@code null} if it is not listed or is leaving
	 */
	public @Nullable ObservedTarget target(String id) {
		return this.current.get().byId().get(id);
	}

	/**
	 * Returns whether an incarnation of a target may get requests.
	 * @param incarnation the incarnation
	 * @return {@code false} if it is not listed or is leaving
	 */
	public boolean lists(TargetIncarnation incarnation) {
		ObservedTarget target = target(incarnation.id());
		return target != null && target.incarnation().equals(incarnation);
	}

	/**
	 * Returns the identities of all targets that may get requests.
	 * @return an unmodifiable collection
	 */
	public Collection<String> ids() {
		return this.current.get().byId().keySet();
	}

	/**
	 * Returns the services that have targets which may get requests.
	 * @return the names of the services, an unmodifiable collection
	 */
	public Collection<String> services() {
		return this.current.get().byService().keySet();
	}

	/**
	 * Replaces the targets. A target keeps its observed state while its process is the
	 * same, also if other fields of its listing change.
	 * @param listings all listed targets, leaving ones included
	 */
	public void replace(Collection<TargetListing> listings) {
		Map<String, ObservedTarget> previous = this.current.get().byId();
		Map<String, ObservedTarget> byId = new HashMap<>();
		Map<String, List<ObservedTarget>> byService = new HashMap<>();
		for (TargetListing listing : listings) {
			if (listing.leaving()) {
				continue;
			}
			ObservedTarget existing = previous.get(listing.id());
			ObservedTarget target;
			if (existing != null && existing.listing().process().equals(listing.process())) {
				target = existing;
				target.updateListing(listing, this.clock.millis());
			}
			else {
				target = new ObservedTarget(listing, this.clock.millis());
			}
			byId.put(listing.id(), target);
			byService.computeIfAbsent(listing.service(), (service) -> new ArrayList<>()).add(target);
		}
		// All hosts use the same order, so that their subsets do not overlap.
		byService.replaceAll((service, list) -> list.stream()
			.sorted(Comparator.comparing((ObservedTarget target) -> target.listing().id()))
			.toList());
		this.current.set(new Snapshot(Map.copyOf(byId), Map.copyOf(byService)));
	}

	private record Snapshot(Map<String, ObservedTarget> byId, Map<String, List<ObservedTarget>> byService) {
	}

}
