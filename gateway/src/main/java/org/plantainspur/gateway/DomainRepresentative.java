package org.plantainspur.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

import org.plantainspur.core.fleet.AccountUsage;
import org.plantainspur.core.fleet.DigestSchedule;
import org.plantainspur.core.fleet.DomainDigest;
import org.plantainspur.core.fleet.DomainUsageTotals;
import org.plantainspur.core.fleet.HostHeartbeat;
import org.plantainspur.core.fleet.RegionTargetUpdates;
import org.plantainspur.core.fleet.RepeatedReports;
import org.plantainspur.core.health.RequestCrash;
import org.plantainspur.core.target.HostLocation;
import org.plantainspur.core.target.TargetStatementReport;

/**
 * Sends digests of this failure domain to the other ones while this host is the
 * representative of its failure domain: the first of the live hosts by name. Account
 * usage goes to all failure domains. Failures and recoveries of targets go only to those
 * of the same region, as their hosts send requests here when their own targets are
 * unhealthy or busy. Used by the control thread.
 */
final class DomainRepresentative {

	private final String failureDomain;

	private final Set<String> failureDomains;

	private final HostLocation location;

	private final HostRegistry registry;

	private final ToLongFunction<HostHeartbeat> silenceMs;

	private final BiConsumer<HostHeartbeat, Iterable<String>> heartbeatSender;

	private final DomainUsageTotals usageTotals = new DomainUsageTotals();

	private final DigestSchedule digestSchedule = new DigestSchedule();

	private final RegionTargetUpdates targetUpdates = new RegionTargetUpdates();

	private final Set<String> accountsNearLimit = new HashSet<>();

	private final Recipients region = new Recipients(HostLocation.Distance.SAME_REGION);

	private final Recipients otherRegions = new Recipients(HostLocation.Distance.OTHER_REGION);

	/**
	 * Creates a representative that has sent nothing yet.
	 * @param settings the host's settings
	 * @param registry knows the hosts of the other failure domains
	 * @param silenceMs returns the time since the last heartbeat of a host, in
	 * milliseconds
	 * @param heartbeatSender sends a heartbeat to peer addresses, {@code ip:port}
	 */
	DomainRepresentative(GatewaySettings settings, HostRegistry registry, ToLongFunction<HostHeartbeat> silenceMs,
			BiConsumer<HostHeartbeat, Iterable<String>> heartbeatSender) {
		this.failureDomain = settings.failureDomain();
		this.failureDomains = settings.regions().keySet();
		this.location = new HostLocation(settings.failureDomain(), settings.regions());
		this.registry = registry;
		this.silenceMs = silenceMs;
		this.heartbeatSender = heartbeatSender;
	}

	/**
	 * Collects what a host of the failure domain reports, this one included.
	 * @param heartbeat the host's heartbeat
	 */
	void receive(HostHeartbeat heartbeat) {
		this.accountsNearLimit.addAll(heartbeat.accountsNearLimit());
		this.targetUpdates.add(heartbeat.failedTargets(), heartbeat.recoveredTargets());
	}

	/**
	 * Records what another failure domain reports.
	 * @param heartbeat the heartbeat of a host of that domain
	 */
	void receiveFromOtherDomain(HostHeartbeat heartbeat) {
		this.region.addReceived(heartbeat);
		this.otherRegions.addReceived(heartbeat);
	}

	/**
	 * Sends the digests that are due, if this host is the representative of its failure
	 * domain.
	 * @param ownHeartbeat this host's last heartbeat
	 * @param domainHosts the heartbeats of the failure domain's live hosts, this one
	 * included, in order of their names
	 * @param statements supplies what targets say of themselves
	 * @param now the reading of the host's clock, in milliseconds
	 */
	void sendDue(HostHeartbeat ownHeartbeat, List<HostHeartbeat> domainHosts,
			Supplier<List<TargetStatementReport>> statements, long now) {
		if (!domainHosts.get(0).host().equals(ownHeartbeat.host())) {
			this.accountsNearLimit.clear();
			this.targetUpdates.clear();
			return;
		}
		this.registry.readOtherDomains(this.failureDomains, this.silenceMs, now);
		Map<String, AccountUsage> usage = this.digestSchedule.due(this.usageTotals.add(domainHosts),
				this.accountsNearLimit, now);
		if (!usage.isEmpty()) {
			this.accountsNearLimit.clear();
		}
		RegionTargetUpdates.Batch batch = this.targetUpdates.take(now);
		List<TargetStatementReport> reports = statements.get();
		this.region.send(ownHeartbeat, usage, batch, reports);
		this.otherRegions.send(ownHeartbeat, usage, RegionTargetUpdates.Batch.EMPTY, reports);
	}

	private DomainDigest digest(HostHeartbeat ownHeartbeat, Map<String, AccountUsage> usage,
			RegionTargetUpdates.Batch batch) {
		return new DomainDigest(this.failureDomain, ownHeartbeat.host(), System.currentTimeMillis(), usage,
				batch.failed(), batch.recovered());
	}

	/** The failure domains at one distance, and the reports that they have got. */
	private final class Recipients {

		private final HostLocation.Distance distance;

		private final RepeatedReports<RequestCrash> crashReports = new RepeatedReports<>(RequestCrash::id,
				RequestCrash::fingerprint);

		private final RepeatedReports<TargetStatementReport> statementReports = new RepeatedReports<>(
				TargetStatementReport::target, TargetStatementReport::statement);

		private Recipients(HostLocation.Distance distance) {
			this.distance = distance;
		}

		private void addReceived(HostHeartbeat heartbeat) {
			this.crashReports.addReceived(heartbeat.requestCrashes());
			this.statementReports.addReceived(heartbeat.targetStatements());
		}

		// Sends nothing if there is no usage, no target update and no new statement.
		private void send(HostHeartbeat ownHeartbeat, Map<String, AccountUsage> usage, RegionTargetUpdates.Batch batch,
				List<TargetStatementReport> statements) {
			List<TargetStatementReport> newStatements = this.statementReports.take(statements);
			if (usage.isEmpty() && batch.isEmpty() && newStatements.isEmpty()) {
				return;
			}
			List<RequestCrash> crashes = this.crashReports.take(ownHeartbeat.requestCrashes());
			DomainRepresentative.this.heartbeatSender
				.accept(ownHeartbeat.forOtherDomain(digest(ownHeartbeat, usage, batch), crashes, newStatements),
						DomainRepresentative.this.registry
							.recipientsInOtherDomains(
									(failureDomain) -> DomainRepresentative.this.location
										.distanceTo(failureDomain) == this.distance,
									DomainRepresentative.this.silenceMs));
		}

	}

}
