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
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.once.OnceGate;
import org.plantainspur.core.once.ProcessOnceGate;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.rate.RateLimiter;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against the schedules most likely to make a request run twice, run for another
 * account, or be refused as not run although it ran.
 */
@Timeout(60)
class AttackScheduleTests {

	private final AttackFixture fixture = new AttackFixture();

	@Nested
	class RequestRunsTwice {

		@Test
		void lateDuplicateAfterTheTokenExpired() {
			RequestPipeline pipeline = AttackScheduleTests.this.fixture.ownerPipeline();
			String key = AttackScheduleTests.this.fixture.newKey();
			pipeline.serve(AttackScheduleTests.this.fixture.write(key));
			for (long millis : new long[] { ProcessOnceGate.TOKEN_MILLIS + 1, ProcessOnceGate.RECORD_MILLIS }) {
				AttackScheduleTests.this.fixture.clock.advance(millis);
				assertThat(AttackFixture.run(pipeline.serve(AttackScheduleTests.this.fixture.write(key))))
					.isEqualTo(Problem.Run.UNKNOWN);
			}
			assertThat(AttackScheduleTests.this.fixture.runs).hasValue(1);
		}

		@Test
		void repeatDuringTheRun() throws Exception {
			RequestPipeline pipeline = AttackScheduleTests.this.fixture.ownerPipeline();
			String key = AttackScheduleTests.this.fixture.newKey();
			CountDownLatch repeated = new CountDownLatch(1);
			AttackScheduleTests.this.fixture.target.set(() -> {
				AttackFixture.awaitQuietly(repeated);
				return new DispatchOutcome.Answered(200, Headers.empty(), new byte[0]);
			});
			CompletableFuture<CallerAnswer> first = CompletableFuture
				.supplyAsync(() -> pipeline.serve(AttackScheduleTests.this.fixture.write(key)));
			while (AttackScheduleTests.this.fixture.runs.get() == 0 && !first.isDone()) {
				Thread.sleep(1);
			}
			CompletableFuture<CallerAnswer> repeat = CompletableFuture
				.supplyAsync(() -> pipeline.serve(AttackScheduleTests.this.fixture.write(key)));
			repeated.countDown();
			assertThat(first.get(20, TimeUnit.SECONDS)).isInstanceOf(CallerAnswer.Answered.class);
			assertThat(repeat.get(20, TimeUnit.SECONDS)).isInstanceOf(CallerAnswer.Answered.class);
			assertThat(AttackScheduleTests.this.fixture.runs).hasValue(1);
		}

		@Test
		void answerIsLostBetweenTheOwnerAndTheRelay() {
			String key = AttackScheduleTests.this.fixture.newKey();
			RelayReceiver receiver = new RelayReceiver(AttackScheduleTests.this.fixture.owner,
					AttackScheduleTests.this.fixture.ownerPipeline(), AttackScheduleTests.this.fixture.clock);
			AtomicInteger asked = new AtomicInteger();
			RequestPipeline entry = AttackScheduleTests.this.fixture.pipeline(
					AttackScheduleTests.this.fixture.entryGate(),
					new PeerRequestRelay(AttackScheduleTests.this.fixture.view, (member, message, timeout) -> {
						PeerMessage answer = receiver.serve((PeerMessage.Relay) message);
						return (asked.getAndIncrement() == 0)
								? CompletableFuture.failedFuture(new IllegalStateException("reset"))
								: CompletableFuture.completedFuture(answer);
					}, AttackScheduleTests.this.fixture.clock));
			assertThat(AttackFixture.run(entry.serve(AttackScheduleTests.this.fixture.write(key))))
				.isEqualTo(Problem.Run.UNKNOWN);
			assertThat(entry.serve(AttackScheduleTests.this.fixture.write(key)))
				.isEqualTo(entry.serve(AttackScheduleTests.this.fixture.write(key)))
				.isInstanceOf(CallerAnswer.Answered.class);
			assertThat(AttackScheduleTests.this.fixture.runs).hasValue(1);
		}

