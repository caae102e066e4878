package org.plantainspur.core.currency;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationFollower;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.SnapshotStore;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against dispatch tokens of a new process that other hosts cannot relay to yet,
 * and against a process that never issues tokens because of others.
 */
class RelayTokenReadinessTests {

	private final ManualClock clock = new ManualClock().advance(100_000);

	private final ConfigurationView view = new ConfigurationView();

	private final Member self = member("entry-1", "new");

	private final HeartbeatExchange heartbeats = new HeartbeatExchange(this.clock, this.view,
			new ConfigurationFollower(new NoChangeLog(), this.view, SnapshotStore.none(), this.clock),
			(member, message, timeout) -> new CompletableFuture<>(), this.self,
			new QuorumCurrencyRule(this.clock, this.self, "pdx"), (member, sequence) -> {
			});

	private final RelayTokenReadiness readiness = new RelayTokenReadiness(this.clock, this.view, this.heartbeats,
			this.self);

	private long joinSequence;

	@BeforeEach
	void addOtherMembers() {
		join(member("entry-1", "old"));
		join(member("entry-2", "p2"));
		join(member("entry-3", "p3"));
	}

	private static Member member(String host, String process) {
		return Member.builder(host, process).region("pdx").peerAddress(host + ":1").build();
	}

	private void join(Member member) {
		Configuration before = this.view.current();
		this.joinSequence = before.sequence() + 1;
		this.view.advance(before
			.apply(new ChangeEntry(this.joinSequence, "c" + this.joinSequence, new Change.MemberJoined(member))));
	}

	private void receiveHeartbeat(String host, String process, long sequence) {
		this.heartbeats.answer(new PeerMessage.Heartbeat(host, process, sequence, 20, false, List.of()));
	}

	@Nested
	class BeforeTheJoin {

		@Test
		void noTokenIsIssuedAlthoughTheOtherMembersSendHeartbeats() {
			receiveHeartbeat("entry-2", "p2", RelayTokenReadinessTests.this.joinSequence);
			receiveHeartbeat("entry-3", "p3", RelayTokenReadinessTests.this.joinSequence);
			assertThat(RelayTokenReadinessTests.this.readiness.mayIssue()).isFalse();
		}

		@Test
		void tokensAreIssuedIfTheProcessCannotJoin() {
			RelayTokenReadinessTests.this.clock.advance(RelayTokenReadiness.JOIN_WAIT_MILLIS - 1);
			assertThat(RelayTokenReadinessTests.this.readiness.mayIssue()).isFalse();
			RelayTokenReadinessTests.this.clock.advance(1);
			assertThat(RelayTokenReadinessTests.this.readiness.mayIssue()).isTrue();
		}

	}

	@Nested
	class AfterTheJoin {

		@BeforeEach
		void joinThisProcess() {
			join(RelayTokenReadinessTests.this.self);
		}

		@Test
		void noTokenIsIssuedWhileAMemberDoesNotKnowOfTheJoin() {
			receiveHeartbeat("entry-2", "p2", RelayTokenReadinessTests.this.joinSequence);
			receiveHeartbeat("entry-3", "p3", RelayTokenReadinessTests.this.joinSequence - 1);
			assertThat(RelayTokenReadinessTests.this.readiness.mayIssue()).isFalse();
		}

		@Test
		void noTokenIsIssuedWhileAMemberHasNotReachedThisProcess() {
			receiveHeartbeat("entry-2", "p2", RelayTokenReadinessTests.this.joinSequence);
			assertThat(RelayTokenReadinessTests.this.readiness.mayIssue()).isFalse();
		}

		@Test
		void aHeartbeatOfAnEarlierProcessDoesNotCount() {
			receiveHeartbeat("entry-2", "p2", RelayTokenReadinessTests.this.joinSequence);
			receiveHeartbeat("entry-3", "earlier", RelayTokenReadinessTests.this.joinSequence);
			assertThat(RelayTokenReadinessTests.this.readiness.mayIssue()).isFalse();
		}

		@Test
		void tokensAreIssuedOnceEveryMemberHasReachedThisProcessAndStayIssued() {
			receiveHeartbeat("entry-2", "p2", RelayTokenReadinessTests.this.joinSequence);
			receiveHeartbeat("entry-3", "p3", RelayTokenReadinessTests.this.joinSequence);
			assertThat(RelayTokenReadinessTests.this.readiness.mayIssue()).isTrue();
			join(member("entry-4", "p4"));
			assertThat(RelayTokenReadinessTests.this.readiness.mayIssue()).isTrue();
		}

		@Test
		void aSilentMemberDelaysTokensForALimitedTime() {
			receiveHeartbeat("entry-2", "p2", RelayTokenReadinessTests.this.joinSequence);
			RelayTokenReadinessTests.this.clock.advance(RelayTokenReadiness.REACH_WAIT_MILLIS - 1);
			assertThat(RelayTokenReadinessTests.this.readiness.mayIssue()).isFalse();
			RelayTokenReadinessTests.this.clock.advance(1);
			assertThat(RelayTokenReadinessTests.this.readiness.mayIssue()).isTrue();
		}

	}

	/**
	 * A change log that is not read in these tests.
	 */
	private static final class NoChangeLog implements ChangeLog {

		@Override
		public long head() {
			throw new UnsupportedOperationException();
		}

		@Override
		public List<ChangeEntry> read(long after) {
			throw new UnsupportedOperationException();
		}

		@Override
		public AppendResult append(long expectedHead, String changeId, Change change) {
			throw new UnsupportedOperationException();
		}

		@Override
		public OptionalLong find(String changeId) {
			throw new UnsupportedOperationException();
		}

	}

}
