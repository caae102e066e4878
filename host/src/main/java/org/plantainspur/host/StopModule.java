package org.plantainspur.host;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;

import org.plantainspur.adapters.http.CallerActivity;
import org.plantainspur.adapters.http.LocateResource;
import org.plantainspur.adapters.http.StopSignal;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.time.Clock;

/**
 * Wires the graceful shutdown.
 */
final class StopModule extends AbstractModule {

	@Provides
	@Singleton
	Resignation resignation(ChangeLog log, Member member) {
		return new PlatformResignation(log, member);
	}

	@Provides
	@Singleton
	GracefulStop gracefulStop(Clock clock, Resignation resignation, CallerActivity activity, HostSettings settings) {
		return new GracefulStop(clock, resignation, activity, new GracefulStop.Times(LocateResource.LIFETIME_MILLIS,
				settings.longestDeadlineMillis(), settings.stopIdleMillis()));
	}

	@Provides
	StopSignal stopSignal(GracefulStop stop) {
		return stop;
	}

}