		@Test
		void ownerIsReplacedAtItsAddressBeforeTheRelayArrives() {
			String key = AttackScheduleTests.this.fixture.newKey();
			Member next = Member.builder("pdx-1", "p2").build();
			RelayReceiver receiver = new RelayReceiver(next, AttackScheduleTests.this.fixture.ownerPipeline(),
					AttackScheduleTests.this.fixture.clock);
			RequestPipeline entry = AttackScheduleTests.this.fixture.pipeline(
					AttackScheduleTests.this.fixture.entryGate(),
					new PeerRequestRelay(AttackScheduleTests.this.fixture.view,
							(member, message, timeout) -> CompletableFuture
								.completedFuture(receiver.serve((PeerMessage.Relay) message)),
							AttackScheduleTests.this.fixture.clock));
			assertThat(AttackFixture.run(entry.serve(AttackScheduleTests.this.fixture.write(key))))
				.isEqualTo(Problem.Run.UNKNOWN);
			assertThat(AttackScheduleTests.this.fixture.runs).hasValue(0);
		}

		@Test
		void dispatcherFailsAfterTheRequestWasSent() {
			RequestPipeline pipeline = AttackScheduleTests.this.fixture.ownerPipeline();
			String key = AttackScheduleTests.this.fixture.newKey();
			AttackScheduleTests.this.fixture.target.set(() -> {
				throw new IllegalStateException("fault of the dispatcher");
			});
			assertThatThrownBy(() -> pipeline.serve(AttackScheduleTests.this.fixture.write(key)))
				.isInstanceOf(IllegalStateException.class);
			assertThat(AttackFixture.run(pipeline.serve(AttackScheduleTests.this.fixture.write(key))))
				.isEqualTo(Problem.Run.UNKNOWN);
			assertThat(AttackScheduleTests.this.fixture.runs).hasValue(1);
			assertThat(AttackScheduleTests.this.fixture.gate.running()).isZero();
		}

		@Test
		void interruptedDispatchIsTriedAgain() {
			RequestPipeline pipeline = AttackScheduleTests.this.fixture.ownerPipeline();
			String key = AttackScheduleTests.this.fixture.newKey();
			AttackScheduleTests.this.fixture.target.set(() -> {
				Thread.currentThread().interrupt();
				return new DispatchOutcome.Unknown(DispatchOutcome.Unknown.Cause.TIMEOUT, "interrupted");
			});
			assertThat(AttackFixture.run(pipeline.serve(AttackScheduleTests.this.fixture.write(key))))
				.isEqualTo(Problem.Run.UNKNOWN);
			assertThat(Thread.interrupted()).isTrue();
			assertThat(AttackFixture.run(pipeline.serve(AttackScheduleTests.this.fixture.write(key))))
				.isEqualTo(Problem.Run.UNKNOWN);
			assertThat(AttackScheduleTests.this.fixture.runs).hasValue(1);
		}

	}

	@Nested
	class RefusalSaysNotRunWrongly {

		// The record of the first is removed as not run; a second repeat is dispatched
		// before the refusal of the first is given.
		@Test
		void repeatRunsBeforeTheRefusalIsGiven() {
			String key = AttackScheduleTests.this.fixture.newKey();
			RequestPipeline repeats = AttackScheduleTests.this.fixture.ownerPipeline();
			OnceGate once = new AttackFixture.NotifyingGate(AttackScheduleTests.this.fixture.gate,
					() -> repeats.serve(AttackScheduleTests.this.fixture.write(key)));
			RequestPipeline pipeline = AttackScheduleTests.this.fixture.pipeline(once,
					(hostId, processId, request, deadline) -> AttackFixture.DONE);
			AttackScheduleTests.this.fixture.rate.set(() -> {
				AttackScheduleTests.this.fixture.rate.set(RateLimiter.RateDecision.Granted::new);
				return new RateLimiter.RateDecision.Limited(100);
			});
			assertThat(AttackFixture.run(pipeline.serve(AttackScheduleTests.this.fixture.write(key))))
				.isEqualTo(Problem.Run.UNKNOWN);
			assertThat(AttackScheduleTests.this.fixture.runs).hasValue(1);
		}

