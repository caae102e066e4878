package org.plantainspur.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a host that has no targets because it started during an outage of the
 * platform, and against a list from another host that replaces one from the platform.
 */
class PeerTargetFetcherTests {

	private static final Target TARGET = new Target("booking-1", "booking", "127.0.0.1:9000", "pdx", "pdx-a", 4, 400,
			false);

	private final AtomicReference<TargetDirectory> directory = new AtomicReference<>(TargetDirectory.empty());

	private final ConfigurationView view = new ConfigurationView();

	private final Member self = Member.builder("entry-1", "p1").build();

	private final Member other = Member.builder("entry-2", "p2").build();

	private final List<String> requestedHosts = new ArrayList<>();

	private final CompletableFuture<PeerMessage> reply = new CompletableFuture<>();

	private final PeerTargetFetcher fetcher = new PeerTargetFetcher(this.directory, this.view,
			(member, message, timeout) -> {
				this.requestedHosts.add(member.hostId());
				return this.reply;
			}, this.self);

	@BeforeEach
	void join() {
		this.view.advance(Configuration.empty()
			.apply(new ChangeEntry(1, "c1", new Change.MemberJoined(this.self)))
			.apply(new ChangeEntry(2, "c2", new Change.MemberJoined(this.other))));
	}

	@Nested
	class HostWithoutAList {

		@Test
		void takesTheListFromAnotherMember() {
			PeerTargetFetcherTests.this.fetcher.fetchIfMissing();
			PeerTargetFetcherTests.this.reply.complete(new PeerMessage.TargetList(List.of(TARGET)));
			assertThat(PeerTargetFetcherTests.this.requestedHosts).containsExactly("entry-2");
			assertThat(PeerTargetFetcherTests.this.directory.get().targets("booking")).containsExactly(TARGET);
		}

		@Test
		void keepsTheListFromThePlatformThatArrivedFirst() {
			PeerTargetFetcherTests.this.fetcher.fetchIfMissing();
			TargetDirectory read = TargetDirectory.of(List.of());
			PeerTargetFetcherTests.this.directory.set(read);
			PeerTargetFetcherTests.this.reply.complete(new PeerMessage.TargetList(List.of(TARGET)));
			assertThat(PeerTargetFetcherTests.this.directory.get()).isSameAs(read);
		}

	}

	@Nested
	class HostWithAList {

		@Test
		void sendsNoRequestAndServesItsList() {
			PeerTargetFetcherTests.this.directory.set(TargetDirectory.of(List.of(TARGET)));
			PeerTargetFetcherTests.this.fetcher.fetchIfMissing();
			assertThat(PeerTargetFetcherTests.this.requestedHosts).isEmpty();
			assertThat(PeerTargetFetcherTests.this.fetcher.targetList().targets()).containsExactly(TARGET);
		}

	}

}
