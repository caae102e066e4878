package org.plantainspur.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.Route;

/**
 * The routes of one configuration, indexed by path prefix. A match costs one hash lookup
 * for each distinct prefix length, however many routes there are.
 */
public final class RouteTable {

	private final Map<String, List<Route>> byPrefix;

	/** The distinct lengths of the prefixes, longest first. */
	private final int[] prefixLengths;

	private RouteTable(Map<String, List<Route>> byPrefix) {
		this.byPrefix = byPrefix;
		this.prefixLengths = byPrefix.keySet()
			.stream()
			.map(String::length)
			.distinct()
			.sorted(Comparator.reverseOrder())
			.mapToInt(Integer::intValue)
			.toArray();
	}

	/**
	 * Indexes the routes of a configuration.
	 * @param configuration the configuration whose routes are matched
	 * @return an immutable table of its routes
	 */
	public static RouteTable of(Configuration configuration) {
		Map<String, List<Route>> byPrefix = new HashMap<>();
		configuration.routes()
			.stream()
			.sorted(Comparator.comparing(Route::id))
			.forEach((route) -> byPrefix.computeIfAbsent(route.pathPrefix(), (prefix) -> new ArrayList<>()).add(route));
		return new RouteTable(byPrefix);
	}

	/**
	 * Finds the route of a request. A prefix matches whole path segments only. If several
	 * routes with the same prefix accept the method, the first one by id is used.
	 * @param method the HTTP method
	 * @param path the path, starting with {@code /}
	 * @return the route with the longest matching prefix, or {@code null} if no route
	 * matches
	 */
	public @Nullable Route match(String method, String path) {
		for (int length : this.prefixLengths) {
			if (endsAtSegment(path, length)) {
				Route route = match(method, this.byPrefix.get(path.substring(0, length)));
				if (route != null) {
					return route;
				}
			}
		}
		return null;
	}

	// Whether the first characters of the path, up to this length, are whole segments.
	private static boolean endsAtSegment(String path, int length) {
		return length == path.length() || (length < path.length()
				&& (path.charAt(length) == '/' || (length > 0 && path.charAt(length - 1) == '/')));
	}

	private static @Nullable Route match(String method, @Nullable List<Route> routes) {
		if (routes != null) {
			for (Route route : routes) {
				if (route.method().equals("*") || route.method().equals(method)) {
					return route;
				}
			}
		}
		return null;
	}

}
