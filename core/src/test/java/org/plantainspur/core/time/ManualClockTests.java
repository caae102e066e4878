package org.plantainspur.core.time;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a test clock that loses or repeats time.
 */
class ManualClockTests {

	@Group
	class Advance {

		@Property(seed = "20261204", tries = 50)
		void addsUp(@ForAll @LongRange(min = 0, max = 1000) long first, @ForAll @LongRange(max = 1000) long second) {
			ManualClock clock = new ManualClock().advance(first).advance(second);
			assertThat(clock.millis()).isEqualTo(first + second);
		}

	}

}
