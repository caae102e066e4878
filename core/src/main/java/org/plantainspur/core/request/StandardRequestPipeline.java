package org.plantainspur.core.request;

import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.finding.Required;
import org.plantainspur.core.health.OutcomeRecorder;
import org.plantainspur.core.health.RequestQuarantine;
import org.plantainspur.core.idempotency.IdempotencyRegistry;
import org.plantainspur.core.rate.RateLimiter;
import org.plantainspur.core.routing.AdmissionQueue;
import org.plantainspur.core.routing.RouteTable;
import org.plantainspur.core.routing.TargetChooser;
import org.plantainspur.core.time.Clock;

/**
 * Serves a request in these steps: match the route, check the API key and that the
 * configuration is current, register a non-idempotent request under its idempotency key,
 * check the quarantine and the account's rate, wait for admission; then, for each
 * attempt, check the API key and the configuration again, choose a target and dispatch.
 */
public final class StandardRequestPipeline implements RequestPipeline {

	/**
	 * The account of requests on open routes, which need no API key and have no rate
	 * limit.
	 */
	public static final ClientAccount OPEN_ACCOUNT = new ClientAccount("open", Double.MAX_VALUE, Double.MAX_VALUE);

	private final Clock clock;

	private final ConfigurationView view;

	private final AtMostOnceExecutor atMostOnce;

	private final RateLimiter rateLimiter;

	private final AdmissionQueue admissionQueue;

	private final RetryPolicy retryPolicy;

	private final RequestQuarantine quarantine;

	private final AccessCheck accessCheck;

	private final TargetAttempts attempts;

	private final AtomicReference<CompiledRoutes> routes;

	private StandardRequestPipeline(Builder builder) {
		this.clock = Required.of(builder.clock, "clock");
		this.view = Required.of(builder.view, "view");
		this.atMostOnce = new AtMostOnceExecutor(this.clock,
				Required.of(builder.idempotencyRegistry, "idempotencyRegistry"), Required.of(builder.relay, "relay"));
		this.rateLimiter = Required.of(builder.rateLimiter, "rateLimiter");
		this.admissionQueue = Required.of(builder.admissionQueue, "admissionQueue");
		this.retryPolicy = Required.of(builder.retryPolicy, "retryPolicy");
		this.quarantine = Required.of(builder.quarantine, "quarantine");
		this.accessCheck = new AccessCheck(this.view, Required.of(builder.currency, "currency"), this::routeIsOpen);
		this.attempts = new TargetAttempts(this.clock, this.accessCheck, Required.of(builder.chooser, "chooser"),
				Required.of(builder.dispatcher, "dispatcher"), this.retryPolicy,
				Required.of(builder.recorder, "recorder"));
		this.routes = new AtomicReference<>(CompiledRoutes.of(Configuration.empty()));
	}

	/**
	 * Returns a builder.
	 * @return a builder on which every property must be set
	 */
	public static Builder builder() {
		return new Builder();
	}

	@Override
	public CallerAnswer serve(CallerRequest request) {
		this.retryPolicy.requestArrived();
		Route route = currentRoutes().table().match(request.method(), request.path());
		if (route == null) {
			return this.atMostOnce.refuse(request, Problem.notRun(Problem.Code.NO_ROUTE,
					"no route matches " + request.method() + " " + request.path()));
		}
		Long timeout = timeoutMillis(request, route);
		if (timeout == null) {
			return this.atMostOnce.refuse(request, Problem.notRun(Problem.Code.BAD_REQUEST,
					Headers.DEADLINE + " is not a positive number of milliseconds; send a value such as 2000"));
		}
		RequestContext context = new RequestContext(request, route, request.receivedMillis() + timeout);
		Problem refusal = this.accessCheck.check(context);
		if (refusal != null) {
			return this.atMostOnce.refuse(request, refusal);
		}
		return context.atMostOnce() ? this.atMostOnce.serve(context, this::admitAndRun) : admitAndRun(context);
	}

	private boolean routeIsOpen(CallerRequest request) {
		Route route = currentRoutes().table().match(request.method(), request.path());
		return route != null && route.open();
	}

	private CompiledRoutes currentRoutes() {
		Configuration configuration = this.view.current();
		CompiledRoutes compiled = this.routes.get();
		if (compiled.configuration() != configuration) {
			compiled = CompiledRoutes.of(configuration);
			this.routes.set(compiled);
		}
		return compiled;
	}

