package org.plantainspur.core.routing;

import java.util.Comparator;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.Route;

/**
 * The routes of one configuration, ordered for matching.
 */
public final class RouteTable {

	private final List<Route> routes;

	private RouteTable(List<Route> routes) {
		this.routes = routes;
	}

	/**
	 * Returns the routes of a configuration.
	 * @param configuration the configuration
	 * @return the route table
	 */
	public static RouteTable of(Configuration configuration) {
		return new RouteTable(configuration.routes()
			.stream()
			.sorted(Comparator.comparingInt((Route route) -> -route.pathPrefix().length()).thenComparing(Route::id))
			.toList());
	}

	/**
	 * Matches a request.
	 * @param method the HTTP method
	 * @param path the path, starting with {@code /}
	 * @return the route with the longest matching prefix, or {@code null} if there is
	 * none
	 */
	public @Nullable Route match(String method, String path) {
		for (Route route : this.routes) {
			if (matchesMethod(route, method) && matchesPath(route, path)) {
				return route;
			}
		}
		return null;
	}

	private static boolean matchesMethod(Route route, String method) {
		return route.method().equals("*") || route.method().equals(method);
	}

	private static boolean matchesPath(Route route, String path) {
		String prefix = route.pathPrefix();
		return path.startsWith(prefix)
				&& (path.length() == prefix.length() || prefix.endsWith("/") || path.charAt(prefix.length()) == '/');
	}

}
