package org.plantainspur.core.fleet;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HeartbeatScheduleTests {

	private final HeartbeatSchedule schedule = new HeartbeatSchedule();

	@Nested
	class Regular {

		@Test
		void aHostWithoutNewsSendsTwoHeartbeatsASecond() {
			int heartbeats = 0;
			for (long nowMs = 0; nowMs < 10_000; nowMs += 100) {
				heartbeats += HeartbeatScheduleTests.this.schedule.due(5, nowMs + 1_000_000, nowMs) ? 1 : 0;
			}
			assertThat(heartbeats).isEqualTo(20);
		}

	}

	/**
	 * Guards against news that other hosts get only with the next regular heartbeat.
	 */
	@Nested
	class Immediate {

		@Test
		void newTableVersionsAreSentAtOnce() {
			assertThat(HeartbeatScheduleTests.this.schedule.due(5, 0, 0)).isTrue();
			assertThat(HeartbeatScheduleTests.this.schedule.due(5, 100, 100)).isFalse();
			assertThat(HeartbeatScheduleTests.this.schedule.due(6, 100, 200)).isTrue();
		}

		/**
		 * Guards against a standby that takes over and reports it only half a second
		 * later: in the meantime all other hosts of its failure domain would begin to
		 * read too.
		 */
		@Test
		void aNewResponseOfTheStoreIsReportedAtOnce() {
			assertThat(HeartbeatScheduleTests.this.schedule.due(5, 2_000, 0)).isTrue();
			assertThat(HeartbeatScheduleTests.this.schedule.due(5, 2_100, 100)).isFalse();
			assertThat(HeartbeatScheduleTests.this.schedule.due(5, 10, 200)).isTrue();
			assertThat(HeartbeatScheduleTests.this.schedule.due(5, 110, 300)).isFalse();
		}

	}

}
