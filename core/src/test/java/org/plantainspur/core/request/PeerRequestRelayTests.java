package org.plantainspur.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.idempotency.LocalIdempotencyRegistry;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against relayed requests that are wrongly reported as "not run", run in the
 * wrong process, or are relayed in a loop.
 */
class PeerRequestRelayTests {

	private final ManualClock clock = new ManualClock().advance(1000);

	private final ConfigurationView view = new ConfigurationView();

	private final Member owner = Member.builder("pdx-1", "p1").build();

	private final CallerRequest request = new CallerRequest("POST", "/bookings", "", Headers.empty(), new byte[0], "",
			5);

	private final List<PeerMessage> sent = new ArrayList<>();

	@BeforeEach
	void addOwner() {
		this.view.advance(Configuration.empty().apply(new ChangeEntry(1, "c1", new Change.MemberJoined(this.owner))));
	}

	private CallerAnswer relay(String processId, CompletableFuture<PeerMessage> answer) {
		return new PeerRequestRelay(this.view, (member, message, timeout) -> {
			this.sent.add(message);
			return answer;
		}, this.clock).relay("pdx-1", processId, this.request, 1050);
	}

	private static void assertUnknown(CallerAnswer answer) {
		assertThat(((CallerAnswer.Refused) answer).problem().run()).isEqualTo(Problem.Run.UNKNOWN);
	}

	@Nested
	class Sender {

		@Test
		void returnsTheAnswerOfTheOwner() {
			CallerAnswer answer = Problem.notRun(Problem.Code.RATE_LIMITED, "over its rate").toRefusal();
			assertThat(relay("p1", CompletableFuture.completedFuture(new PeerMessage.Relayed(answer))))
				.isSameAs(answer);
			assertThat(PeerRequestRelayTests.this.sent)
				.containsExactly(new PeerMessage.Relay("p1", PeerRequestRelayTests.this.request, 50));
		}

		@Test
		void reportsAFailureAsUnknown() {
			assertUnknown(relay("p1", CompletableFuture.failedFuture(new IllegalStateException("reset"))));
			assertUnknown(relay("p1", new CompletableFuture<>()));
			assertUnknown(relay("p1", CompletableFuture.completedFuture(new PeerMessage.Unsupported("relay"))));
		}

		@Test
		void sendsNothingToAProcessThatReplacedTheOwner() {
			assertUnknown(relay("p0", CompletableFuture.completedFuture(new PeerMessage.Acknowledged())));
			assertThat(PeerRequestRelayTests.this.sent).isEmpty();
		}

	}

	@Nested
	class Receiver {

		private final List<CallerRequest> served = new ArrayList<>();

		private final RelayReceiver receiver = new RelayReceiver(PeerRequestRelayTests.this.owner, (request) -> {
			this.served.add(request);
			return Problem.notRun(Problem.Code.NO_CAPACITY, "none").toRefusal();
		}, PeerRequestRelayTests.this.clock);

		private CallerRequest requestWithTokenOf(String hostId, String processId) {
			String key = LocalIdempotencyRegistry.builder(hostId, processId).build().issueToken("a") + ".x";
			return new CallerRequest("POST", "/bookings", "",
					Headers.empty().with(Headers.IDEMPOTENCY_KEY, key).with(Headers.DEADLINE, "9999"), new byte[0], "",
					5);
		}

		@Test
		void servesARequestWithATokenOfItsProcessWithinTheRemainingTime() {
			this.receiver.serve(new PeerMessage.Relay("p1", requestWithTokenOf("pdx-1", "p1"), 40));
			assertThat(this.served).hasSize(1);
			assertThat(this.served.get(0).headers().first(Headers.DEADLINE)).isEqualTo("40");
			assertThat(this.served.get(0).receivedMillis()).isEqualTo(1000);
		}

		@Test
		void refusesARequestWithoutATokenOfItsProcess() {
			assertUnknown(
					this.receiver.serve(new PeerMessage.Relay("p0", requestWithTokenOf("pdx-1", "p0"), 40)).answer());
			assertUnknown(
					this.receiver.serve(new PeerMessage.Relay("p1", requestWithTokenOf("pdx-2", "p1"), 40)).answer());
			assertUnknown(
					this.receiver.serve(new PeerMessage.Relay("p1", PeerRequestRelayTests.this.request, 40)).answer());
			assertThat(this.served).isEmpty();
		}

	}

}
