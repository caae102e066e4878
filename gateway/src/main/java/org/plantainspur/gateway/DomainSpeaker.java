package org.plantainspur.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.ToLongFunction;

import org.plantainspur.core.fleet.DigestSchedule;
import org.plantainspur.core.fleet.DomainDigest;
import org.plantainspur.core.fleet.DomainTally;
import org.plantainspur.core.fleet.HostBeat;
import org.plantainspur.core.fleet.RegionNews;
import org.plantainspur.core.fleet.Usage;
import org.plantainspur.core.target.Place;

/**
 * Speaks for the failure domain to the others, while this host is its first. Usage goes
 * to all failure domains, news of targets to those of the same region, where requests go
 * that find no target at home. Used by the control thread.
 */
final class DomainSpeaker {

	private final String failureDomain;

	private final Set<String> domains;

	private final Place place;

	private final HostBook book;

	private final ToLongFunction<HostBeat> silenceMs;

	private final BiConsumer<HostBeat, Iterable<String>> sender;

	private final DomainTally tally = new DomainTally();

	private final DigestSchedule schedule = new DigestSchedule();

	private final RegionNews news = new RegionNews();

	private final Set<String> pressed = new HashSet<>();

	/**
	 * Creates a speaker.
	 * @param settings the host's settings
	 * @param book knows the hosts of the other failure domains
	 * @param silenceMs the time since a host was last heard, in milliseconds
	 * @param sender sends a beat to peer addresses
	 */
	DomainSpeaker(GatewaySettings settings, HostBook book, ToLongFunction<HostBeat> silenceMs,
			BiConsumer<HostBeat, Iterable<String>> sender) {
		this.failureDomain = settings.failureDomain();
		this.domains = settings.regions().keySet();
		this.place = new Place(settings.failureDomain(), settings.regions());
		this.book = book;
		this.silenceMs = silenceMs;
		this.sender = sender;
	}

	/**
	 * Takes what a host of the failure domain tells, this one included.
	 * @param beat its beat
	 */
	void heard(HostBeat beat) {
		this.pressed.addAll(beat.pressed());
		this.news.add(beat.failedTargets(), beat.soundTargets());
	}

	/**
	 * Tells the other failure domains what is due, if this host speaks for its own.
	 * @param own this host's last beat
	 * @param domain the beats of the failure domain's hosts in order of their names
	 * @param now the reading of the clock
	 */
	void speak(HostBeat own, List<HostBeat> domain, long now) {
		if (!domain.get(0).host().equals(own.host())) {
			this.pressed.clear();
			this.news.clear();
			return;
		}
		this.book.findElsewhere(this.domains, this.silenceMs, now);
		Map<String, Usage> usage = this.schedule.due(this.tally.sum(domain), this.pressed, now);
		if (!usage.isEmpty()) {
			this.pressed.clear();
		}
		RegionNews.Told told = this.news.take(now);
		if (!usage.isEmpty() || !told.isEmpty()) {
			send(own, digest(own, usage, told), Place.Distance.SAME_REGION);
		}
		if (!usage.isEmpty()) {
			send(own, digest(own, usage, RegionNews.Told.NOTHING), Place.Distance.OTHER_REGION);
		}
	}

	private DomainDigest digest(HostBeat own, Map<String, Usage> usage, RegionNews.Told told) {
		return new DomainDigest(this.failureDomain, own.host(), System.currentTimeMillis(), usage, told.failed(),
				told.sound());
	}

	private void send(HostBeat own, DomainDigest digest, Place.Distance distance) {
		this.sender.accept(own.abroad(digest),
				this.book.listenersElsewhere((domain) -> this.place.to(domain) == distance, this.silenceMs));
	}

}
