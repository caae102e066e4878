package org.plantainspur.core.fleet;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.store.ChangeDelayBudget;
import org.plantainspur.core.store.StoreVersion;
import org.plantainspur.core.store.TableState;
import org.plantainspur.core.store.TableStates;

import static org.assertj.core.api.Assertions.assertThat;

class StoreReaderElectionTests {

	private static final ChangeDelayBudget BUDGET = ChangeDelayBudget.builder().build();

	/** The age from which on a reader is late. */
	private static final long LATE_MS = BUDGET.takeoverAgeMs();

	private final StoreReaderElection election = election();

	// The election of a host that comes after the hosts of most tests by name.
	private static StoreReaderElection election() {
		return new StoreReaderElection("m", BUDGET);
	}

	private static StoreReaderElection.OwnReadState own(boolean complete, long storeAgeMs) {
		return new StoreReaderElection.OwnReadState(complete, complete ? tables(10) : TableStates.NONE, storeAgeMs);
	}

	private static StoreReaderElection.PeerReadState peerState(String host, long version, long ageMs) {
		return peerState(host, tables(version), ageMs);
	}

	private static StoreReaderElection.PeerReadState peerState(String host, TableStates tables, long ageMs) {
		return new StoreReaderElection.PeerReadState(new HostHeartbeat(host, 1, "pdx-a", "127.0.0.1:1", "127.0.0.1:2",
				1, true, 1, tables, ageMs, Map.of(), List.of(), List.of(), List.of(), List.of(), List.of(), List.of()),
				ageMs);
	}

	// Tables whose rows change with each version.
	private static TableStates tables(long version) {
		return new TableStates(new TableState(new StoreVersion(1, version), version),
				new TableState(new StoreVersion(1, version), version));
	}

	private StoreReaderElection.Decision decide(int rank, boolean complete, long now,
			StoreReaderElection.PeerReadState... others) {
		return this.election.decide(rank, own(complete, 0), List.of(others), now);
	}

	/**
	 * Guards against changes that arrive late because no host reads the store, and
	 * against more readers than needed, since calls to the store are billed.
	 */
	@Nested
	class SteadyState {

		private final StoreReaderElection standby = election();

		@Test
		void theFirstHostReads() {
			assertThat(decide(0, true, 0, peerState("b", 10, 100)).readStore()).isTrue();
		}

		@Test
		void aStandbyReliesOnAReaderThatIsUpToDate() {
			assertThat(decide(1, true, 0, peerState("a", 10, LATE_MS)).readStore()).isFalse();
		}

		@Test
		void aStandbyReadsBeforeAChangeCouldBeLate() {
			assertThat(decide(1, true, 0, peerState("a", 10, BUDGET.goalMs())).readStore()).isTrue();
			assertThat(decide(0, true, 0).readStore()).as("no other host is alive").isTrue();
		}

		/**
		 * Guards against all hosts of a failure domain reading at once when the first one
		 * is late: each call is billed.
		 */
		@Test
		void standbysBeginOneAfterAnotherWhenTheReaderIsLate() {
			StoreReaderElection.PeerReadState late = peerState("a", 10, BUDGET.goalMs());
			for (int rank = 2; rank < 16; rank++) {
				assertThat(decide(rank, true, 0, late).readStore()).as("rank %d", rank).isFalse();
			}
		}

		@Test
		void theLastOfAHundredHostsTakesOverInTime() {
			assertThat(decide(99, true, 0, peerState("a", 10, 1_600)).readStore()).isTrue();
			assertThat(election().decide(15, own(true, 0), List.of(peerState("a", 10, 1_300)), 0).readStore()).isTrue();
		}

		@Test
		void aReaderGoesOnForTheMinimumTime() {
			assertThat(decide(0, true, 0).readStore()).isTrue();
			assertThat(decide(1, true, 900, peerState("a", 10, 100)).readStore()).isTrue();
			assertThat(decide(1, true, 1_100, peerState("a", 10, 100)).readStore()).isFalse();
		}

		/**
		 * Guards against changes that wait while two readers have each stopped for the
		 * other.
		 */
		@Test
		void ofTwoStandbysThatReadTheFirstGoesOn() {
			StoreReaderElection first = new StoreReaderElection("b", BUDGET);
			StoreReaderElection second = new StoreReaderElection("c", BUDGET);
			List<StoreReaderElection.PeerReadState> late = List.of(peerState("a", 10, 5_000));
			first.decide(1, own(true, 5_000), late, 0);
			second.decide(2, own(true, 5_000), late, 0);
			first.decide(1, own(true, 100), List.of(peerState("c", 10, 100)), 900);
			second.decide(2, own(true, 100), List.of(peerState("b", 10, 100)), 900);
			assertThat(first.decide(1, own(true, 100), List.of(peerState("c", 10, 100)), 1_100).readStore()).isTrue();
			assertThat(second.decide(2, own(true, 100), List.of(peerState("b", 10, 100)), 1_100).readStore()).isFalse();
		}

