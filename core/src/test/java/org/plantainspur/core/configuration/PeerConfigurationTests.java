package org.plantainspur.core.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a host that cannot start from a peer while the platform is unavailable,
 * or starts from parts of different states.
 */
class PeerConfigurationTests {

	private static final int ACCOUNTS = 3 * ConfigurationParts.ENTITIES_OF_A_PART;

	private final ManualClock clock = new ManualClock();

	private final Peer peer = new Peer("a");

	private final ConfigurationView view = new ConfigurationView();

	private final PeerConfiguration configuration = new PeerConfiguration(this.view, follower(this.view), this.peer,
			List.of(this.peer.member));

	private ConfigurationFollower follower(ConfigurationView view) {
		return new ConfigurationFollower(new UnavailableLog(), view, new EmptyStore(), this.clock);
	}

	private static Configuration stateWith(long sequence, double rate) {
		List<ClientAccount> accounts = new ArrayList<>();
		for (int i = 0; i < ACCOUNTS; i++) {
			accounts.add(new ClientAccount("account-" + i, rate, rate));
		}
		ConfigurationState empty = Configuration.empty().state();
		return Configuration.restore(new ConfigurationState(sequence, accounts, empty.accountsByKeyHash(),
				empty.routes(), empty.services(), empty.membership(), empty.versions()));
	}

	private void assertInForce(long sequence, double rate) {
		assertThat(this.view.current().sequence()).isEqualTo(sequence);
		assertThat(this.view.current().state().accounts()).hasSize(ACCOUNTS)
			.allSatisfy((account) -> assertThat(account.ratePerSecond()).isEqualTo(rate));
	}

	/**
	 * Answers a question only when it is told to.
	 */
	private final class Peer implements PeerLink {

		private final Member member;

		private final ConfigurationView view = new ConfigurationView();

		private final ConfigurationFollower follower = follower(this.view);

		private final Queue<Runnable> questions = new ArrayDeque<>();

		private int asked;

		private boolean stopped;

		private Peer(String hostId) {
			this.member = Member.builder(hostId, "process").peerAddress(hostId + ":1").build();
		}

		@Override
		public CompletableFuture<PeerMessage> ask(Member member, PeerMessage message, long timeoutMillis) {
			this.asked++;
			CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
			this.questions.add(() -> {
				if (this.stopped) {
					answer.completeExceptionally(new IllegalStateException("no answer"));
				}
				else {
					answer.complete(answer(message));
				}
			});
			return answer;
		}

		private PeerMessage answer(PeerMessage message) {
			if (message instanceof PeerMessage.ConfigurationPartRequest request) {
				return this.follower.answer(request);
			}
			return this.follower.answer((PeerMessage.ConfigurationRequest) message);
		}

		private void answerOne() {
			this.questions.remove().run();
		}

		private void answerAll() {
			while (!this.questions.isEmpty()) {
				answerOne();
			}
		}

	}

	private static final class UnavailableLog implements ChangeLog {

		@Override
		public List<ChangeEntry> read(long after) {
			throw new ChangeLog.UnavailableException("no connection", new IllegalStateException());
		}

		@Override
		public AppendResult append(long expectedHead, String changeId, Change change) {
			return new AppendResult.Unknown("no connection");
		}

		@Override
		public OptionalLong find(String changeId) {
			return OptionalLong.empty();
		}

		@Override
		public long head() {
			throw new ChangeLog.UnavailableException("no connection", new IllegalStateException());
		}

	}

	private static final class EmptyStore implements SnapshotStore {

		@Override
		public Optional<Configuration> newest() {
			return Optional.empty();
		}

		@Override
		public void put(Configuration configuration) {
		}

	}

	@Nested
	class WholeState {

		@Test
		void isFetchedInParts() {
			PeerConfigurationTests.this.peer.view.advance(stateWith(7, 10));
			PeerConfigurationTests.this.configuration.tick();
			PeerConfigurationTests.this.peer.answerAll();
			assertInForce(7, 10);
			assertThat(PeerConfigurationTests.this.peer.asked).isGreaterThan(2);
		}

		@Test
		void isNotMixedWithAChangeMadeMeanwhile() {
			Peer peer = PeerConfigurationTests.this.peer;
			peer.view.advance(stateWith(7, 10));
			PeerConfigurationTests.this.configuration.tick();
			peer.answerOne();
			peer.view.advance(stateWith(8, 20));
			peer.answerAll();
			assertInForce(7, 10);
			PeerConfigurationTests.this.configuration.fetch(peer.member);
			peer.answerAll();
			assertInForce(8, 20);
		}

		@Test
		void isFetchedAgainIfThePeerNoLongerOffersIt() {
			Peer peer = PeerConfigurationTests.this.peer;
			peer.view.advance(stateWith(7, 10));
			PeerConfigurationTests.this.configuration.tick();
			peer.answerOne();
			peer.view.advance(stateWith(8, 20));
			PeerConfigurationTests.this.clock.advance(ConfigurationOffer.LIFETIME_MILLIS + 1);
			peer.follower.answer(new PeerMessage.ConfigurationRequest(0));
			peer.answerAll();
			assertThat(PeerConfigurationTests.this.view.current().sequence()).isZero();
			PeerConfigurationTests.this.configuration.tick();
			peer.answerAll();
			assertInForce(8, 20);
		}

		@Test
		void isFetchedAgainAfterThePeerStopped() {
			Peer peer = PeerConfigurationTests.this.peer;
			peer.view.advance(stateWith(7, 10));
			PeerConfigurationTests.this.configuration.tick();
			peer.answerOne();
			peer.stopped = true;
			peer.answerAll();
			assertThat(PeerConfigurationTests.this.view.current().sequence()).isZero();
			peer.stopped = false;
			PeerConfigurationTests.this.configuration.tick();
			peer.answerAll();
			assertInForce(7, 10);
		}

		@Test
		void isFetchedOnlyOnceAtATime() {
			Peer peer = PeerConfigurationTests.this.peer;
			peer.view.advance(stateWith(7, 10));
			PeerConfigurationTests.this.configuration.tick();
			peer.answerOne();
			int asked = peer.asked;
			PeerConfigurationTests.this.configuration.tick();
			PeerConfigurationTests.this.configuration.fetch(peer.member);
			assertThat(peer.asked).isEqualTo(asked);
		}

		@Test
		void ofAnOlderSequenceIsNotFetched() {
			Peer peer = PeerConfigurationTests.this.peer;
			PeerConfigurationTests.this.view.advance(stateWith(9, 30));
			peer.view.advance(stateWith(7, 10));
			PeerConfigurationTests.this.configuration.fetch(peer.member);
			peer.answerAll();
			assertInForce(9, 30);
		}

	}

}
