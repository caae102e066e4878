package org.plantainspur.core.rate;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.RendezvousHostAssignment;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a gained share whose start waits for the account's first request, and
 * against one that starts before every earlier holder has reported its release.
 */
class ReleaseTrackerTests {

	// An account with this burst has one home host, which gains one token per
	// millisecond.
	private static final ClientAccount ACCOUNT = new ClientAccount("harbor-clinic", 1000, 3);

	private static final long POLL_MILLIS = 100;

	private final ManualClock clock = new ManualClock();

	private final ConfigurationView view = new ConfigurationView();

	private final Member self = Member.builder("pdx-1", "p1").peerAddress("127.0.0.1:1").build();

	private final Member other = Member.builder("pdx-2", "p2").peerAddress("127.0.0.1:2").build();

	private final Member third = Member.builder("sea-1", "p3").peerAddress("127.0.0.1:3").build();

	private final Map<String, Long> reportedSequences = new ConcurrentHashMap<>();

	private long checkDurationMillis;

	private SharedRateLimiter limiter() {
		return SharedRateLimiter.builder(this.self)
			.clock(this.clock)
			.view(this.view)
			.currency(() -> new CurrencyRule.Currency.Current())
			.homeHosts(new RendezvousHostAssignment())
			.progress((holder, sequence) -> {
				this.clock.advance(this.checkDurationMillis);
				return this.reportedSequences.getOrDefault(holder.processId(), -1L) >= sequence;
			})
			.link((member, message, timeout) -> CompletableFuture.completedFuture(new PeerMessage.Lent(0)))
			.build();
	}

	private void append(Change change) {
		Configuration present = this.view.current();
		this.view.advance(present.apply(new ChangeEntry(present.sequence() + 1, "c", change)));
	}

	private void reportCurrentSequence(Member member) {
		this.reportedSequences.put(member.processId(), this.view.current().sequence());
	}

	private void pollFor(SharedRateLimiter limiter, long millis) {
		for (long passed = 0; passed < millis; passed += POLL_MILLIS) {
			limiter.pollReleases();
			this.clock.advance(POLL_MILLIS);
		}
	}

	private long millisUntilGranted(SharedRateLimiter limiter) {
		limiter.countAndTryTake(ACCOUNT);
		for (long waited = 0; waited < 10_000; waited++) {
			if (limiter.tryTake(ACCOUNT)) {
				return waited;
			}
			this.clock.advance(1);
		}
		return Long.MAX_VALUE;
	}

	private Member home() {
		return new RendezvousHostAssignment().homeHosts(ACCOUNT, this.view.current().membership()).get(0);
	}

	// The process has known the other members for a long time. It joins and replaces the
	// only home host, which is removed.
	private SharedRateLimiter limiterOfJoinedProcess() {
		append(new Change.PutAccount(ACCOUNT));
		append(new Change.MemberJoined(this.other));
		append(new Change.MemberJoined(this.third));
		SharedRateLimiter limiter = limiter();
		this.clock.advance(10_000);
		Member before = home();
		append(new Change.MemberJoined(this.self));
		append(new Change.MembersRemoved(List.of(before)));
		assertThat(home()).isEqualTo(this.self);
		return limiter;
	}

	private void reportCurrentSequenceOfBoth() {
		reportCurrentSequence(this.other);
		reportCurrentSequence(this.third);
	}

	@Nested
	class FirstRequestAfterAJoin {

		private final SharedRateLimiter limiter = limiterOfJoinedProcess();

		@Test
		void isGrantedIfAllMembersHaveReleasedTheShare() {
			reportCurrentSequenceOfBoth();
			pollFor(this.limiter, 1500);
			assertThat(millisUntilGranted(this.limiter)).isEqualTo(1);
		}

		@Test
		void isGrantedAlthoughMembersLagBehindUnrelatedChanges() {
			for (int i = 0; i < 30; i++) {
				if (i % 5 == 0) {
					reportCurrentSequenceOfBoth();
				}
				append(new Change.PutAccount(new ClientAccount("tidewater", 5, 5 + i)));
				pollFor(this.limiter, POLL_MILLIS);
			}
			assertThat(millisUntilGranted(this.limiter)).isEqualTo(1);
		}

	}

	@Nested
	class StartOfAGainedShare {

		private final SharedRateLimiter limiter = limiterOfJoinedProcess();

		@Test
		void waitsUntilLoansOfTheReleasedHoldersHaveExpired() {
			reportCurrentSequenceOfBoth();
			pollFor(this.limiter, 200);
			assertThat(millisUntilGranted(this.limiter)).isEqualTo(ShareHistory.LOAN_OUTSTANDING_MILLIS - 200 + 1);
		}

		// The process is paused for 500 ms while it checks which changes the members
		// have reported in force.
		@Test
		void countsTheReleaseFromTheEndOfTheCheck() {
			reportCurrentSequenceOfBoth();
			ReleaseTrackerTests.this.checkDurationMillis = 500;
			this.limiter.pollReleases();
			ReleaseTrackerTests.this.checkDurationMillis = 0;
			assertThat(millisUntilGranted(this.limiter)).isEqualTo(ShareHistory.LOAN_OUTSTANDING_MILLIS + 1);
		}

