package org.plantainspur.host;

import java.util.concurrent.atomic.AtomicReference;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;

import org.plantainspur.adapters.http.AccountLimitHandler;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.health.EvidenceCollector;
import org.plantainspur.core.health.HealthView;
import org.plantainspur.core.membership.HostAssignment;
import org.plantainspur.core.routing.TargetDirectory;
import org.plantainspur.core.time.Clock;

/**
 * Binds the source of the status that operators can query.
 */
final class StatusModule extends AbstractModule {

	@Provides
	@Singleton
	StatusSource statusSource(AtomicReference<TargetDirectory> directory, ConfigurationView view,
			HostAssignment hostAssignment, AccountLimitHandler accountLimits, HealthView health,
			EvidenceCollector collector, Clock clock) {
		return new LiveStatusSource(directory, view, hostAssignment, accountLimits, health, collector, clock);
	}

}
