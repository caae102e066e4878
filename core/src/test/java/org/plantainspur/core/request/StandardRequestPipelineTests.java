package org.plantainspur.core.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.health.OutcomeRecorder;
import org.plantainspur.core.idempotency.LocalIdempotencyRegistry;
import org.plantainspur.core.rate.RateLimiter;
import org.plantainspur.core.routing.AdmissionQueue;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.routing.TargetChooser;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against checks that are skipped or come in the wrong order, and against refusals
 * that say "not run" about a request that may have run.
 */
class StandardRequestPipelineTests {

	private static final String API_KEY = "secret-of-harbor-clinic";

	private static final ClientAccount ACCOUNT = new ClientAccount("harbor-clinic", 10, 10);

	private final ManualClock clock = new ManualClock();

	private final ConfigurationView view = new ConfigurationView();

	private final Deque<DispatchOutcome> outcomes = new ArrayDeque<>();

	private final List<CallerRequest> dispatched = new ArrayList<>();

	private final List<String> usedTargets = new ArrayList<>();

	private final LocalIdempotencyRegistry registry = LocalIdempotencyRegistry.builder("entry-1", "process-1")
		.clock(this.clock)
		.build();

	private CurrencyRule.Currency currency = new CurrencyRule.Currency.Current();

	private RateLimiter.RateDecision rate = new RateLimiter.RateDecision.Granted();

	private final List<String> recordedEvents = new ArrayList<>();

	private Runnable whileQueued = () -> {
	};

	private StandardRequestPipeline pipeline;

	@BeforeEach
	void buildPipeline() {
		change(new Change.PutAccount(ACCOUNT));
		change(new Change.IssueKey(KeyHash.of(API_KEY), ACCOUNT.id()));
		change(new Change.PutRoute(new Route("read", "GET", "/booking", "booking", true, false, 5000)));
		change(new Change.PutRoute(new Route("write", "POST", "/booking", "booking", false, false, 5000)));
		this.pipeline = StandardRequestPipeline.builder()
			.clock(this.clock)
			.view(this.view)
			.currency(() -> this.currency)
			.idempotencyRegistry(this.registry)
			.relay((hostId, processId, request, deadline) -> Problem.unknown(Problem.Code.OWNER_NOT_REACHABLE, hostId)
				.toRefusal())
			.rateLimiter((account, deadline) -> this.rate)
			.admissionQueue(this::admit)
			.chooser(this::choose)
			.dispatcher(this::dispatch)
			.retryPolicy(new BudgetedRetryPolicy((service) -> false))
			.recorder(new EventRecorder())
			.quarantine((fingerprint) -> false)
			.build();
	}

	private void change(Change change) {
		Configuration before = this.view.current();
		this.view.advance(before.apply(new ChangeEntry(before.sequence() + 1, "id", change)));
	}

	private AdmissionQueue.Admission admit(String service, ClientAccount account, long deadlineMillis) {
		this.whileQueued.run();
		return new AdmissionQueue.Admission.Admitted(() -> {
		});
	}

	private TargetChooser.TargetLease choose(String service, Set<String> excluded) {
		for (String id : List.of("booking-1", "booking-2", "booking-3")) {
			if (!excluded.contains(id)) {
				return new NoOpLease(new Target(id, service, "127.0.0.1:1", "pdx", "pdx-a", 4, 400, false));
			}
		}
		return null;
	}

	private DispatchOutcome dispatch(Target target, CallerRequest request, boolean idempotent, long timeoutMillis) {
		this.dispatched.add(request);
		this.usedTargets.add(target.id());
		DispatchOutcome outcome = this.outcomes.poll();
		return (outcome != null) ? outcome : new DispatchOutcome.Answered(200, Headers.empty(), new byte[0]);
	}

	private CallerAnswer send(String method, Headers headers) {
		String key = headers.first(Headers.API_KEY);
		return this.pipeline.serve(new CallerRequest(method, "/booking/17", "", headers, new byte[0],
				(key != null) ? KeyHash.of(key) : "", this.clock.millis()));
	}

	private CallerAnswer read() {
		return send("GET", Headers.empty().with(Headers.API_KEY, API_KEY));
	}

	private CallerAnswer write(String idempotencyKey) {
		return send("POST",
				Headers.empty().with(Headers.API_KEY, API_KEY).with(Headers.IDEMPOTENCY_KEY, idempotencyKey));
	}

