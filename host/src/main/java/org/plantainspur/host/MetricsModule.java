package org.plantainspur.host;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;

import org.plantainspur.adapters.http.InFlightRequestCounter;
import org.plantainspur.adapters.metrics.HostMetrics;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.routing.CrossRegionTraffic;

/**
 * Binds the host's metrics and the values that they sample.
 */
final class MetricsModule extends AbstractModule {

	@Provides
	@Singleton
	HostMetrics hostMetrics(CurrencyRule currency, ConfigurationView view, InFlightRequestCounter inFlightRequests,
			CrossRegionTraffic traffic) {
		HostMetrics metrics = new HostMetrics();
		metrics.registerStateGauges(() -> currency.check() instanceof CurrencyRule.Currency.Current,
				() -> view.current().sequence(), inFlightRequests::inFlight);
		metrics.registerCrossRegionBytes(traffic);
		return metrics;
	}

}
