package org.plantainspur.benchmarks.slope;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationFollower;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.SnapshotStore;
import org.plantainspur.core.currency.HeartbeatExchange;
import org.plantainspur.core.currency.HeartbeatResponse;
import org.plantainspur.core.currency.QuorumCurrencyRule;
import org.plantainspur.core.health.HealthCoordinator;
import org.plantainspur.core.health.PooledOutlierDetector;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.RendezvousHostAssignment;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.RouteTable;
import org.plantainspur.core.time.Clock;

/**
 * Prints how the processor time of work outside the request path grows with the size of
 * the fleet.
 */
final class TaskSlopes {

	private static final int[] MEMBER_COUNTS = { 40, 200, 500, 950 };

	private final Clock clock = Clock.system();

	void print() {
		GrowthTable applyTable = new GrowthTable("Apply one change of an account", "accounts", "us");
		for (int accounts : new int[] { 8, 1000, 11_000, 44_000 }) {
			Configuration configuration = new SyntheticFleet(accounts, 4100, 950, 790, 0).configuration();
			ChangeEntry entry = new ChangeEntry(configuration.sequence() + 1, "change",
					new Change.PutAccount(new ClientAccount(SyntheticFleet.account(3), 2, 2)));
			applyTable.printRow(accounts, Measurement.medianMicros(() -> configuration.apply(entry)));
		}
		applyTable.printSlope();
		GrowthTable sheetTable = new GrowthTable("Apply a sheet with a line for each account", "accounts", "us");
		for (int accounts : new int[] { 100, 1000, 4000 }) {
			Configuration configuration = new SyntheticFleet(accounts, 4100, 950, 790, 0).configuration();
			ChangeEntry entry = new ChangeEntry(configuration.sequence() + 1, "change",
					new Change.ApplySheet(List.of(), List.copyOf(configuration.accounts())));
			sheetTable.printRow(accounts, Measurement.medianMicros(() -> configuration.apply(entry)));
		}
		sheetTable.printSlope();
		GrowthTable routes = new GrowthTable("Compile the route table, once for each configuration", "routes", "us");
		for (int count : new int[] { 6, 1000, 4100 }) {
			Configuration configuration = new SyntheticFleet(8, count, 40, 3, 0).configuration();
			routes.printRow(count, Measurement.medianMicros(() -> RouteTable.of(configuration)));
		}
		routes.printSlope();
		printByMembers("Rank the home hosts of one account", (host) -> host.findHomeHosts());
		printByMembers("Find the coordinators of 790 services, as for each round of health reports", (host) -> {
			host.findCoordinators();
			return host;
		});
		printByMembers("One QuorumCurrencyRule.update", (host) -> host.updateCurrency(this.clock));
		printByMembers("One round of heartbeats, with the responses of all other members",
				(host) -> host.sendHeartbeats());
		printByMembers("Answer one heartbeat of another member", (host) -> host.answerHeartbeat());
		printReports("One coordinator report by targets, 4 accounts each, from 40 hosts", "targets",
				new int[] { 5, 15, 60 }, (targets) -> new int[] { targets, 40 });
		printReports("One coordinator report by reporting hosts, 15 targets", "hosts", MEMBER_COUNTS,
				(hosts) -> new int[] { 15, hosts });
	}

	private void printByMembers(String title, Function<SimulatedMember, Object> operation) {
		GrowthTable table = new GrowthTable(title, "members", "us");
		for (int members : MEMBER_COUNTS) {
			SimulatedMember host = new SimulatedMember(this.clock, members);
			table.printRow(members, Measurement.medianMicros(() -> operation.apply(host)));
		}
		table.printSlope();
	}

