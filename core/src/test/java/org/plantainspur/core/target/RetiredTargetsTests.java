package org.plantainspur.core.target;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.store.StoreVersion;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

class RetiredTargetsTests {

	private final ManualClock clock = new ManualClock();

	private final RetiredTargets retired = new RetiredTargets(this.clock);

	private static TargetListing listing(boolean leaving, long startedMs) {
		return new TargetListing("i-1", "booking", "127.0.0.1", 80, "pdx-a", 4, leaving, 0, startedMs);
	}

	private boolean contains(TargetListing listing, long era, long number) {
		return this.retired.contains(listing, new StoreVersion(era, number));
	}

	/**
	 * Guards against a target that has left and is in use again, since the store was
	 * restored from a copy with its entry.
	 */
	@Nested
	class RestoredEntry {

		@Test
		void ofATargetThatWasLeavingIsNeverUsed() {
			RetiredTargetsTests.this.retired.retire(listing(true, 7), new StoreVersion(1, 60));
			assertThat(contains(listing(false, 7), 2, 40)).isTrue();
			RetiredTargetsTests.this.clock.advance(RetiredTargets.RESTORED_ENTRY_HOLD_MS);
			assertThat(contains(listing(false, 7), 2, 61)).isTrue();
		}

		@Test
		void ofATargetThatIsGoneIsNotUsedUntilItIsWrittenAgain() {
			RetiredTargetsTests.this.retired.retire(listing(false, 7), new StoreVersion(1, 40));
			assertThat(contains(listing(false, 7), 2, 40)).isTrue();
			assertThat(contains(listing(false, 7), 2, 61)).isFalse();
		}

		@Test
		void ofATargetThatIsGoneIsUsedIfThePlatformKeepsIt() {
			RetiredTargetsTests.this.retired.retire(listing(false, 7), new StoreVersion(1, 40));
			assertThat(contains(listing(false, 7), 2, 40)).isTrue();
			RetiredTargetsTests.this.clock.advance(RetiredTargets.RESTORED_ENTRY_HOLD_MS);
			assertThat(contains(listing(false, 7), 2, 40)).isFalse();
		}

	}

	/** Guards against targets that are kept out of use without a restored copy. */
	@Nested
	class OtherEntry {

		@Test
		void ofTheSameEraIsUsed() {
			RetiredTargetsTests.this.retired.retire(listing(false, 7), new StoreVersion(1, 40));
			assertThat(contains(listing(false, 7), 1, 40)).isFalse();
		}

		@Test
		void ofALaterIncarnationIsUsed() {
			RetiredTargetsTests.this.retired.retire(listing(true, 7), new StoreVersion(1, 40));
			assertThat(contains(listing(false, 8), 2, 40)).isFalse();
		}

	}

}
