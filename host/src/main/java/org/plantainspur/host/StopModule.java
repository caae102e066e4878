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
import org.plantainspur.core.membership.MembershipKeeper;
import org.plantainspur.core.rate.SharedRateLimiter;
import org.plantainspur.core.time.Clock;

/**
 * Wires the graceful shutdown.
 */
final class StopModule extends AbstractModule {

	@Override
	protected void configure() {
		bind(StopTrigger.class).to(ShutdownHook.class);
	}

	@Provides
	@Singleton
	Resignation resignation(ChangeLog log, Member member, SharedRateLimiter limiter, MembershipKeeper keeper) {
		return new PlatformResignation(log, member, limiter, keeper);
	}

	@Provides
	@Singleton
	GracefulStop gracefulStop(Clock clock, Resignation resignation, InFlightRequestCounter activity,
			IdempotencyRegistry onceGate, GracefulStop.Times times) {
		return new GracefulStop(clock, resignation, activity, onceGate::idle, times);
	}

	@Provides
	GracefulStop.Times stopTimes(HostSettings settings) {
		return new GracefulStop.Times(LocateResource.LIFETIME_MILLIS, settings.longestDeadlineMillis(),
				settings.stopIdleMillis());
	}

	@Provides
	ShutdownSignal stopSignal(GracefulStop stop) {
		return stop;
	}

}
