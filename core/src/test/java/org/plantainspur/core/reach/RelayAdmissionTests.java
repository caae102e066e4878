package org.plantainspur.core.reach;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.target.ConnectFailure;
import org.plantainspur.core.target.TargetPermits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against relayed attempts that wait at a host which cannot pass them on, or take
 * the room of its own callers.
 */
class RelayAdmissionTests {

	private final ReachFixture fleet = new ReachFixture(4, "s", "t", "u");

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final RelayAdmission admission = new RelayAdmission(this.fleet.registry, TargetPermits.ALL,
			this.fleet.paths, this.stopping::get);

	private RelayAdmission.Decision declined(RelayAdmission.Reason reason) {
		return new RelayAdmission.Declined(reason);
	}

	@Nested
	class Declined {

		@Test
		void beyondTheRoomOfTheHost() {
			for (int i = 0; i < RelayAdmission.MAX_IN_FLIGHT; i++) {
				assertThat(RelayAdmissionTests.this.admission.decide("s1")).isInstanceOf(RelayAdmission.Accepted.class);
			}
			assertThat(RelayAdmissionTests.this.admission.decide("s1")).isEqualTo(declined(RelayAdmission.Reason.BUSY));
			RelayAdmissionTests.this.admission.release();
			assertThat(RelayAdmissionTests.this.admission.decide("s1")).isInstanceOf(RelayAdmission.Accepted.class);
		}

		@Test
		void onAHostThatIsStopping() {
			RelayAdmissionTests.this.stopping.set(true);
			assertThat(RelayAdmissionTests.this.admission.decide("s1"))
				.isEqualTo(declined(RelayAdmission.Reason.STOPPING));
		}

		@Test
		void onAHostThatIsCutOffItself() {
			for (String id : List.of("s1", "t1", "u1")) {
				RelayAdmissionTests.this.fleet.fail(id, ConnectFailure.SILENT);
			}
			assertThat(RelayAdmissionTests.this.admission.decide("s2"))
				.isEqualTo(declined(RelayAdmission.Reason.CUT_OFF));
		}

		@Test
		void forATargetThatHasLeft() {
			assertThat(RelayAdmissionTests.this.admission.decide("gone"))
				.isEqualTo(declined(RelayAdmission.Reason.WITHHELD));
		}

		@Test
		void forAClosedPathWithWhatIsKnownOfTheOthers() {
			RelayAdmissionTests.this.fleet.fail("s1", ConnectFailure.REFUSED);
			assertThat(RelayAdmissionTests.this.admission.decide("s1"))
				.isEqualTo(declined(RelayAdmission.Reason.NOTHING_REACHED));
			RelayAdmissionTests.this.fleet.paths.recordAnswered(RelayAdmissionTests.this.fleet.process("t1"));
			assertThat(RelayAdmissionTests.this.admission.decide("s1"))
				.isEqualTo(declined(RelayAdmission.Reason.TARGET_UNREACHED));
		}

	}

}
