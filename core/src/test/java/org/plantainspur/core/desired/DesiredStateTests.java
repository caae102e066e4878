package org.plantainspur.core.desired;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class DesiredStateTests {

	private static RouteRule route(String name, String prefix, WeightedService... weightedServices) {
		return new RouteRule(name, "Jobs.example", prefix, true, 1_000, 500, 0, List.of(weightedServices), 2, false);
	}

	/** Guards against requests that are run by the service of another route. */
	@Nested
	class Routes {

		private final DesiredState state = DesiredState.builder(1)
			.route(route("short", "/a/", new WeightedService("one", 1)))
			.route(route("long", "/a/b/", new WeightedService("two", 1)))
			.build();

		@Test
		void theLongestMatchingPrefixWins() {
			assertThat(this.state.route("jobs.example", "/a/b/c")).extracting(RouteRule::name).isEqualTo("long");
			assertThat(this.state.route("jobs.example", "/a/c")).extracting(RouteRule::name).isEqualTo("short");
		}

		@Test
		void aHostIsMatchedWithoutItsPortAndInAnyCase() {
			assertThat(this.state.route("JOBS.example:8080", "/a/")).isNotNull();
		}

		@Test
		void aPathOrHostThatDiffersFromTheRouteIsNoMatch() {
			assertThat(this.state.route("jobs.example", "/a")).isNull();
			assertThat(this.state.route("other.example", "/a/")).isNull();
		}

		@Test
		void aRouteWithoutServicesIsRejected() {
			assertThatIllegalArgumentException().isThrownBy(() -> route("empty", "/e/")).withMessageContaining("empty");
		}

	}

	@Nested
	class WeightedServices {

		@Test
		void eachServiceIsSelectedInProportionToItsWeight() {
			RouteRule split = route("split", "/", new WeightedService("one", 90), new WeightedService("two", 10));
			assertThat(split.selectService(0)).isEqualTo("one");
			assertThat(split.selectService(0.899)).isEqualTo("one");
			assertThat(split.selectService(0.901)).isEqualTo("two");
			assertThat(split.selectService(0.999999)).isEqualTo("two");
		}

	}

	@Nested
	class View {

		@Test
		void anOlderVersionNeverReplacesANewerOne() {
			DesiredStateView view = new DesiredStateView();
			assertThat(view.offer(DesiredState.builder(7).build())).isTrue();
			assertThat(view.offer(DesiredState.builder(5).build())).isFalse();
			assertThat(view.offer(DesiredState.builder(7).build())).isFalse();
			assertThat(view.current().version()).isEqualTo(7);
		}

	}

}
