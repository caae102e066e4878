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
 * Guards against a host that starts during an outage of the platform and has no targets,
 * and against an old list that replaces a newer one.
 */
class PeerTargetsTests {

	private static final Target TARGET = new Target("booking-1", "booking", "127.0.0.1:9000", "pdx", "pdx-a", 4, 400,
			false);

	private final AtomicReference<TargetDirectory> directory = new AtomicReference<>(TargetDirectory.empty());

	private final ConfigurationView view = new ConfigurationView();

	private final Member self = Member.builder("entry-1", "p1").build();

	private final Member other = Member.builder("entry-2", "p2").build();

	private final List<String> asked = new ArrayList<>();

	private final CompletableFuture<PeerMessage> answer = new CompletableFuture<>();

	private final PeerTargets targets = new PeerTargets(this.directory, this.view, (member, message, timeout) -> {
		this.asked.add(member.hostId());
		return this.answer;
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
		void takesTheListOfAnotherMember() {
			PeerTargetsTests.this.targets.tick();
			PeerTargetsTests.this.answer.complete(new PeerMessage.TargetList(List.of(TARGET)));
			assertThat(PeerTargetsTests.this.asked).containsExactly("entry-2");
			assertThat(PeerTargetsTests.this.directory.get().targets("booking")).containsExactly(TARGET);
		}

		@Test
		void keepsTheListOfThePlatformThatCameFirst() {
			PeerTargetsTests.this.targets.tick();
			TargetDirectory read = TargetDirectory.of(List.of());
			PeerTargetsTests.this.directory.set(read);
			PeerTargetsTests.this.answer.complete(new PeerMessage.TargetList(List.of(TARGET)));
			assertThat(PeerTargetsTests.this.directory.get()).isSameAs(read);
		}

	}

	@Nested
	class HostWithAList {

		@Test
		void asksNobodyAndAnswersWithIt() {
			PeerTargetsTests.this.directory.set(TargetDirectory.of(List.of(TARGET)));
			PeerTargetsTests.this.targets.tick();
			assertThat(PeerTargetsTests.this.asked).isEmpty();
			assertThat(PeerTargetsTests.this.targets.answer().targets()).containsExactly(TARGET);
		}

	}

}
