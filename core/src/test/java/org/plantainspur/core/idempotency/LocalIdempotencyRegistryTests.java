package org.plantainspur.core.idempotency;

import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are dispatched twice, and against refusals with a wrong
 * code or a wrong statement about whether the request ran.
 */
class LocalIdempotencyRegistryTests {

	private static final String ACCOUNT = "harbor-clinic";

	private final ManualClock clock = new ManualClock().advance(7_000_000);

	private final LocalIdempotencyRegistry registry = LocalIdempotencyRegistry.builder("pdx.7", "p1")
		.clock(this.clock)
		.build();

	private String key() {
		return this.registry.issueToken(ACCOUNT) + ".own";
	}

	private IdempotencyRegistry.OpenRecord dispatch(IdempotencyRegistry registry, String key) {
		IdempotencyRegistry.DispatchDecision decision = registry.register(ACCOUNT, key, "f");
		assertThat(decision).isInstanceOf(IdempotencyRegistry.DispatchDecision.Dispatch.class);
		return ((IdempotencyRegistry.DispatchDecision.Dispatch) decision).openRecord();
	}

	private static CompletableFuture<CallerAnswer> join(IdempotencyRegistry registry, String key) {
		IdempotencyRegistry.DispatchDecision decision = registry.register(ACCOUNT, key, "f");
		assertThat(decision).isInstanceOf(IdempotencyRegistry.DispatchDecision.Join.class);
		return ((IdempotencyRegistry.DispatchDecision.Join) decision).answer();
	}

	private static Problem refusal(IdempotencyRegistry.DispatchDecision decision) {
		assertThat(decision).isInstanceOf(IdempotencyRegistry.DispatchDecision.Refuse.class);
		return ((IdempotencyRegistry.DispatchDecision.Refuse) decision).refusal().problem();
	}

	private static CallerAnswer.Answered answer(int bytes) {
		return new CallerAnswer.Answered(200, Headers.empty(), new byte[bytes]);
	}

	@Nested
	class TokenOfThisProcess {

		@Test
		void containsNoDotEvenIfTheHostIdDoes() {
			assertThat(LocalIdempotencyRegistryTests.this.registry.issueToken(ACCOUNT)).doesNotContain(".");
		}

		@Test
		void isAcceptedUntilItsLastMillisecondAndThenRefusedAsUnknown() {
			String key = key();
			String other = key + "2";
			LocalIdempotencyRegistryTests.this.clock.advance(LocalIdempotencyRegistry.TOKEN_LIFETIME_MILLIS);
			dispatch(LocalIdempotencyRegistryTests.this.registry, key);
			LocalIdempotencyRegistryTests.this.clock.advance(1);
			Problem problem = refusal(LocalIdempotencyRegistryTests.this.registry.register(ACCOUNT, other, "f"));
			assertThat(problem.code()).isEqualTo(Problem.Code.DISPATCH_TOKEN_EXPIRED);
			assertThat(problem.run()).isEqualTo(Problem.Run.UNKNOWN);
		}

		@Test
		void isRefusedForAnotherAccountAsNotRunOnlyIfTheKeyNeverRan() {
			String key = key();
			Problem before = refusal(LocalIdempotencyRegistryTests.this.registry.register("tidewater", key, "f"));
			assertThat(before.run()).isEqualTo(Problem.Run.NOT_RUN);
			dispatch(LocalIdempotencyRegistryTests.this.registry, key);
			Problem after = refusal(LocalIdempotencyRegistryTests.this.registry.register("tidewater", key, "f"));
			assertThat(after.run()).isEqualTo(Problem.Run.UNKNOWN);
		}

