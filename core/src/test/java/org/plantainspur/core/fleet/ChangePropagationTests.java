package org.plantainspur.core.fleet;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.plantainspur.core.fleet.SimulatedStorePath.Loss;
import org.plantainspur.core.store.ChangeDelayBudget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against changes that come into use late because the waits of hosts that follow
 * the store add up when calls to it are lost.
 */
class ChangePropagationTests {

	/** The time within which changes must be in use once one host can read the store. */
	private static final long GOAL_MS = 1_000;

	/**
	 * Longer than the interval between two answers, in steps that hit each phase of it.
	 */
	private static final int[] PHASES_MS = IntStream.range(0, 14).map((step) -> step * 97).toArray();

	private static final long LOSS_MS = 5_200;

	private SimulatedDomain domainAtPhase(int hosts, int phaseMs) {
		SimulatedDomain domain = new SimulatedDomain(hosts);
		domain.runFor(phaseMs);
		return domain;
	}

	private void changeBothTables(SimulatedDomain domain) {
		domain.change("op");
		domain.change("servers");
	}

	/** Losses that end; until then nobody can read the store. */
	static Stream<Arguments> outages() {
		return Stream.of(Loss.SILENT, Loss.BUSY, Loss.RESET)
			.flatMap((loss) -> Stream.of(1, 3, 12).map((hosts) -> Arguments.of(loss, hosts)));
	}

	static Stream<Arguments> orders() {
		return Stream.of(1, 3, 12)
			.flatMap((hosts) -> Stream.of(true, false)
				.flatMap((onlyTheReader) -> Stream.of(-300L, -20L, 0L, 385L, 1_000L)
					.map((changeAfterMs) -> Arguments.of(hosts, onlyTheReader, changeAfterMs))));
	}

	@Nested
	class AfterAnOutage {

		@ParameterizedTest
		@MethodSource("org.plantainspur.core.fleet.ChangePropagationTests#outages")
		void changesBeforeDuringAndAfterItAreInUseInTime(Loss loss, int hosts) {
			for (int phaseMs : PHASES_MS) {
				SimulatedDomain domain = domainAtPhase(hosts, phaseMs);
				changeBothTables(domain);
				domain.paths().forEach((path) -> path.begin(loss));
				domain.runFor(LOSS_MS / 2);
				changeBothTables(domain);
				domain.runFor(LOSS_MS / 2);
				domain.paths().forEach(SimulatedStorePath::end);
				long returnedMs = domain.nowMs();
				domain.runFor(385);
				changeBothTables(domain);
				domain.runFor(25);
				changeBothTables(domain);
				domain.runFor(1_500);
				domain.change("op");
				domain.runFor(5_000);
				assertThat(domain.longestDelayMs(returnedMs)).as("phase %d", phaseMs).isLessThanOrEqualTo(GOAL_MS);
				assertThat(domain.wentBack()).isFalse();
			}
		}

		@ParameterizedTest
		@MethodSource("org.plantainspur.core.fleet.ChangePropagationTests#outages")
		void changesAreInUseInTimeThoughTheHistoryIsLost(Loss loss, int hosts) {
			for (int phaseMs : PHASES_MS) {
				SimulatedDomain domain = domainAtPhase(hosts, phaseMs);
				domain.paths().forEach((path) -> path.begin(loss));
				domain.runFor(LOSS_MS);
				changeBothTables(domain);
				domain.store().dropHistory();
				domain.paths().forEach(SimulatedStorePath::end);
				long returnedMs = domain.nowMs();
				domain.runFor(5_000);
				assertThat(domain.longestDelayMs(returnedMs)).as("phase %d", phaseMs).isLessThanOrEqualTo(GOAL_MS);
			}
		}

		/** The host that can read again is the last one by name. */
		@ParameterizedTest
		@MethodSource("org.plantainspur.core.fleet.ChangePropagationTests#outages")
		void changesAreInUseOnAllHostsThoughOneCanRead(Loss loss, int hosts) {
			for (int phaseMs : PHASES_MS) {
				SimulatedDomain domain = domainAtPhase(hosts, phaseMs);
				domain.paths().forEach((path) -> path.begin(loss));
				domain.runFor(LOSS_MS);
				domain.change("op");
				domain.paths().get(hosts - 1).end();
				long returnedMs = domain.nowMs();
				domain.runFor(2_000);
				changeBothTables(domain);
				domain.runFor(5_000);
				assertThat(domain.longestDelayMs(returnedMs)).as("phase %d", phaseMs).isLessThanOrEqualTo(GOAL_MS);
			}
		}

	}

	/** Guards against losses during which the store can be read in another way. */
	@Nested
	class DuringALoss {

		private void assertInTime(Loss loss, int hosts, boolean onlyTheReader, long changeAfterMs) {
			for (int phaseMs : PHASES_MS) {
				SimulatedDomain domain = domainAtPhase(hosts, phaseMs);
				List<SimulatedStorePath> paths = onlyTheReader ? domain.paths().subList(0, 1) : domain.paths();
				if (changeAfterMs < 0) {
					changeBothTables(domain);
					domain.runFor(-changeAfterMs);
				}
				paths.forEach((path) -> path.begin(loss));
				domain.runFor(Math.max(0, changeAfterMs));
				changeBothTables(domain);
				domain.runFor(25);
				changeBothTables(domain);
				domain.runFor(5_000);
				assertThat(domain.longestDelayMs(0)).as("phase %d", phaseMs).isLessThanOrEqualTo(GOAL_MS);
			}
		}

