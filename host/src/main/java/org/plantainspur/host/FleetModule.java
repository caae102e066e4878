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
import org.plantainspur.core.currency.RelayTokenReadiness;
import org.plantainspur.core.idempotency.TokenReadiness;
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
 * Binds what the members of the fleet coordinate: whether the configuration is current,
 * the membership and the shares of rate limits.
 */
final class FleetModule extends AbstractModule {

	@Provides
	@Singleton
	QuorumCurrencyRule quorumCurrencyRule(Clock clock, Member self, HostSettings settings) {
		return new QuorumCurrencyRule(clock, self, settings.platformRegion());
	}

	@Provides
	CurrencyRule currencyRule(QuorumCurrencyRule rule) {
		return rule;
	}

	@Provides
	@Singleton
	PeerConfigurationFetcher peerConfigurationFetcher(ConfigurationView view, ConfigurationFollower follower,
			PeerLink link, HostSettings settings) {
		List<Member> seeds = Arrays.stream(settings.seeds().split(","))
			.map(String::trim)
			.filter((address) -> !address.isEmpty())
			.map((address) -> Member.builder("seed-" + address, "").peerAddress(address).build())
			.toList();
		return new PeerConfigurationFetcher(view, follower, link, seeds);
	}

	@Provides
	@Singleton
	PeerTargetFetcher peerTargetFetcher(AtomicReference<TargetDirectory> directory, ConfigurationView view,
			PeerLink link, Member self) {
		return new PeerTargetFetcher(directory, view, link, self);
	}

	@Provides
	@Singleton
	ConfigurationPoller configurationPoller(ConfigurationFollower follower,
			PeerConfigurationFetcher configurationFetcher, ConfigurationView view, PeerLink link, Member self) {
		return new ConfigurationPoller(follower, configurationFetcher, view, link, self);
	}

	@Provides
	@Singleton
	HeartbeatExchange heartbeatExchange(Clock clock, ConfigurationView view, ConfigurationFollower follower,
			PeerLink link, Member self, QuorumCurrencyRule rule, ConfigurationPoller configurationPoller) {
		return new HeartbeatExchange(clock, view, follower, link, self, rule, configurationPoller::onNewerSequence);
	}

	@Provides
	@Singleton
	TokenReadiness tokenReadiness(Clock clock, ConfigurationView view, HeartbeatExchange heartbeats, Member self) {
		return new RelayTokenReadiness(clock, view, heartbeats, self);
	}

	@Provides
	PeerProgress peerProgress(HeartbeatExchange heartbeats) {
		return heartbeats;
	}

	@Provides
	@Singleton
	MembershipManager membershipManager(ConfigurationView view, ChangeLog log, HeartbeatExchange heartbeats,
			Clock clock, Member self) {
		return new MembershipManager(view, log, heartbeats, clock, self);
	}

	@Provides
	@Singleton
	SnapshotWriter snapshotWriter(ConfigurationView view, SnapshotStore store, MembershipManager membershipManager) {
		return new SnapshotWriter(view, store, membershipManager::isCoordinator);
	}

	@Provides
	@Singleton
	SharedRateLimiter sharedRateLimiter(Member self, Clock clock, ConfigurationView view, CurrencyRule currency,
			PeerLink link, HostAssignment hostAssignment, PeerProgress progress) {
		return SharedRateLimiter.builder(self)
			.clock(clock)
			.view(view)
			.currency(currency)
			.link(link)
			.homeHosts(hostAssignment)
			.progress(progress)
			.build();
	}

	@Provides
	RateLimiter rateLimiter(SharedRateLimiter limiter) {
		return limiter;
	}

}
