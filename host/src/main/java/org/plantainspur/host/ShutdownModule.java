package org.plantainspur.host;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;

import org.plantainspur.adapters.http.InFlightRequestCounter;
import org.plantainspur.adapters.http.LocateResource;
import org.plantainspur.adapters.http.ShutdownSignal;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.idempotency.IdempotencyRegistry;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.MembershipManager;
import org.plantainspur.core.rate.SharedRateLimiter;
import org.plantainspur.core.time.Clock;

/**
 * Binds the graceful shutdown.
 */
final class ShutdownModule extends AbstractModule {

	@Override
	protected void configure() {
		bind(ShutdownTrigger.class).to(ShutdownHook.class);
	}

	@Provides
	@Singleton
	Resignation resignation(ChangeLog log, Member self, SharedRateLimiter limiter,
			MembershipManager membershipManager) {
		return new PlatformResignation(log, self, limiter, membershipManager);
	}

	@Provides
	@Singleton
	GracefulShutdown gracefulShutdown(Clock clock, Resignation resignation, InFlightRequestCounter inFlightRequests,
			IdempotencyRegistry idempotencyRegistry, GracefulShutdown.Durations durations) {
		return new GracefulShutdown(clock, resignation, inFlightRequests, idempotencyRegistry::idle, durations);
	}

	@Provides
	GracefulShutdown.Durations shutdownDurations(HostSettings settings) {
		return new GracefulShutdown.Durations(LocateResource.LIFETIME_MILLIS, settings.longestDeadlineMillis(),
				settings.stopIdleMillis());
	}

	@Provides
	ShutdownSignal shutdownSignal(GracefulShutdown gracefulShutdown) {
		return gracefulShutdown;
	}

}
