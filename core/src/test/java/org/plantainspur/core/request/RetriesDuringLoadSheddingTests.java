package org.plantainspur.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.idempotency.LocalIdempotencyRegistry;
import org.plantainspur.core.rate.RateLimiter;
import org.plantainspur.core.routing.AdaptiveLimits;
import org.plantainspur.core.routing.AdmissionQueue;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.routing.TargetDirectory;
import org.plantainspur.core.routing.TargetLoadSheddingDetector;
import org.plantainspur.core.routing.WeightedTwoChoiceChooser;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against retries that multiply the load of overloaded targets, and against
 * withheld retries that would add no work on a target or stay within the budget.
 */
class RetriesDuringLoadSheddingTests {

	private static final int TARGETS = 12;

	private static final int REQUESTS = 2000;

	private static final DispatchOutcome SHED = new DispatchOutcome.RefusedByTarget(false);

	private static final DispatchOutcome OK = new DispatchOutcome.Answered(200, Headers.empty(), new byte[0]);

	private final ManualClock clock = new ManualClock().advance(10_000);

	private final ConfigurationView view = new ConfigurationView();

	private final AtomicReference<TargetDirectory> directory = new AtomicReference<>(TargetDirectory.empty());

	private final AdaptiveLimits limits = new AdaptiveLimits(this.clock);

	private final Random random = new Random(20261204);

	private Function<Target, DispatchOutcome> targetOutcome = (target) -> OK;

	private int attempts;

	private StandardRequestPipeline pipeline;

	@BeforeEach
	void buildPipeline() {
		Configuration before = this.view.current();
		this.view.advance(before.apply(new ChangeEntry(before.sequence() + 1, "id",
				new Change.PutRoute(new Route("read", "GET", "/booking", "booking", true, true, 5000)))));
		List<Target> targets = new ArrayList<>();
		for (int i = 0; i < TARGETS; i++) {
			targets.add(new Target("booking-" + i, "booking", "127.0.0.1:9", "pdx", "pdx-a", 4, 400, false));
		}
		this.directory.set(TargetDirectory.of(targets));
		this.pipeline = StandardRequestPipeline.builder()
			.clock(this.clock)
			.view(this.view)
			.currency(CurrencyRule.Currency.Current::new)
			.idempotencyRegistry(LocalIdempotencyRegistry.builder("entry-1", "process-1").clock(this.clock).build())
			.relay((hostId, processId, request, deadline) -> {
				throw new IllegalStateException("an idempotent request was relayed");
			})
			.rateLimiter((account, deadline) -> new RateLimiter.RateDecision.Granted())
			.admissionQueue((service, account, deadline) -> new AdmissionQueue.Admission.Admitted(() -> {
			}))
			.chooser(WeightedTwoChoiceChooser.builder("pdx", this.clock)
				.directory(this.directory)
				.view(this.view)
				.limits(this.limits)
				.random(this.random::nextDouble)
				.build())
			.dispatcher((target, request, idempotent, timeout) -> {
				this.attempts++;
				return this.targetOutcome.apply(target);
			})
			.retryPolicy(new BudgetedRetryPolicy(new TargetLoadSheddingDetector(this.directory, this.limits)))
			.recorder(this.limits)
			.quarantine((fingerprint) -> false)
			.build();
	}

	private CallerAnswer send() {
		this.clock.advance(10);
		return this.pipeline
			.serve(new CallerRequest("GET", "/booking/17", "", Headers.empty(), new byte[0], "", this.clock.millis()));
	}

	private int countAnswered(int requests) {
		int answered = 0;
		for (int i = 0; i < requests; i++) {
			answered += (send() instanceof CallerAnswer.Answered) ? 1 : 0;
		}
		return answered;
	}

	private double attemptsPerRequest(double shedFraction) {
		this.targetOutcome = (target) -> (this.random.nextDouble() < shedFraction) ? SHED : OK;
		countAnswered(REQUESTS);
		return (double) this.attempts / REQUESTS;
	}

	@Nested
	class Load {

