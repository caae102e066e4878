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
 * Processor time of the work outside the request path.
 */
final class TaskSlopes {

	private static final int[] MEMBERS = { 40, 200, 500, 950 };

	private final Clock clock = Clock.system();

	void print() {
		Table apply = new Table("Apply one change of an account", "accounts", "us");
		for (int accounts : new int[] { 8, 1000, 11_000, 44_000 }) {
			Configuration configuration = new SyntheticFleet(accounts, 4100, 950, 790, 0).configuration();
			ChangeEntry entry = new ChangeEntry(configuration.sequence() + 1, "change",
					new Change.PutAccount(new ClientAccount(SyntheticFleet.account(3), 2, 2)));
			apply.row(accounts, Stopwatch.micros(() -> configuration.apply(entry)));
		}
		apply.slope();
		Table sheet = new Table("Apply a sheet with a line for each account", "accounts", "us");
		for (int accounts : new int[] { 100, 1000, 4000 }) {
			Configuration configuration = new SyntheticFleet(accounts, 4100, 950, 790, 0).configuration();
			ChangeEntry entry = new ChangeEntry(configuration.sequence() + 1, "change",
					new Change.ApplySheet(List.of(), List.copyOf(configuration.accounts())));
			sheet.row(accounts, Stopwatch.micros(() -> configuration.apply(entry)));
		}
		sheet.slope();
		Table routes = new Table("Compile the route table, once for each configuration", "routes", "us");
		for (int count : new int[] { 6, 1000, 4100 }) {
			Configuration configuration = new SyntheticFleet(8, count, 40, 3, 0).configuration();
			routes.row(count, Stopwatch.micros(() -> RouteTable.of(configuration)));
		}
		routes.slope();
		byMembers("Rank the homes of one account", (fleet) -> fleet.homes());
		byMembers("Find the coordinators of 790 services, as for each tick of the health reports", (fleet) -> {
			fleet.coordinators();
			return fleet;
		});
		byMembers("One QuorumCurrencyRule.update", (fleet) -> fleet.update(this.clock));
		byMembers("One heartbeat tick, with the answers of all other members", (fleet) -> fleet.tick());
		byMembers("Answer one heartbeat of another member", (fleet) -> fleet.answer());
		report("One coordinator report by targets, 4 accounts each, from 40 hosts", "targets", new int[] { 5, 15, 60 },
				(targets) -> new int[] { targets, 40 });
		report("One coordinator report by reporting hosts, 15 targets", "hosts", MEMBERS,
				(hosts) -> new int[] { 15, hosts });
	}

	private void byMembers(String title, Function<MembersOfSize, Object> work) {
		Table table = new Table(title, "members", "us");
		for (int members : MEMBERS) {
			MembersOfSize fleet = new MembersOfSize(this.clock, members);
			table.row(members, Stopwatch.micros(() -> work.apply(fleet)));
		}
		table.slope();
	}

	private void report(String title, String sizeName, int[] sizes, Function<Integer, int[]> shape) {
		Table table = new Table(title, sizeName, "us");
		for (int size : sizes) {
			int targets = shape.apply(size)[0];
			int hosts = shape.apply(size)[1];
			SyntheticFleet fleet = new SyntheticFleet(0, 0, hosts, 1, targets);
			Configuration configuration = fleet.configuration();
			var listed = fleet.targets();
			HealthCoordinator coordinator = new HealthCoordinator(SyntheticFleet.service(0), this.clock,
					new PooledOutlierDetector(), () -> listed, () -> 0.7, () -> true);
			coordinator.updateMembership(configuration.sequence(), configuration.membership(), true);
			List<PeerMessage.Report> reports = fleet.memberList()
				.stream()
				.map((member) -> from(member, MessageSlopes.report(member.hostId(), targets)))
				.toList();
			int[] turn = new int[1];
			table.row(size, Stopwatch.micros(() -> coordinator.report(reports.get(turn[0]++ % reports.size()))));
		}
		table.slope();
	}

	private static PeerMessage.Report from(Member member, PeerMessage.Report report) {
		return new PeerMessage.Report(report.hostId(), member.processId(), report.sequence(), report.service(),
				report.targets(), report.ejectedHeld());
	}

	/**
	 * One host among a number of members that all answer at once.
	 */
	private static final class MembersOfSize {

		private final Configuration configuration;

		private final QuorumCurrencyRule rule;

		private final HeartbeatExchange exchange;

		private final RendezvousHostAssignment homeHosts = new RendezvousHostAssignment();

		private final Map<String, HeartbeatResponse> heard = new HashMap<>();

		MembersOfSize(Clock clock, int members) {
			SyntheticFleet fleet = new SyntheticFleet(0, 0, members, 1, 0);
			this.configuration = fleet.configuration();
			Member self = fleet.memberList().get(0);
			long now = clock.millis();
			fleet.memberList()
				.forEach((member) -> this.heard.put(member.hostId(), new HeartbeatResponse(now, now, member.processId(),
						this.configuration.sequence(), now, List.of())));
			ConfigurationView view = new ConfigurationView();
			view.advance(this.configuration);
			this.rule = new QuorumCurrencyRule(clock, self, "pdx");
			ConfigurationFollower follower = new ConfigurationFollower(new NoLog(), view, SnapshotStore.none(), clock);
			this.exchange = new HeartbeatExchange(clock, view, follower,
					(member, message, timeout) -> CompletableFuture.completedFuture(heartbeat(member)), self, this.rule,
					(member, sequence) -> {
					});
		}

		Object homes() {
			return this.homeHosts.homeHosts(new ClientAccount("account-1", 100, 100), this.configuration.membership());
		}

		void coordinators() {
			for (int i = 0; i < SyntheticFleet.IN_TWO_YEARS.services(); i++) {
				this.homeHosts.coordinator(SyntheticFleet.service(i), this.configuration.membership());
			}
		}

		Object update(Clock clock) {
			this.rule.update(this.configuration, clock.millis(), this.heard);
			return this.rule;
		}

		Object tick() {
			this.exchange.sendHeartbeats();
			return this.exchange;
		}

		Object answer() {
			return this.exchange.answer(heartbeat(this.configuration.membership().members().iterator().next()));
		}

		private PeerMessage.Heartbeat heartbeat(Member member) {
			return new PeerMessage.Heartbeat(member.hostId(), member.processId(), this.configuration.sequence(), 100,
					false, List.of());
		}

	}

	/**
	 * A log that nothing reads.
	 */
	private static final class NoLog implements ChangeLog {

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
			throw new UnsupportedOperationException("no change is written here");
		}

		@Override
		public java.util.OptionalLong find(String changeId) {
			return java.util.OptionalLong.empty();
		}

	}

}
