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
import org.plantainspur.core.membership.RendezvousHomeHosts;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against gained shares that wait for an account's first request, and against
 * shares that start before every earlier holder was seen to have stopped.
 */
class ReleaseWatchTests {

	// One home host, which gains a token in a millisecond.
	private static final ClientAccount ACCOUNT = new ClientAccount("harbor-clinic", 1000, 3);

	private static final long POLL_MILLIS = 100;

	private final ManualClock clock = new ManualClock();

	private final ConfigurationView view = new ConfigurationView();

	private final Member self = Member.builder("pdx-1", "p1").peerAddress("127.0.0.1:1").build();

	private final Member other = Member.builder("pdx-2", "p2").peerAddress("127.0.0.1:2").build();

	private final Member third = Member.builder("sea-1", "p3").peerAddress("127.0.0.1:3").build();

	private final Map<String, Long> shown = new ConcurrentHashMap<>();

	private long checkMillis;

	private SharedRateLimiter limiter() {
		return SharedRateLimiter.builder(this.self)
			.clock(this.clock)
			.view(this.view)
			.currency(() -> new CurrencyRule.Currency.Current())
			.homeHosts(new RendezvousHomeHosts())
			.progress((holder, sequence) -> {
				this.clock.advance(this.checkMillis);
				return this.shown.getOrDefault(holder.processId(), -1L) >= sequence;
			})
			.link((member, message, timeout) -> CompletableFuture.completedFuture(new PeerMessage.Lent(0)))
			.build();
	}

	private void append(Change change) {
		Configuration present = this.view.current();
		this.view.advance(present.apply(new ChangeEntry(present.sequence() + 1, "c", change)));
	}

	private void show(Member member) {
		this.shown.put(member.processId(), this.view.current().sequence());
	}

	private void pass(SharedRateLimiter limiter, long millis) {
		for (long passed = 0; passed < millis; passed += POLL_MILLIS) {
			limiter.watchReleases();
			this.clock.advance(POLL_MILLIS);
		}
	}

	private long millisUntilGranted(SharedRateLimiter limiter) {
		limiter.arrive(ACCOUNT);
		for (long waited = 0; waited < 10_000; waited++) {
			if (limiter.take(ACCOUNT)) {
				return waited;
			}
			this.clock.advance(1);
		}
		return Long.MAX_VALUE;
	}

	private Member home() {
		return new RendezvousHomeHosts().homes(ACCOUNT, this.view.current().membership()).get(0);
	}

