package org.plantainspur.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.fleet.AccountUsage;
import org.plantainspur.core.fleet.DomainDigest;
import org.plantainspur.core.fleet.HostHeartbeat;
import org.plantainspur.core.store.Store;
import org.plantainspur.core.store.StoreResult;

import static org.assertj.core.api.Assertions.assertThat;

class DomainSpeakerTests {

	private final List<String> sent = new ArrayList<>();

	private final HostHeartbeat own = beat("a1", "pdx-a", List.of(), List.of());

	private final HostBook book = new HostBook(new SilentStore(), (delay, task) -> {
	}, this.own, () -> {
	});

	private final DomainSpeaker speaker = new DomainSpeaker(settings(), this.book, (beat) -> 100,
			(beat, addresses) -> addresses.forEach((address) -> this.sent.add(address + " " + text(beat))));

	DomainSpeakerTests() {
		this.book.heard(beat("b1", "pdx-b", List.of(), List.of()));
		this.book.heard(beat("c1", "sea-a", List.of(), List.of()));
	}

	private static GatewaySettings settings() {
		InetSocketAddress any = new InetSocketAddress("127.0.0.1", 1);
		return GatewaySettings.builder()
			.host("a1")
			.failureDomain("pdx-a")
			.region("pdx-a", "pdx")
			.region("pdx-b", "pdx")
			.region("sea-a", "sea")
			.callerAddress(any)
			.readyAddress(any)
			.directoryAddress(any)
			.peerAddress(any)
			.metricsAddress(any)
			.storeAddress(any)
			.build();
	}

	private static HostHeartbeat beat(String host, String domain, List<String> failed, List<String> sound) {
		return new HostHeartbeat(host, 1, domain, host + ":80", host + ":81", 1, true, 1, 1, 0,
				Map.of("mill", new AccountUsage(5, 1)), List.of(), failed, sound, List.of());
	}

	private static String text(HostHeartbeat beat) {
		DomainDigest digest = beat.digests().get(0);
		return digest.accounts().keySet() + " failed " + digest.failedTargets() + " sound " + digest.recoveredTargets();
	}

	private void speakAt(long now) {
		this.speaker.speak(this.own, List.of(this.own, beat("a2", "pdx-a", List.of(), List.of())), now);
	}

	/**
	 * Hosts that sent work to another failure domain of their region found out by
	 * requests which of its targets were sick, though that failure domain knew.
	 */
	@Nested
	class News {

		@Test
		void theRegionHearsOfTargetsAndTheOtherRegionOnlyOfUsage() {
			DomainSpeakerTests.this.speaker.heard(beat("a2", "pdx-a", List.of("i-1"), List.of("i-2")));
			speakAt(0);
			assertThat(DomainSpeakerTests.this.sent).containsExactlyInAnyOrder("b1:81 [mill] failed [i-1] sound [i-2]",
					"c1:81 [mill] failed [] sound []");
		}

		@Test
		void newsThatComeTogetherGoOutTogether() {
			speakAt(0);
			DomainSpeakerTests.this.sent.clear();
			DomainSpeakerTests.this.speaker.heard(beat("a2", "pdx-a", List.of("i-1"), List.of()));
			speakAt(300);
			DomainSpeakerTests.this.speaker.heard(beat("a2", "pdx-a", List.of("i-3"), List.of()));
			speakAt(400);
			DomainSpeakerTests.this.speaker.heard(beat("a3", "pdx-a", List.of(), List.of("i-3")));
			speakAt(500);
			assertThat(DomainSpeakerTests.this.sent).containsExactly("b1:81 [] failed [i-1] sound []",
					"b1:81 [] failed [] sound [i-3]");
		}

		@Test
		void onlyTheFirstHostOfAFailureDomainSpeaks() {
			DomainSpeakerTests.this.speaker.heard(beat("a2", "pdx-a", List.of("i-1"), List.of()));
			DomainSpeakerTests.this.speaker.speak(DomainSpeakerTests.this.own,
					List.of(beat("a0", "pdx-a", List.of(), List.of()), DomainSpeakerTests.this.own), 0);
			assertThat(DomainSpeakerTests.this.sent).isEmpty();
		}

	}

	private static final class SilentStore implements Store {

		@Override
		public CompletionStage<StoreResult> put(String table, String key, byte[] value) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletionStage<StoreResult> list(String table, String from) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletionStage<StoreResult> changes(String table, long after, long waitMs) {
			return new CompletableFuture<>();
		}

	}

}
