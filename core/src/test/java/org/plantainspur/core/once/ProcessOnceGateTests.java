package org.plantainspur.core.once;

import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against double dispatch and against refusals that say the wrong thing.
 */
class ProcessOnceGateTests {

	private static final String ACCOUNT = "harbor-clinic";

	private final ManualClock clock = new ManualClock().advance(7_000_000);

	private final ProcessOnceGate gate = ProcessOnceGate.builder("pdx.7", "p1").clock(this.clock).build();

	private String key() {
		return this.gate.mint(ACCOUNT) + ".own";
	}

	private OnceGate.Ticket dispatch(OnceGate gate, String key) {
		OnceGate.OnceDecision decision = gate.enter(ACCOUNT, key, "f");
		assertThat(decision).isInstanceOf(OnceGate.OnceDecision.Dispatch.class);
		return ((OnceGate.OnceDecision.Dispatch) decision).ticket();
	}

	private static CompletableFuture<CallerAnswer> join(OnceGate gate, String key) {
		OnceGate.OnceDecision decision = gate.enter(ACCOUNT, key, "f");
		assertThat(decision).isInstanceOf(OnceGate.OnceDecision.Join.class);
		return ((OnceGate.OnceDecision.Join) decision).answer();
	}

	private static Problem refusal(OnceGate.OnceDecision decision) {
		assertThat(decision).isInstanceOf(OnceGate.OnceDecision.Refuse.class);
		return ((OnceGate.OnceDecision.Refuse) decision).refusal().problem();
	}

	private static CallerAnswer.Answered answer(int bytes) {
		return new CallerAnswer.Answered(200, Headers.empty(), new byte[bytes]);
	}

	@Nested
	class TokenOfThisProcess {

		@Test
		void tokenWithPointInHostIdWouldSplitAtTheWrongPlace() {
			assertThat(ProcessOnceGateTests.this.gate.mint(ACCOUNT)).doesNotContain(".");
		}

		@Test
		void tokenIsAcceptedToItsLastMillisecondAndThenUnknown() {
			String key = key();
			String other = key + "2";
			ProcessOnceGateTests.this.clock.advance(ProcessOnceGate.TOKEN_MILLIS);
			dispatch(ProcessOnceGateTests.this.gate, key);
			ProcessOnceGateTests.this.clock.advance(1);
			Problem problem = refusal(ProcessOnceGateTests.this.gate.enter(ACCOUNT, other, "f"));
			assertThat(problem.code()).isEqualTo(Problem.Code.DISPATCH_TOKEN_EXPIRED);
			assertThat(problem.run()).isEqualTo(Problem.Run.UNKNOWN);
		}

		@Test
		void tokenOfAnotherAccountIsRefusedAsNotRunOnlyIfItNeverRan() {
			String key = key();
			Problem before = refusal(ProcessOnceGateTests.this.gate.enter("tidewater", key, "f"));
			assertThat(before.run()).isEqualTo(Problem.Run.NOT_RUN);
			dispatch(ProcessOnceGateTests.this.gate, key);
			Problem after = refusal(ProcessOnceGateTests.this.gate.enter("tidewater", key, "f"));
			assertThat(after.run()).isEqualTo(Problem.Run.UNKNOWN);
		}

		@Test
		void changedIssueTimeWouldProlongTheToken() {
			String key = key();
			String[] fields = key.split("~");
			String forged = fields[0] + "~" + fields[1] + "~" + Long.toString(7_100_000, 36) + "~" + fields[3];
			Problem problem = refusal(ProcessOnceGateTests.this.gate.enter(ACCOUNT, forged, "f"));
			assertThat(problem.code()).isEqualTo(Problem.Code.IDEMPOTENCY_KEY_NOT_VALID);
			assertThat(problem.detail()).contains("authentication code");
		}

		@Test
		void malformedKeyIsRefusedWithItsFaultAndWithoutItsText() {
			for (String key : new String[] { "secret-text", "a~b.secret-text", "a~b~!~c.secret-text", "==~b~1~c.secret",
					".secret-text", gate().mint(ACCOUNT) + ".", "secret-text".repeat(60) }) {
				Problem problem = refusal(gate().enter(ACCOUNT, key, "f"));
				assertThat(problem.code()).isEqualTo(Problem.Code.IDEMPOTENCY_KEY_NOT_VALID);
				assertThat(problem.run()).isEqualTo(Problem.Run.NOT_RUN);
				assertThat(problem.detail()).startsWith("the idempotency key ").doesNotContain("secret");
			}
		}

		private ProcessOnceGate gate() {
			return ProcessOnceGateTests.this.gate;
		}

	}

	@Nested
	class TokenOfAnotherProcess {

		@Test
		void earlierProcessOfThisHostMayHaveRunTheRequest() {
			String key = key();
			OnceGate next = ProcessOnceGate.builder("pdx.7", "p2").clock(ProcessOnceGateTests.this.clock).build();
			assertThat(next.enter(ACCOUNT, key, "f")).isEqualTo(new OnceGate.OnceDecision.Relay("pdx.7", "p1"));
		}

		@Test
		void processWithTheSameNameButAnotherSecretDoesNotDispatch() {
			String key = key();
			OnceGate twin = ProcessOnceGate.builder("pdx.7", "p1").clock(ProcessOnceGateTests.this.clock).build();
			refusal(twin.enter(ACCOUNT, key, "f"));
		}

	}

