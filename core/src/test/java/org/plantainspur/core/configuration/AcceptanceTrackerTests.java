package org.plantainspur.core.configuration;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.AcceptanceTracker.Acknowledgement;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a change that is reported as accepted while a host may still serve with
 * an older configuration.
 */
class AcceptanceTrackerTests {

	private final ManualClock clock = new ManualClock();

	private static Acknowledgement from(String host, String process) {
		return new Acknowledgement(host, process, 9);
	}

	// Returns the members a, b and c after further changes, with all seats settled.
	private static Membership members(Change... more) {
		Membership membership = Membership.empty();
		long sequence = 0;
		for (String host : List.of("a", "b", "c")) {
			Member member = Member.builder(host, "p").peerAddress(host + ":1").build();
			membership = membership.apply(new Change.MemberJoined(member), ++sequence);
		}
		for (Change change : more) {
			membership = membership.apply(change, ++sequence);
		}
		return membership.apply(new Change.SeatsSettled(membership.seatSequence()), ++sequence);
	}

	@Nested
	class MajorityInTwoRounds {

		@Test
		void doesNotCountAProcessThatWasReplacedBetweenTwoRounds() {
			AcceptanceTracker tracker = new AcceptanceTracker(AcceptanceTrackerTests.this.clock, members(), 9);
			tracker.recordRound(List.of(from("a", "p"), from("b", "p")));
			tracker.recordRound(List.of(from("a", "new"), from("b", "p")));
			tracker.recordRound(List.of(from("b", "p")));
			AcceptanceTrackerTests.this.clock.advance(60_000);
			assertThat(tracker.recordRound(List.of(from("b", "p"))).accepted()).isFalse();
		}

		@Test
		void leadsToAcceptanceOnlyAfterTheFencingWait() {
			AcceptanceTracker tracker = new AcceptanceTracker(AcceptanceTrackerTests.this.clock, members(), 9);
			List<Acknowledgement> two = List.of(from("a", "p"), from("b", "p"));
			tracker.recordRound(two).recordRound(two);
			AcceptanceTrackerTests.this.clock.advance(AcceptanceTracker.FENCING_WAIT_MILLIS - 1);
			assertThat(tracker.recordRound(two).accepted()).isFalse();
			AcceptanceTrackerTests.this.clock.advance(1);
			assertThat(tracker.recordRound(two).accepted()).isTrue();
		}

	}

	@Nested
	class RemovedMember {

		@Test
		void delaysAcceptanceUntilSeatsAreSettled() {
			Member removed = Member.builder("c", "p").peerAddress("c:1").build();
			Membership unsettled = members().apply(new Change.MembersRemoved(List.of(removed)), 5);
			List<Acknowledgement> all = List.of(from("a", "p"), from("b", "p"));
			AcceptanceTracker tracker = new AcceptanceTracker(AcceptanceTrackerTests.this.clock, unsettled, 9);
			assertThat(tracker.recordRound(all).recordRound(all).accepted()).isFalse();
			AcceptanceTracker settled = new AcceptanceTracker(AcceptanceTrackerTests.this.clock,
					members(new Change.MembersRemoved(List.of(removed))), 9);
			assertThat(settled.recordRound(all).recordRound(all).accepted()).isTrue();
		}

	}

}