	// A process that has known the other members for long joins in place of the only home
	// host, which is removed.
	private SharedRateLimiter joined() {
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

	private void showBoth() {
		show(this.other);
		show(this.third);
	}

	@Nested
	class FirstRequestAfterAJoin {

		private final SharedRateLimiter limiter = joined();

		@Test
		void isRefusedAlthoughAllMembersReleasedTheShare() {
			showBoth();
			pass(this.limiter, 1500);
			assertThat(millisUntilGranted(this.limiter)).isEqualTo(1);
		}

		@Test
		void isRefusedAfterChangesThatMembersAreBehindWith() {
			for (int i = 0; i < 30; i++) {
				if (i % 5 == 0) {
					showBoth();
				}
				append(new Change.PutAccount(new ClientAccount("tidewater", 5, 5 + i)));
				pass(this.limiter, POLL_MILLIS);
			}
			assertThat(millisUntilGranted(this.limiter)).isEqualTo(1);
		}

	}

	@Nested
	class EarlyStart {

		private final SharedRateLimiter limiter = joined();

		@Test
		void loansOfTheReleasedHoldersCanStillBeSpent() {
			showBoth();
			pass(this.limiter, 200);
			assertThat(millisUntilGranted(this.limiter)).isEqualTo(ShareHistory.LOAN_OUT_MILLIS - 200 + 1);
		}

		// The process is paused while it looks at what the members have shown.
		@Test
		void releaseIsTakenToBeOlderThanItIs() {
			showBoth();
			ReleaseWatchTests.this.checkMillis = 500;
			this.limiter.watchReleases();
			ReleaseWatchTests.this.checkMillis = 0;
			assertThat(millisUntilGranted(this.limiter)).isEqualTo(ShareHistory.LOAN_OUT_MILLIS + 1);
		}

		// The silent member held no share, so the first request itself sees the release.
		@Test
		void silentPresentMemberIsTakenAsReleased() {
			show(removed());
			pass(this.limiter, 1500);
			assertThat(millisUntilGranted(this.limiter)).isEqualTo(ShareHistory.LOAN_OUT_MILLIS + 1);
		}

		@Test
		void silentRemovedMemberIsTakenAsReleased() {
			show(remaining());
			pass(this.limiter, 1500);
			assertThat(millisUntilGranted(this.limiter)).isEqualTo(untilTakeover(1500));
		}

		@Test
		void releaseOfAnEarlierChangeIsTaken() {
			showBoth();
			pass(this.limiter, 1500);
			append(new Change.PutAccount(new ClientAccount(ACCOUNT.id(), 1000, 2)));
			assertThat(millisUntilGranted(this.limiter)).isEqualTo(ShareHistory.TAKEOVER_MILLIS + 1);
		}

		// The other home host may go on in the earlier limits, under which it holds half.
		@Test
		void memberThatIsSilentAboutChangedLimitsIsTakenAsReleased() {
			ClientAccount larger = new ClientAccount(ACCOUNT.id(), 1000, 8);
			append(new Change.PutAccount(larger));
			showBoth();
			ReleaseWatchTests.this.clock.advance(10_000);
			append(new Change.PutAccount(ACCOUNT));
			pass(this.limiter, 1500);
			this.limiter.arrive(ACCOUNT);
			ReleaseWatchTests.this.clock.advance(100);
			assertThat(List.of(this.limiter.arrive(ACCOUNT), this.limiter.arrive(ACCOUNT))).containsExactly(true,
					false);
		}

		private long untilTakeover(long passed) {
			return ShareHistory.TAKEOVER_MILLIS - passed + 1;
		}

		private Member removed() {
			return isMember(ReleaseWatchTests.this.other) ? ReleaseWatchTests.this.third : ReleaseWatchTests.this.other;
		}

		private Member remaining() {
			return isMember(ReleaseWatchTests.this.other) ? ReleaseWatchTests.this.other : ReleaseWatchTests.this.third;
		}

		private boolean isMember(Member member) {
			return ReleaseWatchTests.this.view.current().membership().member(member.hostId()) != null;
		}

	}

	@Nested
	class ProcessWithoutHistory {

		private SharedRateLimiter started() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(ReleaseWatchTests.this.other));
			append(new Change.MemberJoined(ReleaseWatchTests.this.third));
			append(new Change.MembersRemoved(List.of(ReleaseWatchTests.this.other)));
			append(new Change.MemberJoined(ReleaseWatchTests.this.self));
			assertThat(home()).isEqualTo(ReleaseWatchTests.this.self);
			return limiter();
		}

		private void settle() {
			append(new Change.SeatsSettled(ReleaseWatchTests.this.view.current().membership().seatSequence()));
		}

		@Test
		void removedMemberThatIsNotFencedMayStillHoldTheShare() {
			SharedRateLimiter limiter = started();
			show(ReleaseWatchTests.this.third);
			pass(limiter, 1500);
			assertThat(millisUntilGranted(limiter)).isEqualTo(ShareHistory.TAKEOVER_MILLIS - 1500 + 1);
		}

		@Test
		void waitsAlthoughAllRemovedMembersWereFencedSince() {
			SharedRateLimiter limiter = started();
			pass(limiter, 500);
			settle();
			show(ReleaseWatchTests.this.third);
			pass(limiter, 1000);
			assertThat(millisUntilGranted(limiter)).isEqualTo(1);
		}

		@Test
		void silentMemberMayStillHoldTheShareUnderEarlierLimits() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(ReleaseWatchTests.this.other));
			append(new Change.MemberJoined(ReleaseWatchTests.this.self));
			SharedRateLimiter limiter = limiter();
			pass(limiter, 1500);
			assertThat(millisUntilGranted(limiter)).isEqualTo(ShareHistory.TAKEOVER_MILLIS - 1500 + 1);
		}

		@Test
		void silentMemberMayStillHoldTheShareOfASettledSeat() {
			SharedRateLimiter limiter = started();
			settle();
			pass(limiter, 1500);
			assertThat(millisUntilGranted(limiter)).isEqualTo(ShareHistory.TAKEOVER_MILLIS - 1500 + 1);
		}

	}

}
