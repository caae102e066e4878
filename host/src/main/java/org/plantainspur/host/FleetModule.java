package org.plantainspur.host;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;

import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ConfigurationFollower;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.PeerConfigurationFetcher;
import org.plantainspur.core.configuration.SnapshotStore;
import org.plantainspur.core.configuration.SnapshotWriter;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.currency.HeartbeatExchange;
import org.plantainspur.core.currency.QuorumCurrencyRule;
import org.plantainspur.core.membership.HostAssignment;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.MembershipManager;
import org.plantainspur.core.membership.PeerProgress;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.rate.RateLimiter;
import org.plantainspur.core.rate.SharedRateLimiter;
import org.plantainspur.core.routing.PeerTargetFetcher;
import org.plantainspur.core.routing.TargetDirectory;
import org.plantainspur.core.time.Clock;

/**
 * Wires what the members decide together: currency, membership and rate shares.
 */
final class FleetModule extends AbstractModule {

	@Provides
	@Singleton
	QuorumCurrencyRule quorumCurrencyRule(Clock clock, Member member, HostSettings settings) {
		return new QuorumCurrencyRule(clock, member, settings.platformRegion());
	}

	@Provides
	CurrencyRule currencyRule(QuorumCurrencyRule rule) {
		return rule;
	}

	@Provides
	@Singleton
	PeerConfigurationFetcher peerConfiguration(ConfigurationView view, ConfigurationFollower follower, PeerLink link,
			HostSettings settings) {
		List<Member> seeds = Arrays.stream(settings.seeds().split(","))
			.map(String::trim)
			.filter((address) -> !address.isEmpty())
			.map((address) -> Member.builder("seed-" + address, "").peerAddress(address).build())
			.toList();
		return new PeerConfigurationFetcher(view, follower, link, seeds);
	}

	@Provides
	@Singleton
	PeerTargetFetcher peerTargets(AtomicReference<TargetDirectory> directory, ConfigurationView view, PeerLink link,
			Member member) {
		return new PeerTargetFetcher(directory, view, link, member);
	}

	@Provides
	@Singleton
	ConfigurationUpdates configurationUpdates(ConfigurationFollower follower, PeerConfigurationFetcher peers,
			ConfigurationView view, PeerLink link, Member member) {
		return new ConfigurationUpdates(follower, peers, view, link, member);
	}

	@Provides
	@Singleton
	HeartbeatExchange heartbeatExchange(Clock clock, ConfigurationView view, ConfigurationFollower follower,
			PeerLink link, Member member, QuorumCurrencyRule rule, ConfigurationUpdates updates) {
		return new HeartbeatExchange(clock, view, follower, link, member, rule, updates::noticed);
	}

	@Provides
	PeerProgress peerProgress(HeartbeatExchange heartbeats) {
		return heartbeats;
	}

	@Provides
	@Singleton
	MembershipManager membershipKeeper(ConfigurationView view, ChangeLog log, HeartbeatExchange heartbeats, Clock clock,
			Member member) {
		return new MembershipManager(view, log, heartbeats, clock, member);
	}

	@Provides
	@Singleton
	SnapshotWriter snapshotWriter(ConfigurationView view, SnapshotStore store, MembershipManager keeper) {
		return new SnapshotWriter(view, store, keeper::isCoordinator);
	}

	@Provides
	@Singleton
	SharedRateLimiter sharedRateLimiter(Member member, Clock clock, ConfigurationView view, CurrencyRule currency,
			PeerLink link, HostAssignment homeHosts, PeerProgress progress) {
		return SharedRateLimiter.builder(member)
			.clock(clock)
			.view(view)
			.currency(currency)
			.link(link)
			.homeHosts(homeHosts)
			.progress(progress)
			.build();
	}

	@Provides
	RateLimiter rateLimiter(SharedRateLimiter limiter) {
		return limiter;
	}

}