	private String newIdempotencyKey() {
		return this.registry.issueToken(ACCOUNT.id()) + ".offer-1";
	}

	private static void assertRefused(CallerAnswer answer, Problem.Code code, Problem.Run run) {
		assertThat(answer).isInstanceOfSatisfying(CallerAnswer.Refused.class, (refused) -> {
			assertThat(refused.problem().code()).isEqualTo(code);
			assertThat(refused.problem().run()).isEqualTo(run);
		});
	}

	@Nested
	class ApiKey {

		@Test
		void neverReachesATarget() {
			read();
			assertThat(StandardRequestPipelineTests.this.dispatched.get(0).headers().first(Headers.API_KEY)).isNull();
		}

		@Test
		void decidesTheAccountWhateverTheCallerClaims() {
			send("GET", Headers.empty().with(Headers.API_KEY, API_KEY).with("x-client-account", "other"));
			Headers headers = StandardRequestPipelineTests.this.dispatched.get(0).headers();
			assertThat(headers.fields()).filteredOn((field) -> field.name().equalsIgnoreCase(Headers.CLIENT_ACCOUNT))
				.extracting(Headers.Field::value)
				.containsExactly(ACCOUNT.id());
		}

		@Test
		void withdrawnWhileTheRequestIsQueuedStopsTheRequest() {
			StandardRequestPipelineTests.this.whileQueued = () -> change(new Change.WithdrawKey(KeyHash.of(API_KEY)));
			assertRefused(read(), Problem.Code.KEY_NOT_VALID, Problem.Run.NOT_RUN);
			assertThat(StandardRequestPipelineTests.this.dispatched).isEmpty();
		}

	}

	@Nested
	class Currency {

		@Test
		void lostWhileTheRequestIsQueuedStopsTheRequest() {
			StandardRequestPipelineTests.this.whileQueued = this::loseCurrency;
			assertRefused(read(), Problem.Code.CONFIGURATION_NOT_CURRENT, Problem.Run.NOT_RUN);
			assertThat(StandardRequestPipelineTests.this.dispatched).isEmpty();
		}

		private void loseCurrency() {
			StandardRequestPipelineTests.this.currency = new CurrencyRule.Currency.Stale("no proof");
		}

	}

	@Nested
	class Retry {

		@Test
		void goesToAnotherTargetWhenNothingWasSent() {
			StandardRequestPipelineTests.this.outcomes.add(new DispatchOutcome.NotSent("refused"));
			assertThat(write(newIdempotencyKey())).isInstanceOf(CallerAnswer.Answered.class);
			assertThat(StandardRequestPipelineTests.this.usedTargets).containsExactly("booking-1", "booking-2");
		}

		@Test
		void isNotMadeForANonIdempotentRequestThatMayHaveRun() {
			StandardRequestPipelineTests.this.outcomes
				.add(new DispatchOutcome.Unknown(DispatchOutcome.Unknown.Cause.RESET, "closed"));
			assertRefused(write(newIdempotencyKey()), Problem.Code.TARGET_FAILED, Problem.Run.UNKNOWN);
			assertThat(StandardRequestPipelineTests.this.usedTargets).hasSize(1);
		}

		@Test
		void ofAnIdempotentRequestUsesAtMostTwoTargetsSoThatItCrashesNoThird() {
			DispatchOutcome reset = new DispatchOutcome.Unknown(DispatchOutcome.Unknown.Cause.RESET, "closed");
			StandardRequestPipelineTests.this.outcomes.addAll(List.of(reset, reset, reset));
			assertRefused(read(), Problem.Code.TARGET_FAILED, Problem.Run.UNKNOWN);
			assertThat(StandardRequestPipelineTests.this.usedTargets).hasSize(2);
		}

	}

	@Nested
	class DispatchTokenOnAnIdempotentRoute {

		@Test
		void limitsTheRequestToOneRun() {
			Headers headers = Headers.empty()
				.with(Headers.API_KEY, API_KEY)
				.with(Headers.IDEMPOTENCY_KEY, newIdempotencyKey());
			send("GET", headers);
			send("GET", headers);
			assertThat(StandardRequestPipelineTests.this.dispatched).hasSize(1);
		}