		@Test
		void isRefusedIfItsIssueTimeWasChanged() {
			String key = key();
			String[] fields = key.split("~");
			String forged = fields[0] + "~" + fields[1] + "~" + Long.toString(7_100_000, 36) + "~" + fields[3];
			Problem problem = refusal(LocalIdempotencyRegistryTests.this.registry.register(ACCOUNT, forged, "f"));
			assertThat(problem.code()).isEqualTo(Problem.Code.IDEMPOTENCY_KEY_NOT_VALID);
			assertThat(problem.detail()).contains("authentication code");
		}

		@Test
		void isRefusedIfMalformedWithAReasonThatDoesNotContainTheKey() {
			for (String key : new String[] { "secret-text", "a~b.secret-text", "a~b~!~c.secret-text", "==~b~1~c.secret",
					".secret-text", registry().issueToken(ACCOUNT) + ".", "secret-text".repeat(60) }) {
				Problem problem = refusal(registry().register(ACCOUNT, key, "f"));
				assertThat(problem.code()).isEqualTo(Problem.Code.IDEMPOTENCY_KEY_NOT_VALID);
				assertThat(problem.run()).isEqualTo(Problem.Run.NOT_RUN);
				assertThat(problem.detail()).startsWith("the idempotency key ").doesNotContain("secret");
			}
		}

		private LocalIdempotencyRegistry registry() {
			return LocalIdempotencyRegistryTests.this.registry;
		}

	}

	@Nested
	class TokenOfAnotherProcess {

		@Test
		void isRelayedEvenToAnEarlierProcessOfThisHost() {
			String key = key();
			IdempotencyRegistry replacement = LocalIdempotencyRegistry.builder("pdx.7", "p2")
				.clock(LocalIdempotencyRegistryTests.this.clock)
				.build();
			assertThat(replacement.register(ACCOUNT, key, "f"))
				.isEqualTo(new IdempotencyRegistry.DispatchDecision.Relay("pdx.7", "p1"));
		}

		@Test
		void isRefusedByAProcessWithTheSameIdsButAnotherSecret() {
			String key = key();
			IdempotencyRegistry sameIds = LocalIdempotencyRegistry.builder("pdx.7", "p1")
				.clock(LocalIdempotencyRegistryTests.this.clock)
				.build();
			refusal(sameIds.register(ACCOUNT, key, "f"));
		}

	}

	@Nested
	class Repeats {

		@Test
		void repeatJoinsAndGetsTheAnswer() {
			String key = key();
			IdempotencyRegistry.OpenRecord record = dispatch(LocalIdempotencyRegistryTests.this.registry, key);
			CompletableFuture<CallerAnswer> joined = join(LocalIdempotencyRegistryTests.this.registry, key);
			assertThat(joined).isNotDone();
			CallerAnswer answer = answer(3);
			record.complete(answer);
			assertThat(joined).isCompletedWithValue(answer);
			assertThat(join(LocalIdempotencyRegistryTests.this.registry, key)).isCompletedWithValue(answer);
		}

		@Test
		void unknownOutcomeIsKeptUntilTheTokenExpires() {
			String key = key();
			CallerAnswer unknown = Problem.unknown(Problem.Code.TARGET_TIMEOUT, "no answer").toRefusal();
			dispatch(LocalIdempotencyRegistryTests.this.registry, key).complete(unknown);
			LocalIdempotencyRegistryTests.this.clock.advance(LocalIdempotencyRegistry.TOKEN_LIFETIME_MILLIS);
			assertThat(join(LocalIdempotencyRegistryTests.this.registry, key)).isCompletedWithValue(unknown);
		}

		@Test
		void repeatAfterARefusalAsNotRunIsDispatched() {
			String key = key();
			dispatch(LocalIdempotencyRegistryTests.this.registry, key)
				.removeAsNotRun(Problem.notRun(Problem.Code.RATE_LIMITED, "over its rate").toRefusal());
			dispatch(LocalIdempotencyRegistryTests.this.registry, key);
		}

