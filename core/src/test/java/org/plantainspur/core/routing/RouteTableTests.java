package org.plantainspur.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.Route;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that reaches another service than that of the route with the
 * longest matching prefix.
 */
class RouteTableTests {

	private static final String[] PARTS = { "", "a", "b", "ab", "a/", "/", "b/a" };

	private static RouteTable table(List<Route> routes) {
		Configuration configuration = Configuration.empty();
		for (Route route : routes) {
			long next = configuration.sequence() + 1;
			configuration = configuration.apply(new ChangeEntry(next, "c" + next, new Change.PutRoute(route)));
		}
		return RouteTable.of(configuration);
	}

	private static Route route(String id, String method, String prefix) {
		return new Route(id, method, prefix, "booking", true, false, 1000);
	}

	private static String path(Random random) {
		StringBuilder path = new StringBuilder("/");
		for (int i = random.nextInt(4); i > 0; i--) {
			path.append(PARTS[random.nextInt(PARTS.length)]);
			path.append(random.nextBoolean() ? "/" : "");
		}
		return path.toString();
	}

	@Group
	class Match {

		@Property(seed = "20261204", tries = 500)
		void agreesWithASearchOfAllRoutes(@ForAll long seed) {
			Random random = new Random(seed);
			List<Route> routes = new ArrayList<>();
			for (int i = random.nextInt(12); i >= 0; i--) {
				routes.add(route("r" + i, random.nextBoolean() ? "*" : "GET", path(random)));
			}
			RouteTable table = table(routes);
			for (int i = 0; i < 20; i++) {
				String path = path(random);
				String method = random.nextBoolean() ? "GET" : "POST";
				assertThat(table.match(method, path)).as("%s %s", method, path).isEqualTo(search(routes, method, path));
			}
		}

		private @Nullable Route search(List<Route> routes, String method, String path) {
			return routes.stream()
				.filter((route) -> route.method().equals("*") || route.method().equals(method))
				.filter((route) -> path.startsWith(route.pathPrefix()))
				.filter((route) -> path.length() == route.pathPrefix().length() || route.pathPrefix().endsWith("/")
						|| path.charAt(route.pathPrefix().length()) == '/')
				.min(Comparator.comparingInt((Route route) -> -route.pathPrefix().length()).thenComparing(Route::id))
				.orElse(null);
		}

		@Example
		void findsEachOfManyRoutes() {
			List<Route> routes = new ArrayList<>();
			for (int i = 0; i < 1000; i++) {
				routes.add(route("r" + i, "*", "/service-" + i + "/v1"));
			}
			RouteTable table = table(routes);
			for (Route route : routes) {
				assertThat(table.match("GET", route.pathPrefix() + "/x")).isEqualTo(route);
			}
			assertThat(table.match("GET", "/service-1/v11")).isNull();
		}

	}

}
