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
 * The targets that may get work, as last read from the platform. Requests read an
 * immutable snapshot; the single follower of the list replaces it.
 */
public final class TargetDirectory {

	private final Clock clock;

	private final AtomicReference<Snapshot> current = new AtomicReference<>(new Snapshot(Map.of(), Map.of()));

	public TargetDirectory(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the targets of a service that are not leaving.
	 * @param service the service's name
	 * @return an unmodifiable list, empty for an unknown service
	 */
	public List<Target> targets(String service) {
		return this.current.get().byService().getOrDefault(service, List.of());
	}

	/**
	 * Returns one target.
	 * @param id its identity
	 * @return the target, or {@code null} if it is not listed or is leaving
	 */
	public @Nullable Target target(String id) {
		return this.current.get().byId().get(id);
	}

	/**
	 * Returns the identities of all targets that may get work.
	 * @return an unmodifiable collection
	 */
	public Collection<String> ids() {
		return this.current.get().byId().keySet();
	}

	/**
	 * Replaces the targets. What is known of targets that stay is kept.
	 * @param entries all listed targets
	 */
	public void replace(Collection<TargetEntry> entries) {
		Map<String, Target> before = this.current.get().byId();
		Map<String, Target> byId = new HashMap<>();
		Map<String, List<Target>> byService = new HashMap<>();
		for (TargetEntry entry : entries) {
			if (entry.leaving()) {
				continue;
			}
			Target known = before.get(entry.id());
			Target target = (known != null && known.entry().equals(entry)) ? known
					: new Target(entry, this.clock.millis());
			byId.put(entry.id(), target);
			byService.computeIfAbsent(entry.service(), (service) -> new ArrayList<>()).add(target);
		}
		// In an order that all hosts share.
		byService.replaceAll((service,
				list) -> list.stream().sorted(Comparator.comparing((Target target) -> target.entry().id())).toList());
		this.current.set(new Snapshot(Map.copyOf(byId), Map.copyOf(byService)));
	}

	private record Snapshot(Map<String, Target> byId, Map<String, List<Target>> byService) {
	}

}
