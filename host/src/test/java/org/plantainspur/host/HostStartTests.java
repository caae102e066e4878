package org.plantainspur.host;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a starting host to which callers are sent before it answers them.
 */
@Timeout(60)
class HostStartTests {

	@Nested
	class Membership {

		/** Longer than four intervals in which a process tries to join. */
		private static final long OBSERVED_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

		@Test
		void isNotTakenUpBeforeTheServerAnswersCallers() throws Exception {
			AtomicReference<String> answerBeforeJoin = new AtomicReference<>("");
			AtomicReference<Integer> membersBeforeJoin = new AtomicReference<>(-1);
			try (RunningHost host = new RunningHost((target, request, idempotent, timeout) -> RunningHost.ok(),
					(serving) -> {
						membersBeforeJoin.set(observeMembers(serving));
						answerBeforeJoin.set(locate(serving));
					})) {
				assertThat(membersBeforeJoin.get()).isZero();
				assertThat(answerBeforeJoin.get()).startsWith("HTTP/1.1 ");
				assertThat(host.view().current().membership().members()).hasSize(1);
			}
		}

		// Returns as soon as there is a member, so that a failure is found without delay.
		private static int observeMembers(RunningHost host) {
			long startNanos = System.nanoTime();
			while (host.view().current().membership().size() == 0 && System.nanoTime() - startNanos < OBSERVED_NANOS) {
				sleep();
			}
			return host.view().current().membership().size();
		}

		private static void sleep() {
			try {
				Thread.sleep(20);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		private static String locate(RunningHost host) {
			try {
				return host.exchange("GET /.plantainspur/locate HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + RunningHost.KEY
						+ "\r\nConnection: close\r\n\r\n");
			}
			catch (IOException ex) {
				return ex.toString();
			}
		}

	}

}
