package org.plantainspur.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.ToLongFunction;

import org.plantainspur.core.fleet.AccountUsage;
import org.plantainspur.core.fleet.DigestSchedule;
import org.plantainspur.core.fleet.DomainDigest;
import org.plantainspur.core.fleet.DomainUsageTotals;
import org.plantainspur.core.fleet.HostHeartbeat;
import org.plantainspur.core.fleet.RegionTargetUpdates;
import org.plantainspur.core.target.HostLocation;

/**
 * Speaks for the failure domain to the others, while this host is its first. Usage goes
 * to all failure domains, news of targets to those of the same region, where requests go
 * that find no target at home. Used by the control thread.
 */
final class DomainSpeaker {

	private final String failureDomain;

	private final Set<String> domains;

	private final HostLocation place;

	private final HostBook book;

	private final ToLongFunction<HostHeartbeat> silenceMs;

	private final BiConsumer<HostHeartbeat, Iterable<String>> sender;

	private final DomainUsageTotals tally = new DomainUsageTotals();

	private final DigestSchedule schedule = new DigestSchedule();

	private final RegionTargetUpdates news = new RegionTargetUpdates();

	private final Set<String> pressed = new HashSet<>();

	/**
	 * Creates a speaker.
	 * @param settings the host's settings
	 * @param book knows the hosts of the other failure domains
	 * @param silenceMs the time since a host was last heard, in milliseconds
	 * @param sender sends a beat to peer addresses
	 */
	DomainSpeaker(GatewaySettings settings, HostBook book, ToLongFunction<HostHeartbeat> silenceMs,
			BiConsumer<HostHeartbeat, Iterable<String>> sender) {
		this.failureDomain = settings.failureDomain();
		this.domains = settings.regions().keySet();
		this.place = new HostLocation(settings.failureDomain(), settings.regions());
		this.book = book;
		this.silenceMs = silenceMs;
		this.sender = sender;
	}

	/**
	 * Takes what a host of the failure domain tells, this one included.
	 * @param beat its beat
	 */
	void heard(HostHeartbeat beat) {
		this.pressed.addAll(beat.accountsNearLimit());
		this.news.add(beat.failedTargets(), beat.recoveredTargets());
	}

	/**
	 * Tells the other failure domains what is due, if this host speaks for its own.
	 * @param own this host's last beat
	 * @param domain the beats of the failure domain's hosts in order of their names
	 * @param now the reading of the clock
	 */
	void speak(HostHeartbeat own, List<HostHeartbeat> domain, long now) {
		if (!domain.get(0).host().equals(own.host())) {
			this.pressed.clear();
			this.news.clear();
			return;
		}
		this.book.findElsewhere(this.domains, this.silenceMs, now);
		Map<String, AccountUsage> usage = this.schedule.due(this.tally.add(domain), this.pressed, now);
		if (!usage.isEmpty()) {
			this.pressed.clear();
		}
		RegionTargetUpdates.Batch told = this.news.take(now);
		if (!usage.isEmpty() || !told.isEmpty()) {
			send(own, digest(own, usage, told), HostLocation.Distance.SAME_REGION);
		}
		if (!usage.isEmpty()) {
			send(own, digest(own, usage, RegionTargetUpdates.Batch.EMPTY), HostLocation.Distance.OTHER_REGION);
		}
	}

	private DomainDigest digest(HostHeartbeat own, Map<String, AccountUsage> usage, RegionTargetUpdates.Batch told) {
		return new DomainDigest(this.failureDomain, own.host(), System.currentTimeMillis(), usage, told.failed(),
				told.recovered());
	}

	private void send(HostHeartbeat own, DomainDigest digest, HostLocation.Distance distance) {
		this.sender.accept(own.forOtherDomain(digest),
				this.book.listenersElsewhere((domain) -> this.place.distanceTo(domain) == distance, this.silenceMs));
	}

}
