package org.plantainspur.adapters.peer;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.ConfigurationPart;
import org.plantainspur.core.configuration.ConfigurationParts;
import org.plantainspur.core.configuration.ConfigurationState;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.request.KeyHash;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against messages that change in transit unnoticed, and against payloads that
 * crash the host that receives them.
 */
class PeerCodecTests {

	private final PeerCodec codec = new PeerCodec();

	@Provide
	Arbitrary<PeerMessage> messages() {
		return PeerMessageArbitraries.any();
	}

	private void assertRefusedOrUnchanged(byte[] payload, long id, PeerMessage original) {
		try {
			PeerCodec.Decoded decoded = this.codec.decode(payload);
			assertThat(decoded.id()).isEqualTo(id);
			assertThat(((PeerCodec.Decoded.Message) decoded).message()).usingRecursiveComparison().isEqualTo(original);
		}
		catch (PeerProtocolException ex) {
			assertThat(ex).hasMessageContaining(" ");
		}
	}

	/**
	 * Guards against a configuration that is too large to send to a peer: with 44,000
	 * client accounts it is 11 MB, more than a frame may hold.
	 */
	@Group
	class ConfigurationOfTheLargestFleet {

		@Example
		void fitsInFramesWhenSplitIntoParts() {
			List<ClientAccount> accounts = new ArrayList<>();
			Map<String, String> keys = new HashMap<>();
			Map<String, Long> versions = new HashMap<>();
			for (int i = 0; i < 44_000; i++) {
				String account = "client-account-%06d".formatted(i);
				String hash = KeyHash.of(account);
				accounts.add(new ClientAccount(account, 1e9 / 3, 1e9 / 3));
				keys.put(hash, account);
				versions.put("account/" + account, (long) i);
				versions.put("key/" + hash, (long) i);
			}
			List<Member> members = IntStream.range(0, 950)
				.mapToObj((i) -> Member.builder("entry-host-%04d".formatted(i), "process-%016x".formatted(i))
					.region("nordeste-norte")
					.failureDomain("nordeste-norte-b")
					.callerAddress("192.168.100.100:18080")
					.peerAddress("192.168.100.100:18081")
					.adminAddress("192.168.100.100:18082")
					.build())
				.toList();
			ConfigurationState state = new ConfigurationState(88_000, accounts, keys, List.of(), List.of(),
					new Membership.State(1, members, 1, 0, members, members), versions);
			List<ConfigurationPart> parts = ConfigurationParts.split(state);
			assertThat(parts).allSatisfy((part) -> assertThat(
					PeerCodecTests.this.codec.encode(1, new PeerMessage.PartOfConfiguration(part)).length)
				.isLessThan(PeerFrames.MAXIMUM_BYTES / 2));
			assertThat(ConfigurationParts.join(parts)).isEqualTo(state);
		}

	}

	@Group
	class UndamagedMessage {

		@Property(seed = "20261204", tries = 1000)
		void isUnchangedAfterARoundTrip(@ForAll("messages") PeerMessage message, @ForAll long id) throws IOException {
			byte[] frame = PeerFrames.encode(PeerCodecTests.this.codec.encode(id, message));
			byte[] payload = PeerFrames.read(new DataInputStream(new ByteArrayInputStream(frame)), frame.length);
			PeerCodec.Decoded.Message decoded = (PeerCodec.Decoded.Message) PeerCodecTests.this.codec.decode(payload);
			assertThat(decoded.id()).isEqualTo(id);
			assertThat(decoded.message()).usingRecursiveComparison().isEqualTo(message);
		}

		@Provide
		Arbitrary<PeerMessage> messages() {
			return PeerMessageArbitraries.any();
		}

		@Example
		void ofEveryClassIsRegistered() {
			assertThat(PeerCodec.registered()).containsExactlyInAnyOrderElementsOf(permittedClasses());
		}

		@SuppressWarnings("unchecked")
		private List<Class<? extends PeerMessage>> permittedClasses() {
			List<Class<? extends PeerMessage>> classes = new ArrayList<>();
			for (Class<?> type : PeerMessage.class.getPermittedSubclasses()) {
				classes.add((Class<? extends PeerMessage>) type);
			}
			return classes;
		}

	}

	@Group
	class MessageOfAnotherVersion {

		@Example
		void withAnUnknownFieldIsDecodedWithoutTheField() throws IOException {
			byte[] payload = PeerCodecTests.this.codec.payloads()
				.encode(PeerCodecTests.this.codec.emptyFields()
					.put("type", "nudge")
					.put("id", 3)
					.put("sequence", 12)
					.put("added", "later"));
			assertThat(PeerCodecTests.this.codec.decode(payload))
				.isEqualTo(new PeerCodec.Decoded.Message(3, new PeerMessage.Nudge(12)));
		}

		@Example
		void withAnUnknownTypeKeepsItsId() throws IOException {
			byte[] payload = PeerCodecTests.this.codec.payloads()
				.encode(PeerCodecTests.this.codec.emptyFields().put("type", "later").put("id", 3));
			assertThat(PeerCodecTests.this.codec.decode(payload))
				.isEqualTo(new PeerCodec.Decoded.UnknownType(3, "later"));
		}

