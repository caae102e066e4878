package org.plantainspur.adapters.metrics;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.request.DispatchOutcome;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.KeyHash;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.request.RequestPipeline;
import org.plantainspur.core.request.TargetDispatcher;
import org.plantainspur.core.routing.CrossRegionTraffic;
import org.plantainspur.core.routing.Target;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an unbounded number of time series, and against requests or bytes that
 * are not counted.
 */
class HostMetricsTests {

	private final HostMetrics metrics = new HostMetrics();

	private static CallerRequest request(String key, String path) {
		return new CallerRequest("GET", path, "", Headers.empty(), new byte[0], KeyHash.of(key), 0);
	}

	private long seriesCount(String name, String tag) {
		return this.metrics.scrape().lines().filter((line) -> line.startsWith(name + "_count{" + tag)).count();
	}

	@Nested
	class Series {

		@Test
		void areLimitedTo200AccountsAndRoutesAndTheRestShareOther() {
			ConfigurationView view = view(300);
			RequestPipeline pipeline = HostMetricsTests.this.metrics
				.measure((request) -> Problem.notRun(Problem.Code.RATE_LIMITED, "over its rate").toRefusal(), view);
			for (int i = 0; i < 300; i++) {
				pipeline.serve(request("key-" + i, "/route-" + i));
			}
			assertThat(seriesCount("plantainspur_requests_by_account_seconds", "account")).isEqualTo(201);
			assertThat(seriesCount("plantainspur_requests_by_route_seconds", "route")).isEqualTo(201);
			assertThat(HostMetricsTests.this.metrics.scrape())
				.contains("plantainspur_requests_by_account_seconds_count{account=\"other\"} 100")
				.contains("plantainspur_refusals_total{code=\"rate-limited\",run=\"not-run\"} 300.0")
				.doesNotContain("key-");
		}

		private static ConfigurationView view(int count) {
			Configuration configuration = Configuration.empty();
			for (int i = 0; i < count; i++) {
				for (Change change : new Change[] { new Change.PutAccount(new ClientAccount("account-" + i, 1, 1)),
						new Change.IssueKey(KeyHash.of("key-" + i), "account-" + i), new Change.PutRoute(
								new Route("route-" + i, "GET", "/route-" + i, "booking", true, false, 1000)) }) {
					configuration = configuration
						.apply(new ChangeEntry(configuration.sequence() + 1, "c" + configuration.sequence(), change));
				}
			}
			ConfigurationView view = new ConfigurationView();
			view.advance(configuration);
			return view;
		}

		@Test
		void ofDispatchesAreBoundedByService() {
			TargetDispatcher dispatcher = HostMetricsTests.this.metrics
				.measure((target, request, idempotent, timeout) -> new DispatchOutcome.NotSent("refused"));
			for (int i = 0; i < 1200; i++) {
				dispatcher.dispatch(new Target("t", "service-" + i, "127.0.0.1:1", "pdx", "pdx-a", 1, 1, false),
						request("k", "/"), true, 10);
			}
			assertThat(HostMetricsTests.this.metrics.scrape().lines())
				.filteredOn((line) -> line.startsWith("plantainspur_dispatches_total{"))
				.hasSize(1001)
				.anyMatch((line) -> line.contains("service=\"other\"") && line.endsWith(" 200.0"));
		}

	}

	@Nested
	class CrossRegionBytes {

		@Test
		void increaseBetweenScrapesAndNewRouteClassesAppear() {
			CrossRegionTraffic traffic = new CrossRegionTraffic("pdx");
			HostMetricsTests.this.metrics.registerCrossRegionBytes(traffic);
			assertThat(HostMetricsTests.this.metrics.scrape()).doesNotContain("cross_region");
			traffic.recordDispatch(otherRegionTarget("booking"), true, 100);
			assertThat(HostMetricsTests.this.metrics.scrape())
				.contains("plantainspur_cross_region_bytes_total{class=\"booking idempotent\"} 100.0");
			traffic.recordDispatch(otherRegionTarget("booking"), true, 20);
			traffic.recordDispatch(otherRegionTarget("offers"), false, 7);
			assertThat(HostMetricsTests.this.metrics.scrape())
				.contains("plantainspur_cross_region_bytes_total{class=\"booking idempotent\"} 120.0")
				.contains("plantainspur_cross_region_bytes_total{class=\"offers non-idempotent\"} 7.0");
		}

		private static Target otherRegionTarget(String service) {
			return new Target("t", service, "127.0.0.1:1", "sea", "sea-a", 1, 1, false);
		}

	}

	@Nested
	class HostState {

		@Test
		void isPublishedAsGauges() {
			HostMetricsTests.this.metrics.registerStateGauges(() -> true, () -> 42, () -> 3);
			assertThat(HostMetricsTests.this.metrics.scrape()).contains("plantainspur_configuration_current 1.0")
				.contains("plantainspur_configuration_sequence 42.0")
				.contains("plantainspur_requests_in_flight 3.0");
		}

	}

}