		@ParameterizedTest
		@MethodSource("org.plantainspur.core.fleet.ChangePropagationTests#orders")
		void openConnectionsThatGoSilentDelayNoChange(int hosts, boolean onlyTheReader, long changeAfterMs) {
			assertInTime(Loss.OPEN_CONNECTIONS_SILENT, hosts, onlyTheReader, changeAfterMs);
		}

		@ParameterizedTest
		@MethodSource("org.plantainspur.core.fleet.ChangePropagationTests#orders")
		void slowAnswersDelayNoChange(int hosts, boolean onlyTheReader, long changeAfterMs) {
			assertInTime(Loss.SLOW, hosts, onlyTheReader, changeAfterMs);
		}

		@Test
		void anAnswerThatIsLostDelaysNoChange() {
			for (int hosts : new int[] { 1, 3, 12 }) {
				for (int phaseMs : PHASES_MS) {
					SimulatedDomain domain = domainAtPhase(hosts, phaseMs);
					domain.paths().forEach((path) -> path.begin(Loss.ANSWERS_LOST));
					domain.change("op");
					domain.runFor(SimulatedStorePath.ROUND_TRIP_MS / 2);
					domain.paths().forEach(SimulatedStorePath::end);
					domain.runFor(5_000);
					assertThat(domain.longestDelayMs(0)).as("phase %d", phaseMs).isLessThanOrEqualTo(GOAL_MS);
				}
			}
		}

		/** What one host or every second one has lost is read by another one. */
		@ParameterizedTest
		@EnumSource(names = { "FEED_SILENT", "FEED_BUSY", "SILENT", "BUSY", "RESET" })
		void whatAPartOfTheHostsLosesDelaysChangesAsLongAsAReaderThatEnds(Loss loss) {
			for (int step : new int[] { 2, 12 }) {
				for (int phaseMs : PHASES_MS) {
					SimulatedDomain domain = domainAtPhase(12, phaseMs);
					for (int i = 0; i < 12; i += step) {
						domain.paths().get(i).begin(loss);
					}
					domain.runFor(100);
					changeBothTables(domain);
					domain.runFor(3_000);
					changeBothTables(domain);
					domain.runFor(1_000);
					domain.paths().forEach(SimulatedStorePath::end);
					changeBothTables(domain);
					domain.runFor(5_000);
					assertThat(domain.longestDelayMs(0)).as("every %dth host at phase %d", step, phaseMs)
						.isLessThanOrEqualTo(readerEndedMs());
					assertThat(domain.wentBack()).isFalse();
				}
			}
		}

		private long readerEndedMs() {
			return SimulatedDomain.BUDGET.orders()
				.stream()
				.filter((order) -> order.name().equals("the reader ends"))
				.mapToLong(ChangeDelayBudget.Order::sumMs)
				.sum();
		}

	}

	/**
	 * Guards against older rows, and against reads without a pause, while whole reads are
	 * behind.
	 */
	@Nested
	class StaleWholeReads {

		private static final long STALE_MS = 3_000;

		@ParameterizedTest
		@ValueSource(ints = { 1, 3, 12 })
		void delayChangesByLittleMoreThanTheyAreBehind(int hosts) {
			for (int phaseMs : PHASES_MS) {
				SimulatedDomain domain = domainAtPhase(hosts, phaseMs);
				domain.store().setWholeReadsBehind(STALE_MS);
				domain.paths().forEach((path) -> path.begin(Loss.OPEN_CONNECTIONS_SILENT));
				changeBothTables(domain);
				domain.store().dropHistory();
				long fromMs = domain.nowMs();
				domain.runFor(STALE_MS);
				long calls = domain.store().callsSince(fromMs);
				domain.runFor(5_000);
				assertThat(domain.longestDelayMs(0)).as("phase %d", phaseMs).isLessThanOrEqualTo(STALE_MS + GOAL_MS);
				assertThat(domain.wentBack()).isFalse();
				assertThat(calls).isLessThanOrEqualTo(33 * STALE_MS / 1_000);
			}
		}

	}

	/** Guards against calls that are billed without need. */
	@Nested
	class Calls {

		/** Before calls were repeated, the reader of a domain made 2 calls in 1.3 s. */
		@Test
		void areNoMoreThanTheReadersOwnWhileAllIsCalm() {
			SimulatedDomain domain = new SimulatedDomain(12);
			long fromMs = domain.nowMs();
			domain.runFor(130_000);
			assertThat(domain.store().callsSince(fromMs)).isLessThanOrEqualTo(200);
		}

		@ParameterizedTest
		@ValueSource(ints = { 8, 12, 136 })
		void comeInNoBurstWhenTheStoreReturns(int hosts) {
			SimulatedDomain domain = new SimulatedDomain(hosts);
			domain.paths().forEach((path) -> path.begin(Loss.BUSY));
			domain.runFor(10_000);
			long outageCalls = domain.store().callsSince(domain.nowMs() - 1_000);
			domain.paths().forEach(SimulatedStorePath::end);
			long returnedMs = domain.nowMs();
			domain.runFor(1_000);
			assertThat(domain.store().callsSince(returnedMs)).isLessThanOrEqualTo(outageCalls + 4);
		}

		/** All hosts of a domain together, of whatever size, share the refused calls. */
		@ParameterizedTest
		@ValueSource(ints = { 8, 12, 136 })
		void areBoundedInAnOutage(int hosts) {
			SimulatedDomain domain = new SimulatedDomain(hosts);
			domain.paths().forEach((path) -> path.begin(Loss.BUSY));
			domain.runFor(5_000);
			long fromMs = domain.nowMs();
			domain.runFor(17_000);
			assertThat(domain.store().callsSince(fromMs)).isLessThanOrEqualTo(17 * 33);
		}

	}

}