		// The silent member held no share of the account, so the first request finds the
		// release.
		@Test
		void dependsOnlyOnEarlierHoldersOfTheAccount() {
			reportCurrentSequence(removed());
			pollFor(this.limiter, 1500);
			assertThat(millisUntilGranted(this.limiter)).isEqualTo(ShareHistory.LOAN_OUTSTANDING_MILLIS + 1);
		}

		@Test
		void waitsForTheTakeoverIfARemovedMemberIsSilent() {
			reportCurrentSequence(remaining());
			pollFor(this.limiter, 1500);
			assertThat(millisUntilGranted(this.limiter)).isEqualTo(untilTakeover(1500));
		}

		@Test
		void doesNotUseTheReleaseOfAnEarlierChange() {
			reportCurrentSequenceOfBoth();
			pollFor(this.limiter, 1500);
			append(new Change.PutAccount(new ClientAccount(ACCOUNT.id(), 1000, 2)));
			assertThat(millisUntilGranted(this.limiter)).isEqualTo(ShareHistory.TAKEOVER_MILLIS + 1);
		}

		// The other home host may still act on the earlier limits, under which it holds
		// half.
		@Test
		void waitsForAMemberThatIsSilentAboutChangedLimits() {
			ClientAccount larger = new ClientAccount(ACCOUNT.id(), 1000, 8);
			append(new Change.PutAccount(larger));
			reportCurrentSequenceOfBoth();
			ReleaseTrackerTests.this.clock.advance(10_000);
			append(new Change.PutAccount(ACCOUNT));
			pollFor(this.limiter, 1500);
			this.limiter.countAndTryTake(ACCOUNT);
			ReleaseTrackerTests.this.clock.advance(100);
			assertThat(List.of(this.limiter.countAndTryTake(ACCOUNT), this.limiter.countAndTryTake(ACCOUNT)))
				.containsExactly(true, false);
		}

		private long untilTakeover(long passed) {
			return ShareHistory.TAKEOVER_MILLIS - passed + 1;
		}

		private Member removed() {
			return isMember(ReleaseTrackerTests.this.other) ? ReleaseTrackerTests.this.third
					: ReleaseTrackerTests.this.other;
		}

		private Member remaining() {
			return isMember(ReleaseTrackerTests.this.other) ? ReleaseTrackerTests.this.other
					: ReleaseTrackerTests.this.third;
		}

		private boolean isMember(Member member) {
			return ReleaseTrackerTests.this.view.current().membership().member(member.hostId()) != null;
		}

	}

	@Nested
	class ProcessWithoutHistory {

		private SharedRateLimiter limiterOfNewProcess() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(ReleaseTrackerTests.this.other));
			append(new Change.MemberJoined(ReleaseTrackerTests.this.third));
			append(new Change.MembersRemoved(List.of(ReleaseTrackerTests.this.other)));
			append(new Change.MemberJoined(ReleaseTrackerTests.this.self));
			assertThat(home()).isEqualTo(ReleaseTrackerTests.this.self);
			return limiter();
		}

		private void settleSeats() {
			append(new Change.SeatsSettled(ReleaseTrackerTests.this.view.current().membership().seatSequence()));
		}

		@Test
		void waitsForARemovedMemberThatIsNotFenced() {
			SharedRateLimiter limiter = limiterOfNewProcess();
			reportCurrentSequence(ReleaseTrackerTests.this.third);
			pollFor(limiter, 1500);
			assertThat(millisUntilGranted(limiter)).isEqualTo(ShareHistory.TAKEOVER_MILLIS - 1500 + 1);
		}

		@Test
		void startsOnceAllRemovedMembersAreFenced() {
			SharedRateLimiter limiter = limiterOfNewProcess();
			pollFor(limiter, 500);
			settleSeats();
			reportCurrentSequence(ReleaseTrackerTests.this.third);
			pollFor(limiter, 1000);
			assertThat(millisUntilGranted(limiter)).isEqualTo(1);
		}

		@Test
		void waitsForASilentMemberThatMayHoldTheShareUnderEarlierLimits() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(ReleaseTrackerTests.this.other));
			append(new Change.MemberJoined(ReleaseTrackerTests.this.self));
			SharedRateLimiter limiter = limiter();
			pollFor(limiter, 1500);
			assertThat(millisUntilGranted(limiter)).isEqualTo(ShareHistory.TAKEOVER_MILLIS - 1500 + 1);
		}

		@Test
		void waitsForASilentMemberAfterSeatsAreSettled() {
			SharedRateLimiter limiter = limiterOfNewProcess();
			settleSeats();
			pollFor(limiter, 1500);
			assertThat(millisUntilGranted(limiter)).isEqualTo(ShareHistory.TAKEOVER_MILLIS - 1500 + 1);
		}

	}

}
