package org.plantainspur.core.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.health.OutcomeRecorder;
import org.plantainspur.core.health.Quarantine;
import org.plantainspur.core.once.OnceGate;
import org.plantainspur.core.rate.RateLimiter;
import org.plantainspur.core.routing.AdmissionQueue;
import org.plantainspur.core.routing.RouteTable;
import org.plantainspur.core.routing.TargetChooser;
import org.plantainspur.core.time.Clock;

/**
 * Serves a request in this order: route, key, currency of the configuration, at-most-once
 * record, rate, admission, the key and the currency again, choice of the target,
 * dispatch.
 */
public final class StandardRequestPipeline implements RequestPipeline {

	/** The account under which requests on open routes run. */
	public static final ClientAccount OPEN_ACCOUNT = new ClientAccount("open", Double.MAX_VALUE, Double.MAX_VALUE);

	private static final int SERVER_ERROR = 500;

	/**
	 * Fields that hold for one connection (RFC 9110, section 7.6.1), and those that only
	 * the system may set.
	 */
	private static final Set<String> NOT_PASSED_ON = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "expect",
			Headers.API_KEY.toLowerCase(Locale.ROOT), Headers.CLIENT_ACCOUNT.toLowerCase(Locale.ROOT),
			Headers.REQUEST_ID.toLowerCase(Locale.ROOT), Headers.DEADLINE.toLowerCase(Locale.ROOT));

	private final Clock clock;

	private final ConfigurationView view;

	private final CurrencyRule currency;

	private final OnceGate onceGate;

	private final RequestRelay relay;

	private final RateLimiter rateLimiter;

	private final AdmissionQueue admissionQueue;

	private final TargetChooser chooser;

	private final TargetDispatcher dispatcher;

	private final RetryPolicy retryPolicy;

	private final OutcomeRecorder recorder;

	private final Quarantine quarantine;

	private final AtomicReference<Routing> routing;

	private StandardRequestPipeline(Builder builder) {
		this.clock = required(builder.clock, "clock");
		this.view = required(builder.view, "view");
		this.currency = required(builder.currency, "currency");
		this.onceGate = required(builder.onceGate, "onceGate");
		this.relay = required(builder.relay, "relay");
		this.rateLimiter = required(builder.rateLimiter, "rateLimiter");
		this.admissionQueue = required(builder.admissionQueue, "admissionQueue");
		this.chooser = required(builder.chooser, "chooser");
		this.dispatcher = required(builder.dispatcher, "dispatcher");
		this.retryPolicy = required(builder.retryPolicy, "retryPolicy");
		this.recorder = required(builder.recorder, "recorder");
		this.quarantine = required(builder.quarantine, "quarantine");
		this.routing = new AtomicReference<>(Routing.of(Configuration.empty()));
	}

	private static <T> T required(@Nullable T collaborator, String name) {
		if (collaborator == null) {
			throw new IllegalStateException("the builder's '" + name + "' is not set; call ." + name + "(...)");
		}
		return collaborator;
	}

	/**
	 * Returns a builder; every collaborator must be set.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	@Override
	public CallerAnswer serve(CallerRequest request) {
		this.retryPolicy.requestArrived();
		Route route = routing().table().match(request.method(), request.path());
		if (route == null) {
			return refuse(request, Problem.notRun(Problem.Code.NO_ROUTE,
					"no route matches " + request.method() + " " + request.path()));
		}
		Long timeout = timeoutMillis(request, route);
		if (timeout == null) {
			return refuse(request, Problem.notRun(Problem.Code.BAD_REQUEST,
					Headers.DEADLINE + " is not a positive number of milliseconds; send a value such as 2000"));
		}
		Passage passage = new Passage(request, route, request.receivedMillis() + timeout);
		Problem refusal = checkRight(passage);
		if (refusal != null) {
			return refuse(request, refusal);
		}
		return route.idempotent() ? run(passage) : runOnce(passage);
	}

	// A repeat of a non-idempotent request may be refused although an earlier one with
	// the
	// same key ran, perhaps when the route or the key was still valid.
	private CallerAnswer refuse(CallerRequest request, Problem problem) {
		String key = request.headers().first(Headers.IDEMPOTENCY_KEY);
		boolean notRun = key == null || this.onceGate.certainlyNotRun(key);
		return (notRun ? problem : problem.mayHaveRun()).refuse();
	}

	private Routing routing() {
		Configuration configuration = this.view.current();
		Routing compiled = this.routing.get();
		if (compiled.configuration() != configuration) {
			compiled = Routing.of(configuration);
			this.routing.set(compiled);
		}
		return compiled;
	}

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

	// Called on arrival and again before each dispatch, since a key may be withdrawn
	// while
	// its request waits.
	private @Nullable Problem checkRight(Passage passage) {
		if (passage.route.open()) {
			return null;
		}
		if (this.currency.check() instanceof CurrencyRule.Currency.Stale stale) {
			return Problem.notRun(Problem.Code.CONFIGURATION_NOT_CURRENT, stale.reason()).retryAfter(1000);
		}
		String keyHash = passage.keyHash();
		ClientAccount account = (keyHash != null) ? this.view.current().accountOfKey(keyHash) : null;
		if (account == null) {
			return Problem.notRun(Problem.Code.KEY_NOT_VALID,
					"the key in " + Headers.API_KEY + " is missing, unknown or withdrawn");
		}
		passage.account = account;
		return null;
	}

	private CallerAnswer runOnce(Passage passage) {
		String key = passage.request.headers().first(Headers.IDEMPOTENCY_KEY);
		if (key == null) {
			return Problem
				.notRun(Problem.Code.IDEMPOTENCY_KEY_NOT_VALID,
						"the route " + passage.route.id() + " is not idempotent; send " + Headers.IDEMPOTENCY_KEY
								+ ": <dispatch token>.<a value of your own>")
				.refuse();
		}
		OnceGate.OnceDecision decision = this.onceGate.enter(passage.account.id(), key,
				RequestFingerprint.of(passage.request));
		if (decision instanceof OnceGate.OnceDecision.Dispatch dispatch) {
			return runWithTicket(passage, dispatch.ticket());
		}
		if (decision instanceof OnceGate.OnceDecision.Join join) {
			return await(join.answer(), passage);
		}
		if (decision instanceof OnceGate.OnceDecision.Relay owner) {
			return this.relay.relay(owner.hostId(), owner.processId(), passage.request, passage.deadlineMillis);
		}
		return ((OnceGate.OnceDecision.Refuse) decision).refusal();
	}

	private CallerAnswer runWithTicket(Passage passage, OnceGate.Ticket ticket) {
		CallerAnswer answer = Problem.unknown(Problem.Code.TARGET_FAILED, "an internal error ended the request")
			.refuse();
		try {
			answer = run(passage);
			return answer;
		}
		finally {
			if (answer instanceof CallerAnswer.Refused refused && refused.problem().run() == Problem.Run.NOT_RUN) {
				ticket.notRun(refused);
			}
			else {
				ticket.answered(answer);
			}
		}
	}

	private CallerAnswer await(CompletableFuture<CallerAnswer> answer, Passage passage) {
		try {
			return answer.get(Math.max(0, passage.deadlineMillis - this.clock.millis()), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Problem.unknown(Problem.Code.TARGET_FAILED, "interrupted while the first request runs").refuse();
		}
		catch (ExecutionException | TimeoutException ex) {
			return Problem.unknown(Problem.Code.TARGET_TIMEOUT, "the first request with this key still runs").refuse();
		}
	}

	private CallerAnswer run(Passage passage) {
		if (this.quarantine.holds(passage.fingerprint())) {
			return Problem
				.unknown(Problem.Code.REQUEST_QUARANTINED, "this request has crashed the targets that ran it before")
				.refuse();
		}
		if (!passage.route.open() && this.rateLimiter.acquire(passage.account,
				passage.deadlineMillis) instanceof RateLimiter.RateDecision.Limited limited) {
			return Problem
				.notRun(Problem.Code.RATE_LIMITED, "client account " + passage.account.id() + " is over its rate")
				.retryAfter(limited.retryAfterMillis())
				.refuse();
		}
		AdmissionQueue.Admission admission = this.admissionQueue.admit(passage.route.service(), passage.account,
				passage.deadlineMillis);
		if (admission instanceof AdmissionQueue.Admission.Rejected rejected) {
			return noCapacity(passage, rejected.retryAfterMillis()).refuse();
		}
		try (AdmissionQueue.Permit permit = ((AdmissionQueue.Admission.Admitted) admission).permit()) {
			return attempt(passage);
		}
	}

	private static Problem noCapacity(Passage passage, long retryAfterMillis) {
		return Problem
			.notRun(Problem.Code.NO_CAPACITY,
					"service " + passage.route.service() + " has no capacity within the deadline")
			.retryAfter(retryAfterMillis);
	}

	private CallerAnswer attempt(Passage passage) {
		Set<String> tried = new HashSet<>();
		while (true) {
			Problem refusal = checkRight(passage);
			if (refusal != null) {
				return passage.refuse(refusal);
			}
			TargetChooser.TargetLease lease = this.chooser.choose(passage.route.service(), tried);
			if (lease == null) {
				return passage.lastAnswer(noCapacity(passage, 1000));
			}
			DispatchOutcome outcome = dispatch(passage, lease);
			tried.add(lease.target().id());
			passage.attempts++;
			passage.note(outcome);
			if (!this.retryPolicy.retry(passage.route, outcome, passage.attempts)
					|| this.clock.millis() >= passage.deadlineMillis) {
				return passage.lastAnswer(noCapacity(passage, 1000));
			}
		}
	}

	private DispatchOutcome dispatch(Passage passage, TargetChooser.TargetLease lease) {
		try (lease) {
			long started = this.clock.millis();
			long left = passage.deadlineMillis - started;
			if (left <= 0) {
				return new DispatchOutcome.NotSent("the deadline has passed");
			}
			DispatchOutcome outcome = this.dispatcher.dispatch(lease.target(), targetRequest(passage, left),
					passage.route.idempotent(), left);
			record(passage, lease, outcome, this.clock.millis() - started);
			return outcome;
		}
	}

	private CallerRequest targetRequest(Passage passage, long left) {
		CallerRequest request = passage.request;
		Headers headers = request.headers()
			.without(NOT_PASSED_ON)
			.with(Headers.CLIENT_ACCOUNT, passage.account.id())
			.with(Headers.REQUEST_ID, passage.requestId)
			.with(Headers.DEADLINE, Long.toString(left));
		return new CallerRequest(request.method(), request.path(), request.query(), headers, request.body(),
				request.receivedMillis());
	}

	private void record(Passage passage, TargetChooser.TargetLease lease, DispatchOutcome outcome, long latency) {
		OutcomeRecorder.Kind kind = kind(outcome);
		this.recorder.record(new OutcomeRecorder.Outcome(lease.target(), passage.account.id(), passage.fingerprint(),
				kind, latency));
		if (saysLeaving(outcome)) {
			this.recorder.leaving(lease.target());
		}
	}

	private static boolean saysLeaving(DispatchOutcome outcome) {
		if (outcome instanceof DispatchOutcome.Answered answered) {
			return "draining".equals(answered.headers().first(Headers.TARGET_STATE));
		}
		return outcome instanceof DispatchOutcome.RefusedByTarget refused && refused.draining();
	}

	private static OutcomeRecorder.Kind kind(DispatchOutcome outcome) {
		if (outcome instanceof DispatchOutcome.Answered answered) {
			return (answered.status() < SERVER_ERROR) ? OutcomeRecorder.Kind.SUCCESS : OutcomeRecorder.Kind.FAILURE;
		}
		if (outcome instanceof DispatchOutcome.NotSent) {
			return OutcomeRecorder.Kind.CONNECT_FAILURE;
		}
		if (outcome instanceof DispatchOutcome.RefusedByTarget) {
			return OutcomeRecorder.Kind.SHED;
		}
		return switch (((DispatchOutcome.Unknown) outcome).cause()) {
			case TIMEOUT -> OutcomeRecorder.Kind.TIMEOUT;
			case RESET -> OutcomeRecorder.Kind.RESET;
			case TOO_LARGE -> OutcomeRecorder.Kind.SUCCESS;
		};
	}

	/**
	 * The routes of one configuration.
	 */
	private record Routing(Configuration configuration, RouteTable table) {

		static Routing of(Configuration configuration) {
			return new Routing(configuration, RouteTable.of(configuration));
		}

	}

	/**
	 * One request on its way; confined to the thread that serves it.
	 */
	private static final class Passage {

		private final CallerRequest request;

		private final Route route;

		private final long deadlineMillis;

		private final String requestId = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());

		private ClientAccount account = OPEN_ACCOUNT;

		private int attempts;

		private boolean mayHaveRun;

		private @Nullable DispatchOutcome last;

		private @Nullable String keyHash;

		private @Nullable String fingerprint;

		Passage(CallerRequest request, Route route, long deadlineMillis) {
			this.request = request;
			this.route = route;
			this.deadlineMillis = deadlineMillis;
		}

		@Nullable String keyHash() {
			if (this.keyHash == null) {
				String key = this.request.headers().first(Headers.API_KEY);
				this.keyHash = (key != null) ? KeyHash.of(key) : null;
			}
			return this.keyHash;
		}

		String fingerprint() {
			if (this.fingerprint == null) {
				MessageDigest digest = KeyHash.digest();
				digest.update(this.account.id().getBytes(StandardCharsets.UTF_8));
				String idempotencyKey = this.request.headers().first(Headers.IDEMPOTENCY_KEY);
				String name = (idempotencyKey != null) ? "\nkey " + idempotencyKey
						: "\n" + this.request.method() + " " + this.request.path() + "?" + this.request.query() + "\n";
				digest.update(name.getBytes(StandardCharsets.UTF_8));
				if (idempotencyKey == null) {
					digest.update(this.request.body());
				}
				this.fingerprint = HexFormat.of().formatHex(digest.digest(), 0, 16);
			}
			return this.fingerprint;
		}

		void note(DispatchOutcome outcome) {
			this.last = outcome;
			this.mayHaveRun = this.mayHaveRun || outcome instanceof DispatchOutcome.Unknown
					|| outcome instanceof DispatchOutcome.Answered;
		}

		CallerAnswer refuse(Problem problem) {
			return (this.mayHaveRun
					? new Problem(problem.code(), Problem.Run.UNKNOWN, problem.detail(), problem.retryAfterMillis())
					: problem)
				.refuse();
		}

		CallerAnswer lastAnswer(Problem noCapacity) {
			if (this.last instanceof DispatchOutcome.Answered answered) {
				return new CallerAnswer.Answered(answered.status(), answered.headers(), answered.body());
			}
			if (this.last instanceof DispatchOutcome.Unknown unknown) {
				Problem.Code code = (unknown.cause() == DispatchOutcome.Unknown.Cause.TIMEOUT)
						? Problem.Code.TARGET_TIMEOUT : Problem.Code.TARGET_FAILED;
				return Problem.unknown(code, unknown.reason()).refuse();
			}
			return refuse(noCapacity);
		}

	}

	/**
	 * Builds a {@link StandardRequestPipeline}.
	 */
	public static final class Builder {

		private @Nullable Clock clock;

		private @Nullable ConfigurationView view;

		private @Nullable CurrencyRule currency;

		private @Nullable OnceGate onceGate;

		private @Nullable RequestRelay relay;

		private @Nullable RateLimiter rateLimiter;

		private @Nullable AdmissionQueue admissionQueue;

		private @Nullable TargetChooser chooser;

		private @Nullable TargetDispatcher dispatcher;

		private @Nullable RetryPolicy retryPolicy;

		private @Nullable OutcomeRecorder recorder;

		private @Nullable Quarantine quarantine;

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

		public Builder onceGate(OnceGate onceGate) {
			this.onceGate = onceGate;
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

		public Builder quarantine(Quarantine quarantine) {
			this.quarantine = quarantine;
			return this;
		}

		public StandardRequestPipeline build() {
			return new StandardRequestPipeline(this);
		}

	}

}