	private void printReports(String title, String sizeName, int[] sizes, Function<Integer, int[]> targetsAndHosts) {
		GrowthTable table = new GrowthTable(title, sizeName, "us");
		for (int size : sizes) {
			int targets = targetsAndHosts.apply(size)[0];
			int hosts = targetsAndHosts.apply(size)[1];
			SyntheticFleet fleet = new SyntheticFleet(0, 0, hosts, 1, targets);
			Configuration configuration = fleet.configuration();
			var targetList = fleet.targets();
			HealthCoordinator coordinator = new HealthCoordinator(SyntheticFleet.service(0), this.clock,
					new PooledOutlierDetector(), () -> targetList, () -> 0.7, () -> true);
			coordinator.updateMembership(configuration.sequence(), configuration.membership(), true);
			List<PeerMessage.Report> reports = fleet.memberList()
				.stream()
				.map((member) -> withSender(member, MessageSlopes.report(member.hostId(), targets)))
				.toList();
			int[] nextReport = new int[1];
			table.printRow(size,
					Measurement.medianMicros(() -> coordinator.report(reports.get(nextReport[0]++ % reports.size()))));
		}
		table.printSlope();
	}

	private static PeerMessage.Report withSender(Member member, PeerMessage.Report report) {
		return new PeerMessage.Report(report.hostId(), member.processId(), report.sequence(), report.service(),
				report.targets(), report.ejectedHeld());
	}

	/**
	 * One host in a membership of the given size whose other members respond to
	 * heartbeats immediately.
	 */
	private static final class SimulatedMember {

		private final Configuration configuration;

		private final QuorumCurrencyRule currencyRule;

		private final HeartbeatExchange exchange;

		private final RendezvousHostAssignment hostAssignment = new RendezvousHostAssignment();

		private final Map<String, HeartbeatResponse> responses = new HashMap<>();

		SimulatedMember(Clock clock, int members) {
			SyntheticFleet fleet = new SyntheticFleet(0, 0, members, 1, 0);
			this.configuration = fleet.configuration();
			Member self = fleet.memberList().get(0);
			long now = clock.millis();
			fleet.memberList()
				.forEach((member) -> this.responses.put(member.hostId(), new HeartbeatResponse(now, now,
						member.processId(), this.configuration.sequence(), now, List.of())));
			ConfigurationView view = new ConfigurationView();
			view.advance(this.configuration);
			this.currencyRule = new QuorumCurrencyRule(clock, self, "pdx");
			ConfigurationFollower follower = new ConfigurationFollower(new EmptyChangeLog(), view, SnapshotStore.none(),
					clock);
			this.exchange = new HeartbeatExchange(clock, view, follower,
					(member, message, timeout) -> CompletableFuture.completedFuture(heartbeat(member)), self,
					this.currencyRule, (member, sequence) -> {
					});
		}

		Object findHomeHosts() {
			return this.hostAssignment.homeHosts(new ClientAccount("account-1", 100, 100),
					this.configuration.membership());
		}

		void findCoordinators() {
			for (int i = 0; i < SyntheticFleet.IN_TWO_YEARS.services(); i++) {
				this.hostAssignment.coordinator(SyntheticFleet.service(i), this.configuration.membership());
			}
		}

		Object updateCurrency(Clock clock) {
			this.currencyRule.update(this.configuration, clock.millis(), this.responses);
			return this.currencyRule;
		}

		Object sendHeartbeats() {
			this.exchange.sendHeartbeats();
			return this.exchange;
		}

		Object answerHeartbeat() {
			return this.exchange.answer(heartbeat(this.configuration.membership().members().iterator().next()));
		}

		private PeerMessage.Heartbeat heartbeat(Member member) {
			return new PeerMessage.Heartbeat(member.hostId(), member.processId(), this.configuration.sequence(), 100,
					false, List.of());
		}

	}

	/**
	 * An empty change log; the measured operations append nothing to it.
	 */
	private static final class EmptyChangeLog implements ChangeLog {

		@Override
		public long head() {
			return 0;
		}

		@Override
		public List<ChangeEntry> read(long after) {
			return List.of();
		}

		@Override
		public AppendResult append(long expectedHead, String changeId, Change change) {
			throw new UnsupportedOperationException("the measured operations append no change");
		}

		@Override
		public java.util.OptionalLong find(String changeId) {
			return java.util.OptionalLong.empty();
		}

	}

}