		@Example
		void withoutARequiredFieldIsRefused() {
			byte[] payload = PeerCodecTests.this.codec.payloads()
				.encode(PeerCodecTests.this.codec.emptyFields().put("type", "lent").put("id", 3));
			assertThatExceptionOfType(PeerProtocolException.class)
				.isThrownBy(() -> PeerCodecTests.this.codec.decode(payload));
		}

		@Example
		void withAStringInPlaceOfANumberIsRefused() {
			byte[] payload = PeerCodecTests.this.codec.payloads()
				.encode(PeerCodecTests.this.codec.emptyFields()
					.put("type", "lent")
					.put("id", 3)
					.put("milliTokens", "7"));
			assertThatExceptionOfType(PeerProtocolException.class)
				.isThrownBy(() -> PeerCodecTests.this.codec.decode(payload));
		}

	}

	@Group
	class DamagedMessage {

		@Provide
		Arbitrary<PeerMessage> messages() {
			return PeerMessageArbitraries.any();
		}

		@Property(seed = "20261204", tries = 2000)
		void isRefusedOrDecodedUnchangedAfterBitFlips(@ForAll("messages") PeerMessage message,
				@ForAll @Size(min = 1, max = 6) List<Integer> positions, @ForAll @Size(6) List<Byte> values) {
			byte[] payload = PeerCodecTests.this.codec.encode(5, message);
			assertRefusedOrUnchanged(PeerMessageArbitraries.flipBits(payload, positions, values), 5, message);
		}

		@Property(seed = "20261204", tries = 1000)
		void isRefusedWhenTruncated(@ForAll("messages") PeerMessage message, @ForAll @IntRange(max = 5000) int length) {
			byte[] payload = PeerCodecTests.this.codec.encode(5, message);
			byte[] truncated = Arrays.copyOf(payload, length % payload.length);
			assertThatExceptionOfType(PeerProtocolException.class)
				.isThrownBy(() -> PeerCodecTests.this.codec.decode(truncated));
		}

		@Property(seed = "20261204", tries = 2000)
		void ofRandomBytesIsRefused(@ForAll @Size(max = 200) byte[] bytes) {
			assertThatExceptionOfType(PeerProtocolException.class)
				.isThrownBy(() -> PeerCodecTests.this.codec.decode(bytes));
		}

		@Property(seed = "20261204", tries = 2000)
		void withAValidChecksumIsDecodedOrRefusedAsMalformed(@ForAll("messages") PeerMessage message,
				@ForAll @Size(min = 1, max = 6) List<Integer> positions, @ForAll @Size(6) List<Byte> values) {
			byte[] payload = PeerMessageArbitraries.flipBits(PeerCodecTests.this.codec.encode(5, message), positions,
					values);
			try {
				PeerCodecTests.this.codec.decode(withValidChecksum(payload));
			}
			catch (PeerProtocolException ex) {
				assertThat(ex).hasMessageContaining(" ");
			}
		}

		private byte[] withValidChecksum(byte[] payload) {
			java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
			crc.update(payload, 0, payload.length - 4);
			return ByteBuffer.wrap(payload).putInt(payload.length - 4, (int) crc.getValue()).array();
		}

	}

	@Group
	class MalformedStructure {

		// Maps with one entry whose value declares a length of about 2 GiB.
		@Provide
		Arbitrary<byte[]> hugeLengths() {
			return Arbitraries.of((byte) 0xc6, (byte) 0xdb, (byte) 0xdd, (byte) 0xdf, (byte) 0xc9)
				.map((typeByte) -> new byte[] { (byte) 0x81, (byte) 0xa1, 'a', typeByte, 0x7f, (byte) 0xff, 0, 0, 1,
						1 });
		}

		@Property(seed = "20261204", tries = 20)
		void withALengthBeyondThePayloadIsRefusedBeforeAnythingIsAllocated(@ForAll("hugeLengths") byte[] payload) {
			assertThatExceptionOfType(PeerProtocolException.class)
				.isThrownBy(() -> MessagePackValidator.validate(payload));
		}

		@Property(seed = "20261204", tries = 200)
		void withAFrameLengthBeyondTheLimitIsRefusedBeforeAnythingIsAllocated(@ForAll int length) {
			byte[] frame = ByteBuffer.allocate(5).putInt(length).put(PeerFrames.VERSION).array();
			assertThatExceptionOfType(IOException.class).isThrownBy(() -> PeerFrames
				.read(new DataInputStream(new ByteArrayInputStream(frame)), PeerFrames.MAXIMUM_BYTES));
		}

		@Example
		void withNestingBeyondTheLimitIsRefused() {
			// 0x81 begins a map of one entry, 0x91 an array of one element.
			byte[] payload = new byte[100];
			Arrays.fill(payload, (byte) 0x91);
			payload[0] = (byte) 0x81;
			payload[1] = 0;
			assertThatExceptionOfType(PeerProtocolException.class)
				.isThrownBy(() -> MessagePackValidator.validate(payload))
				.withMessageContaining("nested");
		}

	}

}
