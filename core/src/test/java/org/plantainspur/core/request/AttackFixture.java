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
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.once.OnceGate;
import org.plantainspur.core.once.ProcessOnceGate;
import org.plantainspur.core.rate.RateLimiter;
import org.plantainspur.core.routing.AdmissionQueue;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.routing.TargetChooser;
import org.plantainspur.core.time.HandClock;

/**
 * One owner process with a scripted rate limiter, queue and target.
 */
final class AttackFixture {

	static final String KEY = "secret-of-harbor-clinic";

	static final ClientAccount ACCOUNT = new ClientAccount("harbor-clinic", 10, 10);

	static final CallerAnswer DONE = new CallerAnswer.Answered(200, Headers.empty(), new byte[0]);

	final HandClock clock = new HandClock().advance(7_000_000);

	final ConfigurationView view = new ConfigurationView();

	final Member owner = Member.builder("pdx-1", "p1").build();

	final ProcessOnceGate gate = ProcessOnceGate.builder("pdx-1", "p1").clock(this.clock).build();

	final AtomicInteger runs = new AtomicInteger();

	final List<String> accounts = new ArrayList<>();

	final AtomicReference<Supplier<DispatchOutcome>> target = new AtomicReference<>(
			() -> new DispatchOutcome.Answered(200, Headers.empty(), new byte[0]));

	final AtomicReference<Supplier<RateLimiter.RateDecision>> rate = new AtomicReference<>(
			RateLimiter.RateDecision.Granted::new);

	Runnable whileQueued = () -> {
	};

	AttackFixture() {
		change(new Change.PutAccount(ACCOUNT));
		change(new Change.IssueKey(KeyHash.of(KEY), ACCOUNT.id()));
		change(new Change.PutRoute(new Route("write", "POST", "/offers", "offers", false, false, 5000)));
		change(new Change.PutRoute(new Route("open", "POST", "/hints", "offers", true, true, 5000)));
		change(new Change.MemberJoined(this.owner));
	}

	void change(Change change) {
		Configuration before = this.view.current();
		this.view.advance(before.apply(new ChangeEntry(before.sequence() + 1, "id", change)));
	}

	RequestPipeline pipeline(OnceGate once, RequestRelay relay) {
		return StandardRequestPipeline.builder()
			.clock(this.clock)
			.view(this.view)
			.currency(CurrencyRule.Currency.Current::new)
			.onceGate(once)
			.relay(relay)
			.rateLimiter((account, deadline) -> this.rate.get().get())
			.admissionQueue((service, account, deadline) -> {
				this.whileQueued.run();
				return new AdmissionQueue.Admission.Admitted(() -> {
				});
			})
			.chooser((service, excluded) -> excluded.isEmpty() ? new Lease() : null)
			.dispatcher((target, request, idempotent, timeout) -> {
				this.runs.incrementAndGet();
				this.accounts.add(request.headers().first(Headers.CLIENT_ACCOUNT));
				return this.target.get().get();
			})
			.retryPolicy(new BudgetedRetryPolicy((service) -> false))
			.recorder(new IgnoringRecorder())
			.quarantine((fingerprint) -> false)
			.build();
	}

	RequestPipeline ownerPipeline() {
		return pipeline(this.gate, (hostId, processId, request, deadline) -> {
			throw new IllegalStateException("the owner relayed its own request");
		});
	}

	String newKey() {
		return this.gate.mint(ACCOUNT.id()) + ".offer-1";
	}

	CallerRequest write(String idempotencyKey) {
		return new CallerRequest("POST", "/offers/1", "", Headers.empty().with(Headers.IDEMPOTENCY_KEY, idempotencyKey),
				new byte[0], KeyHash.of(KEY), this.clock.millis());
	}

	static Problem.Run run(CallerAnswer answer) {
		return ((CallerAnswer.Refused) answer).problem().run();
	}

	OnceGate entryGate() {
		return ProcessOnceGate.builder("pdx-9", "p9").clock(this.clock).build();
	}

	static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await(20, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Runs an action once, right after the record of a request that did not run is
	 * removed.
	 */
	static class NotifyingGate implements OnceGate {

		private final OnceGate gate;

		private final Runnable removed;

		NotifyingGate(OnceGate gate, Runnable removed) {
			this.gate = gate;
			this.removed = removed;
		}

		@Override
		public String mint(String accountId) {
			return this.gate.mint(accountId);
		}

		@Override
		public OnceDecision enter(String accountId, String idempotencyKey, String fingerprint) {
			OnceDecision decision = this.gate.enter(accountId, idempotencyKey, fingerprint);
			return (decision instanceof OnceDecision.Dispatch dispatch)
					? new OnceDecision.Dispatch(new NotifyingTicket(dispatch.ticket(), this.removed)) : decision;
		}

		@Override
		public boolean certainlyNotRun(String idempotencyKey) {
			return this.gate.certainlyNotRun(idempotencyKey);
		}

		@Override
		public int running() {
			return this.gate.running();
		}

		@Override
		public boolean idle(long quietMillis) {
			return this.gate.idle(quietMillis);
		}

	}

	private record NotifyingTicket(OnceGate.Ticket ticket, Runnable removed) implements OnceGate.Ticket {

		@Override
		public void answered(CallerAnswer answer) {
			this.ticket.answered(answer);
		}

		@Override
		public void notRun(CallerAnswer.Refused refusal) {
			this.ticket.notRun(refusal);
			this.removed.run();
		}

	}

	private record Lease() implements TargetChooser.TargetLease {

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
