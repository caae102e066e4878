package org.plantainspur.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.ToLongFunction;

import org.plantainspur.core.fleet.AccountUsage;
import org.plantainspur.core.fleet.CrashReports;
import org.plantainspur.core.fleet.DigestSchedule;
import org.plantainspur.core.fleet.DomainDigest;
import org.plantainspur.core.fleet.DomainUsageTotals;
import org.plantainspur.core.fleet.HostHeartbeat;
import org.plantainspur.core.fleet.RegionTargetUpdates;
import org.plantainspur.core.health.RequestCrash;
import org.plantainspur.core.target.HostLocation;

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

	private final CrashReports regionCrashReports = new CrashReports();

	private final CrashReports otherRegionCrashReports = new CrashReports();

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
		this.regionCrashReports.addReceived(heartbeat.requestCrashes());
		this.otherRegionCrashReports.addReceived(heartbeat.requestCrashes());
	}

	/**
	 * Sends the digests that are due, if this host is the representative of its failure
	 * domain.
	 * @param ownHeartbeat this host's last heartbeat
	 * @param domainHosts the heartbeats of the failure domain's live hosts, this one
	 * included, in order of their names
	 * @param now the reading of the host's clock, in milliseconds
	 */
	void sendDue(HostHeartbeat ownHeartbeat, List<HostHeartbeat> domainHosts, long now) {
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
		if (!usage.isEmpty() || !batch.isEmpty()) {
			send(ownHeartbeat, digest(ownHeartbeat, usage, batch), HostLocation.Distance.SAME_REGION,
					this.regionCrashReports);
		}
		if (!usage.isEmpty()) {
			send(ownHeartbeat, digest(ownHeartbeat, usage, RegionTargetUpdates.Batch.EMPTY),
					HostLocation.Distance.OTHER_REGION, this.otherRegionCrashReports);
		}
	}

	private DomainDigest digest(HostHeartbeat ownHeartbeat, Map<String, AccountUsage> usage,
			RegionTargetUpdates.Batch batch) {
		return new DomainDigest(this.failureDomain, ownHeartbeat.host(), System.currentTimeMillis(), usage,
				batch.failed(), batch.recovered());
	}

	private void send(HostHeartbeat ownHeartbeat, DomainDigest digest, HostLocation.Distance distance,
			CrashReports crashReports) {
		List<RequestCrash> crashes = crashReports.take(ownHeartbeat.requestCrashes());
		this.heartbeatSender.accept(ownHeartbeat.forOtherDomain(digest, crashes),
				this.registry.recipientsInOtherDomains(
						(failureDomain) -> this.location.distanceTo(failureDomain) == distance, this.silenceMs));
	}

}
