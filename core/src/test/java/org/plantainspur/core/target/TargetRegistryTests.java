package org.plantainspur.core.target;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

class TargetRegistryTests {

	private final ManualClock clock = new ManualClock();

	private final TargetRegistry registry = new TargetRegistry(this.clock);

	private static TargetListing listing(int port, int slots, long warmUpMs, long startedMs) {
		return new TargetListing("i-1", "booking", "127.0.0.1", port, "pdx-a", slots, false, warmUpMs, startedMs);
	}

	private ObservedTarget put(TargetListing listing) {
		this.registry.replace(List.of(listing));
		ObservedTarget target = this.registry.target("i-1");
		assertThat(target).isNotNull();
		return target;
	}

	/**
	 * Guards against state that is lost with each change of the listing: a target that
	 * has just started is listed again every second with less time to warm up, and its
	 * requests in flight and failures would be forgotten each time.
	 */
	@Nested
	class SameProcess {

		@Test
		void aTargetKeepsItsObservedStateWhenItsListingChanges() {
			ObservedTarget target = put(listing(80, 4, 3_000, 7));
			target.recordSent(TargetRegistryTests.this.clock.millis());
			target.recordFailure(TargetRegistryTests.this.clock.millis());
			double unhealthy = target.healthEstimate().unhealthyAt(TargetRegistryTests.this.clock.millis());
			ObservedTarget listedAgain = put(listing(80, 4, 2_000, 7));
			assertThat(listedAgain.inFlight()).isEqualTo(1);
			assertThat(listedAgain.healthEstimate().unhealthyAt(TargetRegistryTests.this.clock.millis()))
				.isEqualTo(unhealthy);
		}

		@Test
		void theNewestListingDecidesSlotsAndWarmUp() {
			put(listing(80, 4, 10_000, 7)).recordSent(TargetRegistryTests.this.clock.millis());
			ObservedTarget target = put(listing(80, 8, 1_000, 7));
			assertThat(target.utilization(TargetRegistryTests.this.clock.millis())).isEqualTo(0.25);
			assertThat(target.utilization(TargetRegistryTests.this.clock.millis() + 1_000)).isEqualTo(0.125);
		}

		@Test
		void anUnchangedListingDoesNotExtendTheWarmUp() {
			put(listing(80, 4, 1_000, 7)).recordSent(TargetRegistryTests.this.clock.millis());
			TargetRegistryTests.this.clock.advance(900);
			ObservedTarget target = put(listing(80, 4, 1_000, 7));
			assertThat(target.utilization(TargetRegistryTests.this.clock.millis() + 100)).isEqualTo(0.25);
		}

	}

	/**
	 * Guards against the state of an earlier process that is applied to the one that has
	 * started under the same identity.
	 */
	@Nested
	class NewProcess {

		@Test
		void aRestartUnderTheSameIdentityBeginsWithoutObservedState() {
			ObservedTarget before = put(listing(80, 4, 0, 7));
			before.recordSent(TargetRegistryTests.this.clock.millis());
			before.recordMisdirected(TargetRegistryTests.this.clock.millis());
			ObservedTarget restarted = put(listing(80, 4, 0, 8));
			assertThat(restarted.inFlight()).isZero();
			assertThat(restarted.isMisdirected(TargetRegistryTests.this.clock.millis())).isFalse();
			before.recordEnd();
			assertThat(restarted.inFlight()).as("an attempt at the earlier process ends").isZero();
		}

		@Test
		void aChangedAddressBeginsWithoutObservedState() {
			put(listing(80, 4, 0, 0)).recordSent(TargetRegistryTests.this.clock.millis());
			assertThat(put(listing(81, 4, 0, 0)).inFlight()).isZero();
		}

	}

}