	@Nested
	class Repeats {

		@Test
		void repeatJoinsAndGetsTheAnswer() {
			String key = key();
			OnceGate.Ticket ticket = dispatch(ProcessOnceGateTests.this.gate, key);
			CompletableFuture<CallerAnswer> joined = join(ProcessOnceGateTests.this.gate, key);
			assertThat(joined).isNotDone();
			CallerAnswer answer = answer(3);
			ticket.answered(answer);
			assertThat(joined).isCompletedWithValue(answer);
			assertThat(join(ProcessOnceGateTests.this.gate, key)).isCompletedWithValue(answer);
		}

		@Test
		void unknownStaysUnknown() {
			String key = key();
			CallerAnswer unknown = Problem.unknown(Problem.Code.TARGET_TIMEOUT, "no answer").refuse();
			dispatch(ProcessOnceGateTests.this.gate, key).answered(unknown);
			ProcessOnceGateTests.this.clock.advance(ProcessOnceGate.TOKEN_MILLIS);
			assertThat(join(ProcessOnceGateTests.this.gate, key)).isCompletedWithValue(unknown);
		}

		@Test
		void repeatAfterNotRunIsDispatched() {
			String key = key();
			dispatch(ProcessOnceGateTests.this.gate, key)
				.notRun(Problem.notRun(Problem.Code.RATE_LIMITED, "over its rate").refuse());
			dispatch(ProcessOnceGateTests.this.gate, key);
		}

		@Test
		void otherRequestWithTheSameKeyGetsNoForeignAnswer() {
			String key = key();
			dispatch(ProcessOnceGateTests.this.gate, key);
			Problem problem = refusal(ProcessOnceGateTests.this.gate.enter(ACCOUNT, key, "g"));
			assertThat(problem.code()).isEqualTo(Problem.Code.IDEMPOTENCY_KEY_REUSED);
			assertThat(problem.run()).isEqualTo(Problem.Run.UNKNOWN);
		}

	}

	@Nested
	class Bounds {

		@Test
		void fullTableRefusesNewRequestsAndKeepsItsRecords() {
			ProcessOnceGate small = ProcessOnceGate.builder("pdx.7", "p1")
				.clock(ProcessOnceGateTests.this.clock)
				.maximumRecords(1)
				.build();
			String key = small.mint(ACCOUNT);
			OnceGate.Ticket ticket = dispatch(small, key + ".1");
			Problem problem = refusal(small.enter(ACCOUNT, key + ".2", "f"));
			assertThat(problem.run()).isEqualTo(Problem.Run.NOT_RUN);
			assertThat(problem.retryAfterMillis()).isPositive();
			join(small, key + ".1");
			ticket.notRun(Problem.notRun(Problem.Code.RATE_LIMITED, "over its rate").refuse());
			dispatch(small, key + ".2");
		}

		@Test
		void oldestAnswerIsDroppedFirstAndItsRecordStays() {
			ProcessOnceGate small = ProcessOnceGate.builder("pdx.7", "p1")
				.clock(ProcessOnceGateTests.this.clock)
				.answerBytes(100)
				.build();
			String key = small.mint(ACCOUNT);
			dispatch(small, key + ".1").answered(answer(60));
			dispatch(small, key + ".2").answered(answer(60));
			assertThat(small.answerBytes()).isEqualTo(60);
			Problem problem = ((CallerAnswer.Refused) join(small, key + ".1").join()).problem();
			assertThat(problem.code()).isEqualTo(Problem.Code.ANSWER_NOT_KEPT);
			assertThat(problem.run()).isEqualTo(Problem.Run.UNKNOWN);
			assertThat(join(small, key + ".2").join()).isInstanceOf(CallerAnswer.Answered.class);
		}

		@Test
		void recordsAndAnswersAreFreedAfterTheirTime() {
			dispatch(ProcessOnceGateTests.this.gate, key()).answered(answer(9));
			ProcessOnceGateTests.this.clock.advance(ProcessOnceGate.RECORD_MILLIS - 1);
			dispatch(ProcessOnceGateTests.this.gate, key());
			assertThat(ProcessOnceGateTests.this.gate.records()).isEqualTo(2);
			ProcessOnceGateTests.this.clock.advance(60_001);
			dispatch(ProcessOnceGateTests.this.gate, key());
			assertThat(ProcessOnceGateTests.this.gate.records()).isEqualTo(2);
			assertThat(ProcessOnceGateTests.this.gate.answerBytes()).isZero();
		}

	}

	@Nested
	class Idleness {

		@Test
		void processWithARunningRequestOrRecentRepeatsWouldStopTooEarly() {
			String key = key();
			OnceGate.Ticket ticket = dispatch(ProcessOnceGateTests.this.gate, key);
			ProcessOnceGateTests.this.clock.advance(5000);
			assertThat(ProcessOnceGateTests.this.gate.idle(1000)).isFalse();
			ticket.answered(answer(1));
			assertThat(ProcessOnceGateTests.this.gate.idle(1000)).isTrue();
			join(ProcessOnceGateTests.this.gate, key);
			assertThat(ProcessOnceGateTests.this.gate.idle(1000)).isFalse();
		}

	}

}
