package org.plantainspur.core.routing;

import java.util.Map;
import java.util.concurrent.CyclicBarrier;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.plantainspur.core.testing.ConcurrentCalls;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against counters that do not match the billed traffic between regions: bytes
 * that concurrent updates lose, that count for another class, or that stayed in the
 * region.
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
		void ofTheHostIsNotCounted() {
			CrossRegionTrafficTests.this.traffic.recordDispatch(target("booking", "pdx"), true, 100);
			assertThat(CrossRegionTrafficTests.this.traffic.isCrossRegion(target("booking", "pdx"))).isFalse();
			assertThat(CrossRegionTrafficTests.this.traffic.bytes()).isEmpty();
		}

		@Test
		void otherThanThatOfTheHostIsCounted() {
			CrossRegionTrafficTests.this.traffic.recordDispatch(target("booking", "sea"), true, 100);
			CrossRegionTrafficTests.this.traffic.recordDispatch(target("booking", "sea"), true, 30);
			assertThat(CrossRegionTrafficTests.this.traffic.isCrossRegion(target("booking", "sea"))).isTrue();
			assertThat(CrossRegionTrafficTests.this.traffic.bytes("booking idempotent")).isEqualTo(130);
		}

	}

	@Nested
	class RouteClass {

		@Test
		void isMadeOfServiceAndIdempotence() {
			CrossRegionTrafficTests.this.traffic.recordDispatch(target("booking", "sea"), true, 1);
			CrossRegionTrafficTests.this.traffic.recordDispatch(target("booking", "sea"), false, 2);
			CrossRegionTrafficTests.this.traffic.recordDispatch(target("offers", "sea"), false, 4);
			assertThat(CrossRegionTrafficTests.this.traffic.bytes()).containsExactly(
					Map.entry("booking idempotent", 1L), Map.entry("booking non-idempotent", 2L),
					Map.entry("offers non-idempotent", 4L));
		}

		@Test
		void withoutTrafficHasNoBytes() {
			assertThat(CrossRegionTrafficTests.this.traffic.bytes("booking idempotent")).isZero();
		}

		@Test
		void beyondTheLimitIsCountedAsOtherSoThatTheMemoryIsBounded() {
			for (int i = 0; i < CrossRegionTraffic.MAX_CLASSES + 500; i++) {
				CrossRegionTrafficTests.this.traffic.recordDispatch(target("service-" + i, "sea"), true, 3);
			}
			assertThat(CrossRegionTrafficTests.this.traffic.bytes()).hasSize(CrossRegionTraffic.MAX_CLASSES + 1)
				.containsEntry(CrossRegionTraffic.OTHER, 1500L);
		}

	}

	@Nested
	class Threads {

		private static final int THREADS = 8;

		private static final int DISPATCHES = 50_000;

		private static final int CLASSES = 500;

		private final CyclicBarrier allReady = new CyclicBarrier(THREADS);

		@Test
		void loseNoBytesEvenIfTheyAddAClassAtTheSameTime() throws Exception {
			assertThat(ConcurrentCalls.onEachThread(THREADS, this::dispatchAll)).hasSize(THREADS)
				.containsOnly(DISPATCHES);
			assertThat(CrossRegionTrafficTests.this.traffic.bytes()).hasSize(CLASSES)
				.allSatisfy((routeClass, bytes) -> assertThat(bytes).isEqualTo(7L * THREADS * DISPATCHES / CLASSES));
		}

		private int dispatchAll() throws Exception {
			for (int i = 0; i < DISPATCHES; i++) {
				if (i < CLASSES) {
					this.allReady.await();
				}
				CrossRegionTrafficTests.this.traffic.recordDispatch(target("service-" + i % CLASSES, "sea"), true, 7);
			}
			return DISPATCHES;
		}

	}

}