		@Test
		void differentRequestWithTheSameKeyIsRefused() {
			String key = key();
			dispatch(LocalIdempotencyRegistryTests.this.registry, key);
			Problem problem = refusal(LocalIdempotencyRegistryTests.this.registry.register(ACCOUNT, key, "g"));
			assertThat(problem.code()).isEqualTo(Problem.Code.IDEMPOTENCY_KEY_REUSED);
			assertThat(problem.run()).isEqualTo(Problem.Run.UNKNOWN);
		}

	}

	@Nested
	class Bounds {

		@Test
		void fullTableRefusesNewRequestsAndKeepsItsRecords() {
			LocalIdempotencyRegistry small = LocalIdempotencyRegistry.builder("pdx.7", "p1")
				.clock(LocalIdempotencyRegistryTests.this.clock)
				.maximumRecords(1)
				.build();
			String key = small.issueToken(ACCOUNT);
			IdempotencyRegistry.OpenRecord record = dispatch(small, key + ".1");
			Problem problem = refusal(small.register(ACCOUNT, key + ".2", "f"));
			assertThat(problem.run()).isEqualTo(Problem.Run.NOT_RUN);
			assertThat(problem.retryAfterMillis()).isPositive();
			join(small, key + ".1");
			record.removeAsNotRun(Problem.notRun(Problem.Code.RATE_LIMITED, "over its rate").toRefusal());
			dispatch(small, key + ".2");
		}

		@Test
		void oldestAnswerIsDroppedFirstAndItsRecordStays() {
			LocalIdempotencyRegistry small = LocalIdempotencyRegistry.builder("pdx.7", "p1")
				.clock(LocalIdempotencyRegistryTests.this.clock)
				.maximumAnswerBytes(100)
				.build();
			String key = small.issueToken(ACCOUNT);
			dispatch(small, key + ".1").complete(answer(60));
			dispatch(small, key + ".2").complete(answer(60));
			assertThat(small.answerBytes()).isEqualTo(60);
			Problem problem = ((CallerAnswer.Refused) join(small, key + ".1").join()).problem();
			assertThat(problem.code()).isEqualTo(Problem.Code.ANSWER_NOT_KEPT);
			assertThat(problem.run()).isEqualTo(Problem.Run.UNKNOWN);
			assertThat(join(small, key + ".2").join()).isInstanceOf(CallerAnswer.Answered.class);
		}

		@Test
		void recordsAndAnswersAreFreedAfterTheRetentionTime() {
			dispatch(LocalIdempotencyRegistryTests.this.registry, key()).complete(answer(9));
			LocalIdempotencyRegistryTests.this.clock.advance(LocalIdempotencyRegistry.RECORD_RETENTION_MILLIS - 1);
			dispatch(LocalIdempotencyRegistryTests.this.registry, key());
			assertThat(LocalIdempotencyRegistryTests.this.registry.records()).isEqualTo(2);
			LocalIdempotencyRegistryTests.this.clock.advance(60_001);
			dispatch(LocalIdempotencyRegistryTests.this.registry, key());
			assertThat(LocalIdempotencyRegistryTests.this.registry.records()).isEqualTo(2);
			assertThat(LocalIdempotencyRegistryTests.this.registry.answerBytes()).isZero();
		}

	}

	@Nested
	class Idleness {

		@Test
		void isNotReportedWhileARequestRunsOrAfterARecentRepeat() {
			String key = key();
			IdempotencyRegistry.OpenRecord record = dispatch(LocalIdempotencyRegistryTests.this.registry, key);
			LocalIdempotencyRegistryTests.this.clock.advance(5000);
			assertThat(LocalIdempotencyRegistryTests.this.registry.idle(1000)).isFalse();
			record.complete(answer(1));
			assertThat(LocalIdempotencyRegistryTests.this.registry.idle(1000)).isTrue();
			join(LocalIdempotencyRegistryTests.this.registry, key);
			assertThat(LocalIdempotencyRegistryTests.this.registry.idle(1000)).isFalse();
		}

	}

}
