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
 * Guards against a host that cannot fetch its configuration from a peer while the
 * platform is unavailable, and against a configuration joined from parts of different
 * states.
 */
class PeerConfigurationFetcherTests {

	private static final int ACCOUNTS = 3 * ConfigurationParts.ENTITIES_PER_PART;

	private final ManualClock clock = new ManualClock();

	private final Peer peer = new Peer("a");

	private final ConfigurationView view = new ConfigurationView();

	private final PeerConfigurationFetcher fetcher = new PeerConfigurationFetcher(this.view, follower(this.view),
			this.peer, List.of(this.peer.member));

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
	 * A peer that keeps requests until the test calls {@link #answerOne()} or
	 * {@link #answerAll()}.
	 */
	private final class Peer implements PeerLink {

		private final Member member;

		private final ConfigurationView view = new ConfigurationView();

		private final ConfigurationFollower follower = follower(this.view);

		private final Queue<Runnable> requests = new ArrayDeque<>();

		private int requestCount;

		private boolean stopped;

		private Peer(String hostId) {
			this.member = Member.builder(hostId, "process").peerAddress(hostId + ":1").build();
		}

		@Override
		public CompletableFuture<PeerMessage> ask(Member member, PeerMessage message, long timeoutMillis) {
			this.requestCount++;
			CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
			this.requests.add(() -> {
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
			this.requests.remove().run();
		}

		private void answerAll() {
			while (!this.requests.isEmpty()) {
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
			PeerConfigurationFetcherTests.this.peer.view.advance(stateWith(7, 10));
			PeerConfigurationFetcherTests.this.fetcher.fetchIfMissing();
			PeerConfigurationFetcherTests.this.peer.answerAll();
			assertInForce(7, 10);
			assertThat(PeerConfigurationFetcherTests.this.peer.requestCount).isGreaterThan(2);
		}

		@Test
		void isNotMixedWithAChangeMadeMeanwhile() {
			Peer peer = PeerConfigurationFetcherTests.this.peer;
			peer.view.advance(stateWith(7, 10));
			PeerConfigurationFetcherTests.this.fetcher.fetchIfMissing();
			peer.answerOne();
			peer.view.advance(stateWith(8, 20));
			peer.answerAll();
			assertInForce(7, 10);
			PeerConfigurationFetcherTests.this.fetcher.fetch(peer.member);
			peer.answerAll();
			assertInForce(8, 20);
		}

		@Test
		void isFetchedAgainIfThePeerNoLongerOffersIt() {
			Peer peer = PeerConfigurationFetcherTests.this.peer;
			peer.view.advance(stateWith(7, 10));
			PeerConfigurationFetcherTests.this.fetcher.fetchIfMissing();
			peer.answerOne();
			peer.view.advance(stateWith(8, 20));
			PeerConfigurationFetcherTests.this.clock.advance(ConfigurationPartCache.LIFETIME_MILLIS + 1);
			peer.follower.answer(new PeerMessage.ConfigurationRequest(0));
			peer.answerAll();
			assertThat(PeerConfigurationFetcherTests.this.view.current().sequence()).isZero();
			PeerConfigurationFetcherTests.this.fetcher.fetchIfMissing();
			peer.answerAll();
			assertInForce(8, 20);
		}

		@Test
		void isFetchedAgainAfterThePeerStopped() {
			Peer peer = PeerConfigurationFetcherTests.this.peer;
			peer.view.advance(stateWith(7, 10));
			PeerConfigurationFetcherTests.this.fetcher.fetchIfMissing();
			peer.answerOne();
			peer.stopped = true;
			peer.answerAll();
			assertThat(PeerConfigurationFetcherTests.this.view.current().sequence()).isZero();
			peer.stopped = false;
			PeerConfigurationFetcherTests.this.fetcher.fetchIfMissing();
			peer.answerAll();
			assertInForce(7, 10);
		}

		@Test
		void isFetchedOnlyOnceAtATime() {
			Peer peer = PeerConfigurationFetcherTests.this.peer;
			peer.view.advance(stateWith(7, 10));
			PeerConfigurationFetcherTests.this.fetcher.fetchIfMissing();
			peer.answerOne();
			int requestCount = peer.requestCount;
			PeerConfigurationFetcherTests.this.fetcher.fetchIfMissing();
			PeerConfigurationFetcherTests.this.fetcher.fetch(peer.member);
			assertThat(peer.requestCount).isEqualTo(requestCount);
		}

		@Test
		void ofAnOlderSequenceIsNotFetched() {
			Peer peer = PeerConfigurationFetcherTests.this.peer;
			PeerConfigurationFetcherTests.this.view.advance(stateWith(9, 30));
			peer.view.advance(stateWith(7, 10));
			PeerConfigurationFetcherTests.this.fetcher.fetch(peer.member);
			peer.answerAll();
			assertInForce(9, 30);
		}

	}

}
