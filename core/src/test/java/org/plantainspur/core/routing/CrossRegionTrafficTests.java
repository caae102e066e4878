package org.plantainspur.core.routing;

import java.util.Map;
import java.util.concurrent.CyclicBarrier;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.plantainspur.core.testing.ConcurrentCalls;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a bill for traffic that the counters do not explain: bytes lost between
 * threads, put down to another class, or counted although they stayed in the region.
 */
@Timeout(60)
class CrossRegionTrafficTests {

	private final CrossRegionTraffic traffic = new CrossRegionTraffic("pdx");

	private static Target target(String service, String region) {
		return new Target(service + "-1", service, "127.0.0.1:9", region, region + "-a", 4, 400, false);
	}

	@Nested
	class Region {

		@Test
		void ofTheHostCountsNothing() {
			CrossRegionTrafficTests.this.traffic.dispatched(target("booking", "pdx"), true, 100);
			assertThat(CrossRegionTrafficTests.this.traffic.crosses(target("booking", "pdx"))).isFalse();
			assertThat(CrossRegionTrafficTests.this.traffic.bytes()).isEmpty();
		}

		@Test
		void otherThanTheHostsCounts() {
			CrossRegionTrafficTests.this.traffic.dispatched(target("booking", "sea"), true, 100);
			CrossRegionTrafficTests.this.traffic.dispatched(target("booking", "sea"), true, 30);
			assertThat(CrossRegionTrafficTests.this.traffic.crosses(target("booking", "sea"))).isTrue();
			assertThat(CrossRegionTrafficTests.this.traffic.bytes("booking idempotent")).isEqualTo(130);
		}

	}

	@Nested
	class RouteClass {

		@Test
		void isOneOfEachServiceAndIdempotence() {
			CrossRegionTrafficTests.this.traffic.dispatched(target("booking", "sea"), true, 1);
			CrossRegionTrafficTests.this.traffic.dispatched(target("booking", "sea"), false, 2);
			CrossRegionTrafficTests.this.traffic.dispatched(target("offers", "sea"), false, 4);
			assertThat(CrossRegionTrafficTests.this.traffic.bytes()).containsExactly(
					Map.entry("booking idempotent", 1L), Map.entry("booking non-idempotent", 2L),
					Map.entry("offers non-idempotent", 4L));
		}

		@Test
		void withoutTrafficHasNoBytes() {
			assertThat(CrossRegionTrafficTests.this.traffic.bytes("booking idempotent")).isZero();
		}

		@Test
		void beyondTheLimitSharesOtherSoThatTheMemoryIsBounded() {
			for (int i = 0; i < CrossRegionTraffic.MAXIMUM_CLASSES + 500; i++) {
				CrossRegionTrafficTests.this.traffic.dispatched(target("service-" + i, "sea"), true, 3);
			}
			assertThat(CrossRegionTrafficTests.this.traffic.bytes()).hasSize(CrossRegionTraffic.MAXIMUM_CLASSES + 1)
				.containsEntry(CrossRegionTraffic.OTHER, 1500L);
		}

	}

	@Nested
	class Threads {

		private static final int THREADS = 8;

		private static final int DISPATCHES = 50_000;

		private static final int CLASSES = 500;

		private final CyclicBarrier together = new CyclicBarrier(THREADS);

		@Test
		void loseNoBytesEvenOfTheFirstDispatchOfAClass() throws Exception {
			assertThat(ConcurrentCalls.onEachThread(THREADS, this::dispatchAll)).hasSize(THREADS)
				.containsOnly(DISPATCHES);
			assertThat(CrossRegionTrafficTests.this.traffic.bytes()).hasSize(CLASSES)
				.allSatisfy((routeClass, bytes) -> assertThat(bytes).isEqualTo(7L * THREADS * DISPATCHES / CLASSES));
		}

		private int dispatchAll() throws Exception {
			for (int i = 0; i < DISPATCHES; i++) {
				if (i < CLASSES) {
					this.together.await();
				}
				CrossRegionTrafficTests.this.traffic.dispatched(target("service-" + i % CLASSES, "sea"), true, 7);
			}
			return DISPATCHES;
		}

	}

}
