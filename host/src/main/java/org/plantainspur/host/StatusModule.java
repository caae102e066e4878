package org.plantainspur.host;

import java.util.concurrent.atomic.AtomicReference;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;

import org.plantainspur.adapters.http.AccountLimitHandler;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.health.EvidenceCollector;
import org.plantainspur.core.health.HealthView;
import org.plantainspur.core.membership.HomeHosts;
import org.plantainspur.core.routing.TargetDirectory;
import org.plantainspur.core.time.Clock;

/**
 * Wires what operators may ask.
 */
final class StatusModule extends AbstractModule {

	@Provides
	@Singleton
	StatusSources statusSources(AtomicReference<TargetDirectory> directory, ConfigurationView view, HomeHosts homeHosts,
			AccountLimitHandler limits, HealthView health, EvidenceCollector collector, Clock clock) {
		return new CurrentStatusSources(directory, view, homeHosts, limits, health, collector, clock);
	}

}
