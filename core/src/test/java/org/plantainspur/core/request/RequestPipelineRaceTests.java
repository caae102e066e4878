package org.plantainspur.core.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.idempotency.IdempotencyRegistry;
import org.plantainspur.core.idempotency.LocalIdempotencyRegistry;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.rate.RateLimiter;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against interleavings in which a request runs twice, runs for another client
 * account, or is refused as "not run" although it ran.
 */
@Timeout(60)
class RequestPipelineRaceTests {

	private final RequestPipelineFixture fixture = new RequestPipelineFixture();

	@Nested
	class AtMostOnceDispatch {

		@Test
		void refusesARepeatAfterTheTokenExpired() {
			RequestPipeline pipeline = RequestPipelineRaceTests.this.fixture.ownerPipeline();
			String key = RequestPipelineRaceTests.this.fixture.newIdempotencyKey();
			pipeline.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key));
			for (long millis : new long[] { LocalIdempotencyRegistry.TOKEN_LIFETIME_MILLIS + 1,
					LocalIdempotencyRegistry.RECORD_RETENTION_MILLIS }) {
				RequestPipelineRaceTests.this.fixture.clock.advance(millis);
				assertThat(RequestPipelineFixture
					.reportedRun(pipeline.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key))))
					.isEqualTo(Problem.Run.UNKNOWN);
			}
			assertThat(RequestPipelineRaceTests.this.fixture.runs).hasValue(1);
		}

		@Test
		void joinsARepeatDuringTheRun() throws Exception {
			RequestPipeline pipeline = RequestPipelineRaceTests.this.fixture.ownerPipeline();
			String key = RequestPipelineRaceTests.this.fixture.newIdempotencyKey();
			CountDownLatch repeated = new CountDownLatch(1);
			RequestPipelineRaceTests.this.fixture.targetOutcome.set(() -> {
				RequestPipelineFixture.awaitLatch(repeated);
				return new DispatchOutcome.Answered(200, Headers.empty(), new byte[0]);
			});
			CompletableFuture<CallerAnswer> first = CompletableFuture
				.supplyAsync(() -> pipeline.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key)));
			while (RequestPipelineRaceTests.this.fixture.runs.get() == 0 && !first.isDone()) {
				Thread.sleep(1);
			}
			CompletableFuture<CallerAnswer> repeat = CompletableFuture
				.supplyAsync(() -> pipeline.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key)));
			repeated.countDown();
			assertThat(first.get(20, TimeUnit.SECONDS)).isInstanceOf(CallerAnswer.Answered.class);
			assertThat(repeat.get(20, TimeUnit.SECONDS)).isInstanceOf(CallerAnswer.Answered.class);
			assertThat(RequestPipelineRaceTests.this.fixture.runs).hasValue(1);
		}

		@Test
		void returnsTheStoredAnswerAfterALostRelayAnswer() {
			String key = RequestPipelineRaceTests.this.fixture.newIdempotencyKey();
			RelayReceiver receiver = new RelayReceiver(RequestPipelineRaceTests.this.fixture.owner,
					RequestPipelineRaceTests.this.fixture.ownerPipeline(), RequestPipelineRaceTests.this.fixture.clock);
			AtomicInteger relays = new AtomicInteger();
			RequestPipeline entry = RequestPipelineRaceTests.this.fixture.pipeline(
					RequestPipelineRaceTests.this.fixture.entryHostRegistry(),
					new PeerRequestRelay(RequestPipelineRaceTests.this.fixture.view, (member, message, timeout) -> {
						PeerMessage answer = receiver.serve((PeerMessage.Relay) message);
						return (relays.getAndIncrement() == 0)
								? CompletableFuture.failedFuture(new IllegalStateException("reset"))
								: CompletableFuture.completedFuture(answer);
					}, RequestPipelineRaceTests.this.fixture.clock));
			assertThat(RequestPipelineFixture
				.reportedRun(entry.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key))))
				.isEqualTo(Problem.Run.UNKNOWN);
			assertThat(entry.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key)))
				.isEqualTo(entry.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key)))
				.isInstanceOf(CallerAnswer.Answered.class);
			assertThat(RequestPipelineRaceTests.this.fixture.runs).hasValue(1);
		}

		@Test
		void refusesARelayedRequestWithATokenOfAReplacedProcess() {
			String key = RequestPipelineRaceTests.this.fixture.newIdempotencyKey();
			Member replacement = Member.builder("pdx-1", "p2").build();
			RelayReceiver receiver = new RelayReceiver(replacement,
					RequestPipelineRaceTests.this.fixture.ownerPipeline(), RequestPipelineRaceTests.this.fixture.clock);
			RequestPipeline entry = RequestPipelineRaceTests.this.fixture.pipeline(
					RequestPipelineRaceTests.this.fixture.entryHostRegistry(),
					new PeerRequestRelay(RequestPipelineRaceTests.this.fixture.view,
							(member, message, timeout) -> CompletableFuture
								.completedFuture(receiver.serve((PeerMessage.Relay) message)),
							RequestPipelineRaceTests.this.fixture.clock));
			assertThat(RequestPipelineFixture
				.reportedRun(entry.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key))))
				.isEqualTo(Problem.Run.UNKNOWN);
			assertThat(RequestPipelineRaceTests.this.fixture.runs).hasValue(0);
		}

		@Test
		void refusesARepeatAfterAnExceptionInTheDispatcher() {
			RequestPipeline pipeline = RequestPipelineRaceTests.this.fixture.ownerPipeline();
			String key = RequestPipelineRaceTests.this.fixture.newIdempotencyKey();
			RequestPipelineRaceTests.this.fixture.targetOutcome.set(() -> {
				throw new IllegalStateException("fault of the dispatcher");
			});
			assertThatThrownBy(() -> pipeline.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key)))
				.isInstanceOf(IllegalStateException.class);
			assertThat(RequestPipelineFixture
				.reportedRun(pipeline.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key))))
				.isEqualTo(Problem.Run.UNKNOWN);
			assertThat(RequestPipelineRaceTests.this.fixture.runs).hasValue(1);
			assertThat(RequestPipelineRaceTests.this.fixture.registry.running()).isZero();
		}

		@Test
		void refusesARepeatAfterAnInterruptedDispatch() {
			RequestPipeline pipeline = RequestPipelineRaceTests.this.fixture.ownerPipeline();
			String key = RequestPipelineRaceTests.this.fixture.newIdempotencyKey();
			RequestPipelineRaceTests.this.fixture.targetOutcome.set(() -> {
				Thread.currentThread().interrupt();
				return new DispatchOutcome.Unknown(DispatchOutcome.Unknown.Cause.TIMEOUT, "interrupted");
			});
			assertThat(RequestPipelineFixture
				.reportedRun(pipeline.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key))))
				.isEqualTo(Problem.Run.UNKNOWN);
			assertThat(Thread.interrupted()).isTrue();
			assertThat(RequestPipelineFixture
				.reportedRun(pipeline.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key))))
				.isEqualTo(Problem.Run.UNKNOWN);
			assertThat(RequestPipelineRaceTests.this.fixture.runs).hasValue(1);
		}

	}

	@Nested
	class RefusalAsNotRun {

		// A repeat is dispatched after the record of the first request was removed as
		// not run, and before the refusal of the first request is returned.
		@Test
		void isReplacedByUnknownIfARepeatRunsBeforeItIsReturned() {
			String key = RequestPipelineRaceTests.this.fixture.newIdempotencyKey();
			RequestPipeline repeats = RequestPipelineRaceTests.this.fixture.ownerPipeline();
			IdempotencyRegistry registry = new RequestPipelineFixture.NotifyingRegistry(
					RequestPipelineRaceTests.this.fixture.registry,
					() -> repeats.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key)));
			RequestPipeline pipeline = RequestPipelineRaceTests.this.fixture.pipeline(registry,
					(hostId, processId, request, deadline) -> RequestPipelineFixture.OK);
			RequestPipelineRaceTests.this.fixture.rateDecision.set(() -> {
				RequestPipelineRaceTests.this.fixture.rateDecision.set(RateLimiter.RateDecision.Granted::new);
				return new RateLimiter.RateDecision.Limited(100);
			});
			assertThat(RequestPipelineFixture
				.reportedRun(pipeline.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key))))
				.isEqualTo(Problem.Run.UNKNOWN);
			assertThat(RequestPipelineRaceTests.this.fixture.runs).hasValue(1);
		}

		@Test
		void isReplacedByUnknownForAJoinedRequestIfAnotherRepeatRan() {
			String key = RequestPipelineRaceTests.this.fixture.newIdempotencyKey();
			CompletableFuture<CallerAnswer> joined = CompletableFuture
				.completedFuture(Problem.notRun(Problem.Code.RATE_LIMITED, "over its rate").toRefusal());
			RequestPipelineRaceTests.this.fixture.ownerPipeline()
				.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key));
			IdempotencyRegistry registry = new RequestPipelineFixture.NotifyingRegistry(
					RequestPipelineRaceTests.this.fixture.registry, () -> {
					}) {

				@Override
				public DispatchDecision register(String accountId, String idempotencyKey, String fingerprint) {
					return new DispatchDecision.Join(joined);
				}

			};
			assertThat(RequestPipelineFixture.reportedRun(RequestPipelineRaceTests.this.fixture
				.pipeline(registry, (hostId, processId, request, deadline) -> RequestPipelineFixture.OK)
				.serve(RequestPipelineRaceTests.this.fixture.writeRequest(key)))).isEqualTo(Problem.Run.UNKNOWN);
		}

		@Test
		void isReturnedIfTheRequestNeverRan() {
			RequestPipelineRaceTests.this.fixture.rateDecision.set(() -> new RateLimiter.RateDecision.Limited(100));
			assertThat(RequestPipelineFixture.reportedRun(RequestPipelineRaceTests.this.fixture.ownerPipeline()
				.serve(RequestPipelineRaceTests.this.fixture
					.writeRequest(RequestPipelineRaceTests.this.fixture.newIdempotencyKey()))))
				.isEqualTo(Problem.Run.NOT_RUN);
		}

	}

	@Nested
	class AccessChange {

		@Test
		void withdrawalOfTheApiKeyDuringTheRelayStopsTheRequest() {
			RelayReceiver receiver = new RelayReceiver(RequestPipelineRaceTests.this.fixture.owner,
					RequestPipelineRaceTests.this.fixture.ownerPipeline(), RequestPipelineRaceTests.this.fixture.clock);
			RequestPipeline entry = RequestPipelineRaceTests.this.fixture.pipeline(
					RequestPipelineRaceTests.this.fixture.entryHostRegistry(),
					new PeerRequestRelay(RequestPipelineRaceTests.this.fixture.view, (member, message, timeout) -> {
						RequestPipelineRaceTests.this.fixture
							.change(new Change.WithdrawKey(KeyHash.of(RequestPipelineFixture.API_KEY)));
						return CompletableFuture.completedFuture(receiver.serve((PeerMessage.Relay) message));
					}, RequestPipelineRaceTests.this.fixture.clock));
			assertThat(RequestPipelineFixture.reportedRun(entry.serve(RequestPipelineRaceTests.this.fixture
				.writeRequest(RequestPipelineRaceTests.this.fixture.newIdempotencyKey()))))
				.isEqualTo(Problem.Run.NOT_RUN);
			assertThat(RequestPipelineRaceTests.this.fixture.runs).hasValue(0);
		}

		@Test
		void reissueOfTheApiKeyToAnotherAccountStopsTheQueuedRequest() {
			RequestPipelineRaceTests.this.fixture.change(new Change.PutAccount(new ClientAccount("tidewater", 10, 10)));
			RequestPipelineRaceTests.this.fixture.whileQueued = () -> {
				RequestPipelineRaceTests.this.fixture
					.change(new Change.WithdrawKey(KeyHash.of(RequestPipelineFixture.API_KEY)));
				RequestPipelineRaceTests.this.fixture
					.change(new Change.IssueKey(KeyHash.of(RequestPipelineFixture.API_KEY), "tidewater"));
			};
			assertThat(RequestPipelineFixture.reportedRun(RequestPipelineRaceTests.this.fixture.ownerPipeline()
				.serve(RequestPipelineRaceTests.this.fixture
					.writeRequest(RequestPipelineRaceTests.this.fixture.newIdempotencyKey()))))
				.isEqualTo(Problem.Run.NOT_RUN);
			assertThat(RequestPipelineRaceTests.this.fixture.runs).hasValue(0);
		}

		@Test
		void requirementOfAnApiKeyOnAnOpenRouteStopsTheQueuedRequest() {
			CallerRequest request = new CallerRequest("POST", "/hints/1", "", Headers.empty(), new byte[0], "",
					RequestPipelineRaceTests.this.fixture.clock.millis());
			assertThat(RequestPipelineRaceTests.this.fixture.ownerPipeline().serve(request))
				.isInstanceOf(CallerAnswer.Answered.class);
			RequestPipelineRaceTests.this.fixture.whileQueued = () -> RequestPipelineRaceTests.this.fixture
				.change(new Change.PutRoute(new Route("open", "POST", "/hints", "offers", true, false, 5000)));
			assertThat(RequestPipelineFixture
				.reportedRun(RequestPipelineRaceTests.this.fixture.ownerPipeline().serve(request)))
				.isEqualTo(Problem.Run.NOT_RUN);
			assertThat(RequestPipelineRaceTests.this.fixture.dispatchedAccounts).containsExactly("open");
		}

	}

}
