package org.plantainspur.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An immutable list of targets, as last read from the platform or, as long as this
 * process has not read it, received from another member.
 */
public final class TargetDirectory {

	private static final TargetDirectory EMPTY = new TargetDirectory(Map.of());

	private final Map<String, List<Target>> byService;

	private TargetDirectory(Map<String, List<Target>> byService) {
		this.byService = byService;
	}

	/**
	 * Returns a directory without targets.
	 * @return the empty directory
	 */
	public static TargetDirectory empty() {
		return EMPTY;
	}

	/**
	 * Returns a directory that groups targets by service.
	 * @param targets the targets of all services
	 * @return an immutable directory of these targets
	 */
	public static TargetDirectory of(Collection<Target> targets) {
		Map<String, List<Target>> lists = new HashMap<>();
		targets.forEach((target) -> lists.computeIfAbsent(target.service(), (name) -> new ArrayList<>()).add(target));
		lists.replaceAll((name, list) -> List.copyOf(list));
		return new TargetDirectory(Map.copyOf(lists));
	}

	/**
	 * Returns the targets of a service, including those that are leaving.
	 * @param service the service's name
	 * @return an unmodifiable list, empty if the service has no targets
	 */
	public List<Target> targets(String service) {
		return this.byService.getOrDefault(service, List.of());
	}

	/**
	 * Returns the names of the services that have targets.
	 * @return an unmodifiable collection
	 */
	public Collection<String> services() {
		return this.byService.keySet();
	}

}