		@Test
		void joinedRequestIsRefusedWhileAnotherRepeatRuns() {
			String key = AttackScheduleTests.this.fixture.newKey();
			CompletableFuture<CallerAnswer> joined = CompletableFuture
				.completedFuture(Problem.notRun(Problem.Code.RATE_LIMITED, "over its rate").refuse());
			AttackScheduleTests.this.fixture.ownerPipeline().serve(AttackScheduleTests.this.fixture.write(key));
			OnceGate once = new AttackFixture.NotifyingGate(AttackScheduleTests.this.fixture.gate, () -> {
			}) {

				@Override
				public OnceDecision enter(String accountId, String idempotencyKey, String fingerprint) {
					return new OnceDecision.Join(joined);
				}

			};
			assertThat(AttackFixture.run(AttackScheduleTests.this.fixture
				.pipeline(once, (hostId, processId, request, deadline) -> AttackFixture.DONE)
				.serve(AttackScheduleTests.this.fixture.write(key)))).isEqualTo(Problem.Run.UNKNOWN);
		}

		@Test
		void refusalOfARequestThatNeverRanSaysUnknown() {
			AttackScheduleTests.this.fixture.rate.set(() -> new RateLimiter.RateDecision.Limited(100));
			assertThat(AttackFixture.run(AttackScheduleTests.this.fixture.ownerPipeline()
				.serve(AttackScheduleTests.this.fixture.write(AttackScheduleTests.this.fixture.newKey()))))
				.isEqualTo(Problem.Run.NOT_RUN);
		}

	}

	@Nested
	class RequestRunsForAnotherAccount {

		@Test
		void keyIsWithdrawnBetweenTheRelayAndTheOwner() {
			RelayReceiver receiver = new RelayReceiver(AttackScheduleTests.this.fixture.owner,
					AttackScheduleTests.this.fixture.ownerPipeline(), AttackScheduleTests.this.fixture.clock);
			RequestPipeline entry = AttackScheduleTests.this.fixture.pipeline(
					AttackScheduleTests.this.fixture.entryGate(),
					new PeerRequestRelay(AttackScheduleTests.this.fixture.view, (member, message, timeout) -> {
						AttackScheduleTests.this.fixture.change(new Change.WithdrawKey(KeyHash.of(AttackFixture.KEY)));
						return CompletableFuture.completedFuture(receiver.serve((PeerMessage.Relay) message));
					}, AttackScheduleTests.this.fixture.clock));
			assertThat(AttackFixture
				.run(entry.serve(AttackScheduleTests.this.fixture.write(AttackScheduleTests.this.fixture.newKey()))))
				.isEqualTo(Problem.Run.NOT_RUN);
			assertThat(AttackScheduleTests.this.fixture.runs).hasValue(0);
		}

		@Test
		void keyPassesToAnotherAccountWhileTheRequestIsQueued() {
			AttackScheduleTests.this.fixture.change(new Change.PutAccount(new ClientAccount("tidewater", 10, 10)));
			AttackScheduleTests.this.fixture.whileQueued = () -> {
				AttackScheduleTests.this.fixture.change(new Change.WithdrawKey(KeyHash.of(AttackFixture.KEY)));
				AttackScheduleTests.this.fixture
					.change(new Change.IssueKey(KeyHash.of(AttackFixture.KEY), "tidewater"));
			};
			assertThat(AttackFixture.run(AttackScheduleTests.this.fixture.ownerPipeline()
				.serve(AttackScheduleTests.this.fixture.write(AttackScheduleTests.this.fixture.newKey()))))
				.isEqualTo(Problem.Run.NOT_RUN);
			assertThat(AttackScheduleTests.this.fixture.runs).hasValue(0);
		}

		@Test
		void openRouteNeedsAKeyBeforeTheQueuedRequestIsDispatched() {
			CallerRequest hint = new CallerRequest("POST", "/hints/1", "", Headers.empty(), new byte[0], "",
					AttackScheduleTests.this.fixture.clock.millis());
			assertThat(AttackScheduleTests.this.fixture.ownerPipeline().serve(hint))
				.isInstanceOf(CallerAnswer.Answered.class);
			AttackScheduleTests.this.fixture.whileQueued = () -> AttackScheduleTests.this.fixture
				.change(new Change.PutRoute(new Route("open", "POST", "/hints", "offers", true, false, 5000)));
			assertThat(AttackFixture.run(AttackScheduleTests.this.fixture.ownerPipeline().serve(hint)))
				.isEqualTo(Problem.Run.NOT_RUN);
			assertThat(AttackScheduleTests.this.fixture.accounts).containsExactly("open");
		}

	}

}