		/**
		 * Guards against a burst of billed calls of all standbys when the store returns.
		 */
		@Test
		void aStandbyThatHasNotReachedTheStoreStopsWhenAnotherHas() {
			this.standby.decide(1, own(true, 5_000), List.of(peerState("a", 10, 5_000)), 0);
			assertThat(this.standby.decide(1, own(true, 5_100), List.of(peerState("z", 10, 10)), 100).readStore())
				.isFalse();
		}

	}

	/**
	 * Guards against many hosts that read whole tables from the store when all of them
	 * start together, or when one starts among running ones: for half of the hosts the
	 * store is in another region, where reads are slow and billed.
	 */
	@Nested
	class Startup {

		@Test
		void theFirstHostReadsImmediatelyAndTheOthersWait() {
			assertThat(decide(0, false, 0, peerState("b", 0, 1_000_000)).readStore()).isTrue();
			assertThat(
					election().decide(1, own(false, 1_000_000), List.of(peerState("a", 0, 1_000_000)), 0).readStore())
				.isFalse();
		}

		@Test
		void aHostFetchesTheTablesFromOneThatHasReadThem() {
			StoreReaderElection.Decision decision = decide(0, false, 0, peerState("b", 10, 100));
			assertThat(decision.readStore()).isFalse();
			assertThat(decision.fetchFrom()).isNotNull();
		}

		@Test
		void aWaitingHostReadsAfterItsStartSteps() {
			StoreReaderElection.PeerReadState empty = peerState("a", 0, 1_000_000);
			assertThat(decide(3, false, 0, empty).readStore()).isFalse();
			assertThat(decide(3, false, 400, empty).readStore()).isFalse();
			assertThat(decide(3, false, 500, empty).readStore()).isTrue();
		}

	}

	/**
	 * Guards against a restart next to a host that is out of touch with the store: its
	 * tables may still hold a withdrawn key or a target that has left.
	 */
	@Nested
	class StartupBesideAHostOutOfTouch {

		private final StoreReaderElection.PeerReadState outOfTouch = peerState("a", 10, 5_000);

		@Test
		void theStoreIsReadBeforeTheTablesOfThatHost() {
			assertThat(decide(1, false, 0, this.outOfTouch).fetchFrom()).isNull();
			StoreReaderElection.Decision decision = decide(1, false, StoreReaderElection.START_STEP_MS,
					this.outOfTouch);
			assertThat(decision.readStore()).isTrue();
			assertThat(decision.fetchFrom()).isNull();
		}

		@Test
		void itsTablesAreUsedWhenTheStoreDoesNotAnswer() {
			decide(1, false, 0, this.outOfTouch);
			assertThat(decide(1, false, StoreReaderElection.START_STEP_MS + StoreReaderElection.STALE_FETCH_DELAY_MS,
					this.outOfTouch)
				.fetchFrom()).isEqualTo(this.outOfTouch);
		}

		@Test
		void theTablesOfAHostInTouchArePreferred() {
			StoreReaderElection.PeerReadState inTouch = peerState("b", 9, 1_500);
			assertThat(decide(2, false, 0, this.outOfTouch, inTouch).fetchFrom()).isEqualTo(inTouch);
		}

	}

	/**
	 * Guards against fetching rows that are older than necessary, or that this host
	 * already has.
	 */
	@Nested
	class FetchSource {

		@Test
		void changesAreFetchedFromTheFreshestHostWithNewerTables() {
			StoreReaderElection.PeerReadState fresh = peerState("a", 12, 50);
			assertThat(decide(1, true, 0, peerState("c", 11, 900), fresh).fetchFrom()).isEqualTo(fresh);
		}

		/**
		 * Guards against tables that are compared by the sum of their versions: this host
		 * has the newer targets, and the other one a newer desired state.
		 */
		@Test
		void theNewerRowsOfOneTableAreFetchedFromAHostWithOlderRowsOfTheOther() {
			TableStates other = new TableStates(new TableState(new StoreVersion(1, 11), 11),
					new TableState(new StoreVersion(1, 5), 5));
			StoreReaderElection.PeerReadState peer = peerState("a", other, 50);
			assertThat(decide(1, true, 0, peer).fetchFrom()).isEqualTo(peer);
		}

		@Test
		void nothingIsFetchedFromHostsWithTheSameRows() {
			TableStates later = new TableStates(new TableState(new StoreVersion(1, 90), 10),
					new TableState(new StoreVersion(1, 90), 10));
			StoreReaderElection.PeerReadState peer = peerState("a", later, 50);
			assertThat(decide(1, true, 0, peer).fetchFrom()).isNull();
		}

		@Test
		void nothingIsFetchedFromHostsWithoutNewerTables() {
			assertThat(decide(1, true, 0, peerState("a", 10, 50), peerState("b", 9, 10)).fetchFrom()).isNull();
		}

	}

}
