package org.plantainspur.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.health.OutcomeRecorder;
import org.plantainspur.core.idempotency.IdempotencyRegistry;
import org.plantainspur.core.idempotency.LocalIdempotencyRegistry;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.rate.RateLimiter;
import org.plantainspur.core.routing.AdmissionQueue;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.routing.TargetChooser;
import org.plantainspur.core.time.ManualClock;

/**
 * Builds request pipelines of the process that issued the dispatch tokens (the owner) and
 * of other processes. The test sets what their rate limiter, admission queue and target
 * do.
 */
final class RequestPipelineFixture {

	static final String API_KEY = "secret-of-harbor-clinic";

	static final ClientAccount ACCOUNT = new ClientAccount("harbor-clinic", 10, 10);

	static final CallerAnswer OK = new CallerAnswer.Answered(200, Headers.empty(), new byte[0]);

	final ManualClock clock = new ManualClock().advance(7_000_000);

	final ConfigurationView view = new ConfigurationView();

	final Member owner = Member.builder("pdx-1", "p1").build();

	final LocalIdempotencyRegistry registry = LocalIdempotencyRegistry.builder("pdx-1", "p1").clock(this.clock).build();

	final AtomicInteger runs = new AtomicInteger();

	final List<String> dispatchedAccounts = new ArrayList<>();

	final AtomicReference<Supplier<DispatchOutcome>> targetOutcome = new AtomicReference<>(
			() -> new DispatchOutcome.Answered(200, Headers.empty(), new byte[0]));

	final AtomicReference<Supplier<RateLimiter.RateDecision>> rateDecision = new AtomicReference<>(
			RateLimiter.RateDecision.Granted::new);

	Runnable whileQueued = () -> {
	};

	RequestPipelineFixture() {
		change(new Change.PutAccount(ACCOUNT));
		change(new Change.IssueKey(KeyHash.of(API_KEY), ACCOUNT.id()));
		change(new Change.PutRoute(new Route("write", "POST", "/offers", "offers", false, false, 5000)));
		change(new Change.PutRoute(new Route("open", "POST", "/hints", "offers", true, true, 5000)));
		change(new Change.MemberJoined(this.owner));
	}

	void change(Change change) {
		Configuration before = this.view.current();
		this.view.advance(before.apply(new ChangeEntry(before.sequence() + 1, "id", change)));
	}

	RequestPipeline pipeline(IdempotencyRegistry registry, RequestRelay relay) {
		return StandardRequestPipeline.builder()
			.clock(this.clock)
			.view(this.view)
			.currency(CurrencyRule.Currency.Current::new)
			.idempotencyRegistry(registry)
			.relay(relay)
			.rateLimiter((account, deadline) -> this.rateDecision.get().get())
			.admissionQueue((service, account, deadline) -> {
				this.whileQueued.run();
				return new AdmissionQueue.Admission.Admitted(() -> {
				});
			})
			.chooser((service, excluded) -> excluded.isEmpty() ? new NoOpLease() : null)
			.dispatcher((target, request, idempotent, timeout) -> {
				this.runs.incrementAndGet();
				this.dispatchedAccounts.add(request.headers().first(Headers.CLIENT_ACCOUNT));
				return this.targetOutcome.get().get();
			})
			.retryPolicy(new BudgetedRetryPolicy((service) -> false))
			.recorder(new IgnoringRecorder())
			.quarantine((fingerprint) -> false)
			.build();
	}

	RequestPipeline ownerPipeline() {
		return pipeline(this.registry, (hostId, processId, request, deadline) -> {
			throw new IllegalStateException("the owner relayed its own request");
		});
	}

	String newIdempotencyKey() {
		return this.registry.issueToken(ACCOUNT.id()) + ".offer-1";
	}

	CallerRequest writeRequest(String idempotencyKey) {
		return new CallerRequest("POST", "/offers/1", "", Headers.empty().with(Headers.IDEMPOTENCY_KEY, idempotencyKey),
				new byte[0], KeyHash.of(API_KEY), this.clock.millis());
	}

	static Problem.Run reportedRun(CallerAnswer answer) {
		return ((CallerAnswer.Refused) answer).problem().run();
	}

	IdempotencyRegistry entryHostRegistry() {
		return LocalIdempotencyRegistry.builder("pdx-9", "p9").clock(this.clock).build();
	}

	static void awaitLatch(CountDownLatch latch) {
		try {
			latch.await(20, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Delegates to another registry, and runs an action after each removal of the record
	 * of a request that did not run.
	 */
	static class NotifyingRegistry implements IdempotencyRegistry {

		private final IdempotencyRegistry registry;

		private final Runnable onRemoval;

		NotifyingRegistry(IdempotencyRegistry registry, Runnable onRemoval) {
			this.registry = registry;
			this.onRemoval = onRemoval;
		}

		@Override
		public String issueToken(String accountId) {
			return this.registry.issueToken(accountId);
		}

		@Override
		public DispatchDecision register(String accountId, String idempotencyKey, String fingerprint) {
			DispatchDecision decision = this.registry.register(accountId, idempotencyKey, fingerprint);
			return (decision instanceof DispatchDecision.Dispatch dispatch)
					? new DispatchDecision.Dispatch(new NotifyingRecord(dispatch.openRecord(), this.onRemoval))
					: decision;
		}

		@Override
		public boolean certainlyNotRun(String idempotencyKey) {
			return this.registry.certainlyNotRun(idempotencyKey);
		}

		@Override
		public int running() {
			return this.registry.running();
		}

		@Override
		public boolean idle(long idleMillis) {
			return this.registry.idle(idleMillis);
		}

	}

	private record NotifyingRecord(IdempotencyRegistry.OpenRecord delegate,
			Runnable onRemoval) implements IdempotencyRegistry.OpenRecord {

		@Override
		public void complete(CallerAnswer answer) {
			this.delegate.complete(answer);
		}

		@Override
		public void removeAsNotRun(CallerAnswer.Refused refusal) {
			this.delegate.removeAsNotRun(refusal);
			this.onRemoval.run();
		}

	}

	private record NoOpLease() implements TargetChooser.TargetLease {

		@Override
		public Target target() {
			return new Target("offers-1", "offers", "127.0.0.1:1", "pdx", "pdx-a", 4, 400, false);
		}

		@Override
		public void close() {
		}

	}

	private static final class IgnoringRecorder implements OutcomeRecorder {

		@Override
		public void record(Outcome outcome) {
		}

		@Override
		public void targetLeaving(Target target) {
		}

	}

}