		@Test
		void isNotMultipliedByRetriesWhileTargetsShedMostRequests() {
			assertThat(attemptsPerRequest(0.9)).as("attempts per request").isLessThan(1.02);
		}

		@Test
		void isNotMultipliedByRetriesWhileTargetsShedEveryRequest() {
			assertThat(attemptsPerRequest(1)).as("attempts per request").isLessThan(1.02);
		}

		// The budget allows 10% of the requests and an initial burst of 10 retries.
		@Test
		void isNotRaisedAboveTheBudgetByRefusalsOfAFewTargets() {
			RetriesDuringLoadSheddingTests.this.targetOutcome = (target) -> target.id().matches("booking-[0-4]") ? SHED
					: OK;
			countAnswered(REQUESTS);
			assertThat((double) RetriesDuringLoadSheddingTests.this.attempts / REQUESTS).as("attempts per request")
				.isLessThan(1.11);
		}

		@Test
		void isNotMultipliedByRetriesOfFailuresWhileTargetsShed() {
			RetriesDuringLoadSheddingTests.this.targetOutcome = (target) -> SHED;
			countAnswered(50);
			RetriesDuringLoadSheddingTests.this.attempts = 0;
			RetriesDuringLoadSheddingTests.this.targetOutcome = (target) -> new DispatchOutcome.Answered(500,
					Headers.empty(), new byte[0]);
			countAnswered(50);
			assertThat(RetriesDuringLoadSheddingTests.this.attempts).isEqualTo(50);
		}

	}

	@Nested
	class AllowedRetry {

		@Test
		void isMadeIfOneTargetOfManySheds() {
			RetriesDuringLoadSheddingTests.this.targetOutcome = (target) -> target.id().equals("booking-0") ? SHED : OK;
			assertThat(countAnswered(REQUESTS)).isEqualTo(REQUESTS);
			assertThat(RetriesDuringLoadSheddingTests.this.attempts).isGreaterThan(REQUESTS);
		}

		@Test
		void isMadeIfNothingWasSentWhileTargetsShed() {
			assertRetriedWhileTargetsShed(new DispatchOutcome.NotSent("refused"));
		}

		@Test
		void isMadeIfTheTargetIsDrainingWhileTargetsShed() {
			assertRetriedWhileTargetsShed(new DispatchOutcome.RefusedByTarget(true));
		}

		private void assertRetriedWhileTargetsShed(DispatchOutcome outcome) {
			RetriesDuringLoadSheddingTests.this.targetOutcome = (target) -> SHED;
			countAnswered(50);
			RetriesDuringLoadSheddingTests.this.attempts = 0;
			RetriesDuringLoadSheddingTests.this.targetOutcome = (
					target) -> (RetriesDuringLoadSheddingTests.this.attempts % 2 == 1) ? outcome : OK;
			assertThat(countAnswered(50)).isEqualTo(50);
			assertThat(RetriesDuringLoadSheddingTests.this.attempts).isEqualTo(100);
		}

		@Test
		void isMadeAgainTwoSecondsAfterTheLastRefusal() {
			RetriesDuringLoadSheddingTests.this.targetOutcome = (target) -> SHED;
			countAnswered(50);
			RetriesDuringLoadSheddingTests.this.clock.advance(2000);
			RetriesDuringLoadSheddingTests.this.attempts = 0;
			RetriesDuringLoadSheddingTests.this.targetOutcome = (
					target) -> (RetriesDuringLoadSheddingTests.this.attempts == 1) ? SHED : OK;
			assertThat(countAnswered(1)).isEqualTo(1);
		}

	}

	@Nested
	class RefusalsOfDrainingTargets {

		@Test
		void areNotTakenForOverload() {
			RetriesDuringLoadSheddingTests.this.targetOutcome = (target) -> new DispatchOutcome.RefusedByTarget(true);
			countAnswered(50);
			assertThat(new TargetLoadSheddingDetector(RetriesDuringLoadSheddingTests.this.directory,
					RetriesDuringLoadSheddingTests.this.limits)
				.shedding("booking")).isFalse();
		}

	}

}
