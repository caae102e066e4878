package org.plantainspur.host;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;

import org.plantainspur.adapters.http.AccountLimitHandler;
import org.plantainspur.adapters.http.BodyReader;
import org.plantainspur.adapters.http.HttpClientTargetDispatcher;
import org.plantainspur.adapters.http.InFlightRequestCounter;
import org.plantainspur.adapters.http.ShutdownSignal;
import org.plantainspur.adapters.metrics.HostMetrics;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.health.OutcomeRecorder;
import org.plantainspur.core.health.RequestQuarantine;
import org.plantainspur.core.idempotency.IdempotencyRegistry;
import org.plantainspur.core.idempotency.LocalIdempotencyRegistry;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.rate.RateLimiter;
import org.plantainspur.core.request.BudgetedRetryPolicy;
import org.plantainspur.core.request.RequestPipeline;
import org.plantainspur.core.request.RequestRelay;
import org.plantainspur.core.request.RetryPolicy;
import org.plantainspur.core.request.StandardRequestPipeline;
import org.plantainspur.core.request.TargetDispatcher;
import org.plantainspur.core.request.TrafficCountingDispatcher;
import org.plantainspur.core.routing.AdmissionQueue;
import org.plantainspur.core.routing.CrossRegionTraffic;
import org.plantainspur.core.routing.LoadSheddingDetector;
import org.plantainspur.core.routing.TargetChooser;
import org.plantainspur.core.time.Clock;

/**
 * Binds the pipeline that serves requests and the limits on callers.
 */
final class RequestModule extends AbstractModule {

	@Provides
	@Singleton
	IdempotencyRegistry idempotencyRegistry(Member self, Clock clock) {
		return LocalIdempotencyRegistry.builder(self.hostId(), self.processId()).clock(clock).build();
	}

	@Provides
	@Singleton
	TargetDispatcher targetDispatcher(ConfigurationView view) {
		return new HttpClientTargetDispatcher(() -> view.current().membership().size());
	}

	@Provides
	@Singleton
	RetryPolicy retryPolicy(LoadSheddingDetector loadSheddingDetector) {
		return new BudgetedRetryPolicy(loadSheddingDetector);
	}

	@Provides
	@Singleton
	CrossRegionTraffic crossRegionTraffic(HostSettings settings) {
		return new CrossRegionTraffic(settings.region());
	}

	@Provides
	@Singleton
	InFlightRequestCounter inFlightRequestCounter(Clock clock) {
		return new InFlightRequestCounter(clock);
	}

	@Provides
	BodyReader bodyReader(Clock clock, HostSettings settings) {
		return new BodyReader(clock, settings.callerDataRate());
	}

	@Provides
	@Singleton
	AccountLimitHandler accountLimitHandler(ConfigurationView view, InFlightRequestCounter inFlightRequests,
			ShutdownSignal shutdownSignal, HostSettings settings) {
		return new AccountLimitHandler(view, inFlightRequests, shutdownSignal,
				new AccountLimitHandler.Limits(settings.accountConnections(), settings.accountRequests()));
	}

	@Provides
	@Singleton
	RequestPipeline requestPipeline(Clock clock, ConfigurationView view, CurrencyRule currency,
			IdempotencyRegistry idempotencyRegistry, RequestRelay relay, RateLimiter rateLimiter,
			AdmissionQueue admissionQueue, TargetChooser chooser, TargetDispatcher dispatcher, RetryPolicy retryPolicy,
			OutcomeRecorder recorder, RequestQuarantine quarantine, HostMetrics metrics, CrossRegionTraffic traffic) {
		RequestPipeline pipeline = StandardRequestPipeline.builder()
			.clock(clock)
			.view(view)
			.currency(currency)
			.idempotencyRegistry(idempotencyRegistry)
			.relay(relay)
			.rateLimiter(rateLimiter)
			.admissionQueue(metrics.measure(admissionQueue))
			.chooser(chooser)
			.dispatcher(new TrafficCountingDispatcher(metrics.measure(dispatcher), traffic))
			.retryPolicy(metrics.measure(retryPolicy))
			.recorder(recorder)
			.quarantine(quarantine)
			.build();
		return metrics.measure(pipeline, view);
	}

}
