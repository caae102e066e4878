package org.plantainspur.adapters.http;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.idempotency.IdempotencyRegistry;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.RendezvousHostAssignment;
import org.plantainspur.core.request.KeyHash;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an answer that sends callers to hosts of another region first, or to
 * hosts that are about to stop, and against tokens that other hosts cannot serve yet.
 */
class LocateResourceTests {

	private final ConfigurationView view = new ConfigurationView();

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final AtomicBoolean tokenReady = new AtomicBoolean(true);

	private final LocateResource resource;

	LocateResourceTests() {
		apply(new Change.PutAccount(new ClientAccount("harbor-clinic", 100, 100)));
		apply(new Change.IssueKey(KeyHash.of("key"), "harbor-clinic"));
		for (String host : List.of("pdx-1", "pdx-2", "sea-1", "sea-2")) {
			apply(new Change.MemberJoined(member(host)));
		}
		this.resource = new LocateResource(this.view, new RendezvousHostAssignment(), new FixedTokenRegistry(),
				this.tokenReady::get, member("pdx-1"), this.stopping::get);
	}

	private static Member member(String host) {
		return Member.builder(host, "p").region(host.substring(0, 3)).build();
	}

	private void apply(Change change) {
		Configuration configuration = this.view.current();
		this.view.advance(configuration
			.apply(new ChangeEntry(configuration.sequence() + 1, "c" + configuration.sequence(), change)));
	}

	private List<String> hosts(String region) {
		return this.resource.answer(KeyHash.of("key"), region)
			.hosts()
			.stream()
			.map(LocateResource.LocatedHost::host)
			.toList();
	}

	@Nested
	class Hosts {

		@Test
		void ofTheCallersRegionComeFirst() {
			assertThat(hosts("sea").subList(0, 2)).containsExactlyInAnyOrder("sea-1", "sea-2");
			assertThat(hosts("pdx").subList(0, 2)).containsExactlyInAnyOrder("pdx-1", "pdx-2");
		}

		@Test
		void thatResignedAreLeftOut() {
			apply(new Change.MemberResigned("sea-1", "p"));
			assertThat(hosts("sea")).doesNotContain("sea-1").hasSize(3);
		}

		@Test
		void doNotIncludeThisHostWhileItStops() {
			LocateResourceTests.this.stopping.set(true);
			assertThat(hosts("pdx")).doesNotContain("pdx-1").hasSize(3);
		}

	}

	@Nested
	class Tokens {

		private String token() {
			return LocateResourceTests.this.resource.answer(KeyHash.of("key"), "pdx").dispatchToken();
		}

		@Test
		void ofAHostThatOtherHostsCannotRelayToAreNotIssued() {
			assertThat(token()).isEqualTo("token");
			LocateResourceTests.this.tokenReady.set(false);
			assertThat(token()).isEmpty();
		}

		@Test
		void ofAHostThatIsAboutToStopAreNotIssued() {
			LocateResourceTests.this.stopping.set(true);
			assertThat(token()).isEmpty();
		}

	}

	/**
	 * Always issues the same token, since these tests do not check its content.
	 */
	private static final class FixedTokenRegistry implements IdempotencyRegistry {

		@Override
		public String issueToken(String accountId) {
			return "token";
		}

		@Override
		public DispatchDecision register(String accountId, String idempotencyKey, String fingerprint) {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean certainlyNotRun(String idempotencyKey) {
			return false;
		}

		@Override
		public int running() {
			return 0;
		}

		@Override
		public boolean idle(long idleMillis) {
			return true;
		}

	}

}