	// Returns null if the caller's deadline is not valid.
	private static @Nullable Long timeoutMillis(CallerRequest request, Route route) {
		String deadline = request.headers().first(Headers.DEADLINE);
		if (deadline == null) {
			return route.timeoutMillis();
		}
		try {
			long millis = Long.parseLong(deadline.trim());
			return (millis > 0) ? Math.min(millis, route.timeoutMillis()) : null;
		}
		catch (NumberFormatException ex) {
			return null;
		}
	}

	private CallerAnswer admitAndRun(RequestContext context) {
		if (this.quarantine.quarantined(context.quarantineFingerprint())) {
			return Problem
				.unknown(Problem.Code.REQUEST_QUARANTINED, "this request has crashed the targets that ran it before")
				.toRefusal();
		}
		if (!context.route().open() && this.rateLimiter.acquire(context.account(),
				context.deadlineMillis()) instanceof RateLimiter.RateDecision.Limited limited) {
			return Problem
				.notRun(Problem.Code.RATE_LIMITED,
						"client account " + context.account().id() + " exceeds its request rate")
				.retryAfter(limited.retryAfterMillis())
				.toRefusal();
		}
		AdmissionQueue.Admission admission = this.admissionQueue.admit(context.route().service(), context.account(),
				context.deadlineMillis());
		if (admission instanceof AdmissionQueue.Admission.Rejected rejected) {
			return context.noCapacityProblem(rejected.retryAfterMillis()).toRefusal();
		}
		try (AdmissionQueue.Permit permit = ((AdmissionQueue.Admission.Admitted) admission).permit()) {
			return this.attempts.run(context);
		}
	}

	/**
	 * The route table of one configuration, kept until the configuration changes.
	 */
	private record CompiledRoutes(Configuration configuration, RouteTable table) {

		static CompiledRoutes of(Configuration configuration) {
			return new CompiledRoutes(configuration, RouteTable.of(configuration));
		}

	}

	/**
	 * Builds a {@link StandardRequestPipeline}.
	 */
	public static final class Builder {

		private @Nullable Clock clock;

		private @Nullable ConfigurationView view;

		private @Nullable CurrencyRule currency;

		private @Nullable IdempotencyRegistry idempotencyRegistry;

		private @Nullable RequestRelay relay;

		private @Nullable RateLimiter rateLimiter;

		private @Nullable AdmissionQueue admissionQueue;

		private @Nullable TargetChooser chooser;

		private @Nullable TargetDispatcher dispatcher;

		private @Nullable RetryPolicy retryPolicy;

		private @Nullable OutcomeRecorder recorder;

		private @Nullable RequestQuarantine quarantine;

		public Builder clock(Clock clock) {
			this.clock = clock;
			return this;
		}

		public Builder view(ConfigurationView view) {
			this.view = view;
			return this;
		}

		public Builder currency(CurrencyRule currency) {
			this.currency = currency;
			return this;
		}

		public Builder idempotencyRegistry(IdempotencyRegistry idempotencyRegistry) {
			this.idempotencyRegistry = idempotencyRegistry;
			return this;
		}

		public Builder relay(RequestRelay relay) {
			this.relay = relay;
			return this;
		}

		public Builder rateLimiter(RateLimiter rateLimiter) {
			this.rateLimiter = rateLimiter;
			return this;
		}

		public Builder admissionQueue(AdmissionQueue admissionQueue) {
			this.admissionQueue = admissionQueue;
			return this;
		}

		public Builder chooser(TargetChooser chooser) {
			this.chooser = chooser;
			return this;
		}

		public Builder dispatcher(TargetDispatcher dispatcher) {
			this.dispatcher = dispatcher;
			return this;
		}

		public Builder retryPolicy(RetryPolicy retryPolicy) {
			this.retryPolicy = retryPolicy;
			return this;
		}

		public Builder recorder(OutcomeRecorder recorder) {
			this.recorder = recorder;
			return this;
		}

		public Builder quarantine(RequestQuarantine quarantine) {
			this.quarantine = quarantine;
			return this;
		}

		public StandardRequestPipeline build() {
			return new StandardRequestPipeline(this);
		}

	}

}
