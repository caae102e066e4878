package org.plantainspur.core.request;

import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.plantainspur.core.routing.CrossRegionTraffic;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.testing.ConcurrentCalls;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against traffic between regions that is billed but not counted, and against
 * counting traffic that stayed in the region.
 */
@Timeout(60)
class TrafficCountingDispatcherTests {

	private static final Target TARGET_IN_OTHER_REGION = new Target("far", "booking", "127.0.0.1:1", "sea", "sea-a", 4,
			400, false);

	private static final Target TARGET_IN_SAME_REGION = new Target("near", "booking", "127.0.0.1:1", "pdx", "pdx-a", 4,
			400, false);

	/** The bytes of the method, path, query, one field and body: 3 + 4 + 3 + 5 + 10. */
	private static final int REQUEST_BYTES = 25;

	private final CrossRegionTraffic traffic = new CrossRegionTraffic("pdx");

	private DispatchOutcome dispatch(Target target, boolean idempotent, DispatchOutcome outcome) {
		CallerRequest request = new CallerRequest("PUT", "/a/b", "q=1", Headers.empty().with("Id", "xyz"), new byte[10],
				"", 0);
		return new TrafficCountingDispatcher((to, sent, repeatable, timeout) -> outcome, this.traffic).dispatch(target,
				request, idempotent, 1000);
	}

	private static DispatchOutcome answer(int bytes) {
		return new DispatchOutcome.Answered(200, Headers.empty().with("Id", "1"), new byte[bytes - 3]);
	}

	@Nested
	class Bytes {

		@Test
		void ofARequestAndItsWholeAnswerAreCounted() {
			dispatch(TARGET_IN_OTHER_REGION, true, answer(1000));
			assertThat(bytes()).containsExactly(Map.entry("booking idempotent", REQUEST_BYTES + 1000L));
		}

		@Test
		void toTheSameRegionAreNotCounted() {
			dispatch(TARGET_IN_SAME_REGION, true, answer(1000));
			assertThat(bytes()).isEmpty();
		}

		@Test
		void thatWereNotSentAreNotCounted() {
			dispatch(TARGET_IN_OTHER_REGION, true, new DispatchOutcome.NotSent("refused"));
			assertThat(bytes()).isEmpty();
		}

		@Test
		void ofAnIncompleteAnswerAreCounted() {
			dispatch(TARGET_IN_OTHER_REGION, false,
					new DispatchOutcome.Unknown(DispatchOutcome.Unknown.Cause.TOO_LARGE, "too large", 8000));
			assertThat(bytes()).containsExactly(Map.entry("booking non-idempotent", REQUEST_BYTES + 8000L));
		}

		@Test
		void ofARequestThatTheTargetRefusedAreCounted() {
			dispatch(TARGET_IN_OTHER_REGION, true, new DispatchOutcome.RefusedByTarget(false));
			assertThat(bytes()).containsExactly(Map.entry("booking idempotent", (long) REQUEST_BYTES));
		}

		private Map<String, Long> bytes() {
			return TrafficCountingDispatcherTests.this.traffic.bytes();
		}

	}

	/** Guards against counts that are lost when several threads dispatch at once. */
	@Nested
	class ConcurrentDispatches {

		private static final int THREADS = 8;

		private static final int DISPATCHES = 20_000;

		@Test
		void areAllCountedAsIdempotentOrNonIdempotent() throws Exception {
			assertThat(ConcurrentCalls.onEachThread(THREADS, this::dispatchAll)).hasSize(THREADS)
				.containsOnly(DISPATCHES);
			long dispatchesOfEachKind = (long) THREADS * DISPATCHES / 2;
			assertThat(TrafficCountingDispatcherTests.this.traffic.bytes()).containsExactly(
					Map.entry("booking idempotent", dispatchesOfEachKind * (REQUEST_BYTES + 10)),
					Map.entry("booking non-idempotent", dispatchesOfEachKind * (REQUEST_BYTES + 20)));
		}

		private int dispatchAll() {
			for (int i = 0; i < DISPATCHES; i++) {
				boolean idempotent = i % 2 == 0;
				dispatch(TARGET_IN_OTHER_REGION, idempotent, answer(idempotent ? 10 : 20));
			}
			return DISPATCHES;
		}

	}

}