		@Test
		void preventsARetryAfterTheRequestMayHaveRun() {
			StandardRequestPipelineTests.this.outcomes
				.add(new DispatchOutcome.Unknown(DispatchOutcome.Unknown.Cause.RESET, "closed"));
			Headers headers = Headers.empty()
				.with(Headers.API_KEY, API_KEY)
				.with(Headers.IDEMPOTENCY_KEY, newIdempotencyKey());
			assertRefused(send("GET", headers), Problem.Code.TARGET_FAILED, Problem.Run.UNKNOWN);
			assertThat(StandardRequestPipelineTests.this.dispatched).hasSize(1);
		}

	}

	@Nested
	class RefusalThatSaysNotRun {

		@Test
		void isNotGivenAfterAnEarlierAttemptMayHaveRun() {
			StandardRequestPipelineTests.this.outcomes
				.add(new DispatchOutcome.Unknown(DispatchOutcome.Unknown.Cause.RESET, "closed"));
			StandardRequestPipelineTests.this.outcomes.add(new DispatchOutcome.NotSent("refused"));
			StandardRequestPipelineTests.this.outcomes.add(new DispatchOutcome.NotSent("refused"));
			assertThat(read()).isInstanceOfSatisfying(CallerAnswer.Refused.class,
					(refused) -> assertThat(refused.problem().run()).isEqualTo(Problem.Run.UNKNOWN));
		}

		@Test
		void isNotGivenToARepeatIfTheFirstRequestRanBeforeTheKeyWasWithdrawn() {
			String key = newIdempotencyKey();
			write(key);
			change(new Change.WithdrawKey(KeyHash.of(API_KEY)));
			assertRefused(write(key), Problem.Code.KEY_NOT_VALID, Problem.Run.UNKNOWN);
		}

		@Test
		void isNotGivenToARepeatIfTheFirstRequestRanBeforeTheRouteWasRemoved() {
			String key = newIdempotencyKey();
			write(key);
			change(new Change.RemoveRoute("write"));
			assertRefused(write(key), Problem.Code.NO_ROUTE, Problem.Run.UNKNOWN);
		}

		@Test
		void isNotGivenForATokenOfAnotherProcessThatMayHaveRunTheRequest() {
			StandardRequestPipelineTests.this.currency = new CurrencyRule.Currency.Stale("no proof");
			String keyOfAnotherProcess = LocalIdempotencyRegistry.builder("entry-2", "process-2")
				.clock(StandardRequestPipelineTests.this.clock)
				.build()
				.issueToken(ACCOUNT.id()) + ".offer-1";
			assertRefused(write(keyOfAnotherProcess), Problem.Code.CONFIGURATION_NOT_CURRENT, Problem.Run.UNKNOWN);
		}

		@Test
		void letsARepeatRunLater() {
			String key = newIdempotencyKey();
			StandardRequestPipelineTests.this.rate = new RateLimiter.RateDecision.Limited(100);
			assertRefused(write(key), Problem.Code.RATE_LIMITED, Problem.Run.NOT_RUN);
			StandardRequestPipelineTests.this.rate = new RateLimiter.RateDecision.Granted();
			assertThat(write(key)).isInstanceOf(CallerAnswer.Answered.class);
		}

	}

	private record NoOpLease(Target target) implements TargetChooser.TargetLease {

		@Override
		public void close() {
		}

	}

	/** Guards against dispatches that still count as in flight after they have ended. */
	@Nested
	class Recording {

		@Test
		void endsADispatchBeforeItsOutcomeIsRecorded() {
			StandardRequestPipelineTests.this.outcomes.add(new DispatchOutcome.NotSent("refused"));
			read();
			assertThat(StandardRequestPipelineTests.this.recordedEvents).containsExactly(
					"began booking-1 " + ACCOUNT.id(), "ended booking-1", "CONNECT_FAILURE booking-1",
					"began booking-2 " + ACCOUNT.id(), "ended booking-2", "SUCCESS booking-2");
		}

	}

	private final class EventRecorder implements OutcomeRecorder {

		@Override
		public InFlightDispatch dispatchStarted(Target target, String accountId) {
			StandardRequestPipelineTests.this.recordedEvents.add("began " + target.id() + " " + accountId);
			return () -> StandardRequestPipelineTests.this.recordedEvents.add("ended " + target.id());
		}

		@Override
		public void record(Outcome outcome) {
			StandardRequestPipelineTests.this.recordedEvents.add(outcome.kind() + " " + outcome.target().id());
		}

		@Override
		public void targetLeaving(Target target) {
		}

	}

}
