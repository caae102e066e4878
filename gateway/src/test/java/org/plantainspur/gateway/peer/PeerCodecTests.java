package org.plantainspur.gateway.peer;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

import org.plantainspur.core.fleet.AccountUsage;
import org.plantainspur.core.fleet.DomainDigest;
import org.plantainspur.core.fleet.HostHeartbeat;
import org.plantainspur.core.health.RequestCrash;
import org.plantainspur.core.reach.HostReach;
import org.plantainspur.core.reach.RelayKey;
import org.plantainspur.core.store.StoreResult;
import org.plantainspur.core.store.StoreVersion;
import org.plantainspur.core.store.StoredRow;
import org.plantainspur.core.store.TableState;
import org.plantainspur.core.store.TableStates;
import org.plantainspur.core.target.TargetIncarnation;
import org.plantainspur.core.target.TargetStatement;
import org.plantainspur.core.target.TargetStatementReport;

import static org.assertj.core.api.Assertions.assertThat;

class PeerCodecTests {

	private static final HostHeartbeat HEARTBEAT = heartbeat(
			List.of(new TargetStatementReport(new TargetIncarnation("i-6", 1_700), TargetStatement.limitedTo(2.5), 40),
					new TargetStatementReport(new TargetIncarnation("i-7", 0), TargetStatement.NONE, 90)),
			3, 2);

	private static HostHeartbeat heartbeat(List<TargetStatementReport> statements, long desiredStateEra,
			long targetsEra) {
		return new HostHeartbeat("a1", 1_700_000_000_000L, "pdx-a", "10.0.0.1:80", "10.0.0.1:81", 0.6, true, 12,
				new TableStates(new TableState(new StoreVersion(desiredStateEra, 900), -5),
						new TableState(new StoreVersion(targetsEra, 880), 7)),
				40, Map.of("mill", new AccountUsage(7, 2.5)), List.of("mill"), List.of("i-1"), List.of("i-2", "i-3"),
				List.of(new DomainDigest("sea-a", "b1", 5, Map.of("mill", new AccountUsage(9, 0.5)), List.of("i-4"),
						List.of("i-5"))),
				List.of(new RequestCrash("4fe1", -9, 1_300, 1_100)), statements);
	}

	@Nested
	class Heartbeats {

		private final HeartbeatCodec codec = new HeartbeatCodec();

		@Test
		void aDecodedHeartbeatEqualsTheEncodedOne() {
			assertThat(this.codec.decode(this.codec.encode(HEARTBEAT))).isEqualTo(HEARTBEAT);
		}

		/**
		 * Guards against a heartbeat of an earlier build, whose tables cannot be
		 * compared, that counts as a host which has rows to fetch.
		 */
		@Test
		void aHeartbeatWithoutTablesHasNone() {
			HostHeartbeat withoutTables = heartbeatWithoutTables(List.of());
			assertThat(this.codec.decode(this.codec.encode(withoutTables))).isEqualTo(withoutTables);
		}

		@Test
		void aHeartbeatWithoutTablesMayReportCrashes() {
			HostHeartbeat withCrash = heartbeatWithoutTables(HEARTBEAT.requestCrashes());
			assertThat(this.codec.decode(this.codec.encode(withCrash))).isEqualTo(withCrash);
		}

		/**
		 * Guards against the states of the tables in the copies for other failure
		 * domains, which cannot use them: bytes between failure domains are billed.
		 */
		@Test
		void theCopyForAnotherDomainIsSmallWithoutCrashes() {
			HostHeartbeat heartbeat = heartbeatWithoutTables(List.of());
			HostHeartbeat withTables = new HostHeartbeat("a1", 1, "pdx-a", "10.0.0.1:80", "10.0.0.1:81", 1, true, 1,
					HEARTBEAT.tables(), 0, Map.of(), List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
			DomainDigest digest = HEARTBEAT.digests().get(0);
			assertThat(this.codec.encode(withTables.forOtherDomain(digest, List.of(), List.of())))
				.hasSameSizeAs(this.codec.encode(heartbeat.forOtherDomain(digest, List.of(), List.of())));
		}

		private HostHeartbeat heartbeatWithoutTables(List<RequestCrash> crashes) {
			return new HostHeartbeat("a1", 1, "pdx-a", "10.0.0.1:80", "10.0.0.1:81", 1, true, 1, TableStates.NONE, 0,
					Map.of(), List.of(), List.of(), List.of(), List.of(), crashes, List.of());
		}

		@Test
		void aTruncatedHeartbeatIsDropped() {
			byte[] bytes = this.codec.encode(HEARTBEAT);
			// An earlier build sends neither the statements of targets nor the eras of
			// the
			// tables.
			HostHeartbeat ofEarlierBuild = heartbeat(List.of(), 0, 0);
			int lengthOfEarlierBuild = this.codec.encode(ofEarlierBuild).length - 3;
			for (int length = 0; length < bytes.length; length++) {
				assertThat(this.codec.decode(Arrays.copyOf(bytes, length)))
					.isEqualTo((length == lengthOfEarlierBuild) ? ofEarlierBuild : null);
			}
		}

		@Test
		void aHeartbeatTellsOfClosedPaths() {
			HostHeartbeat heartbeat = HEARTBEAT
				.withReach(new HostReach(HostReach.State.CONNECTED, List.of("i-8", "i-9")));
			assertThat(this.codec.decode(this.codec.encode(heartbeat))).isEqualTo(heartbeat);
		}

		@Test
		void aHeartbeatTellsOfTargetsThatOthersDoNotReach() {
			HostHeartbeat heartbeat = HEARTBEAT
				.withReach(new HostReach(HostReach.State.CONNECTED, List.of("i-8"), List.of("i-9")));
			assertThat(this.codec.decode(this.codec.encode(heartbeat))).isEqualTo(heartbeat);
			RelayKey key = RelayKey.random();
			assertThat(this.codec.decodeRelayKey(this.codec.encodeEntry(heartbeat, key))).isEqualTo(key);
		}

		/**
		 * Guards against bytes that heartbeats cost while no path is closed.
		 */
		@Test
		void aHeartbeatWithoutClosedPathsIsAsSmallAsBefore() {
			assertThat(this.codec.encode(HEARTBEAT)).hasSizeLessThan(
					this.codec.encode(HEARTBEAT.withReach(new HostReach(HostReach.State.CUT_OFF, List.of()))).length);
		}

		@Test
		void anEntryHoldsTheHeartbeatAndTheKey() {
			RelayKey key = RelayKey.random();
			byte[] entry = this.codec.encodeEntry(HEARTBEAT, key);
			assertThat(this.codec.decode(entry)).isEqualTo(HEARTBEAT);
			assertThat(this.codec.decodeRelayKey(entry)).isEqualTo(key);
			assertThat(this.codec.decodeRelayKey(this.codec.encode(HEARTBEAT))).isNull();
			for (int length = 0; length < entry.length; length++) {
				assertThat(this.codec.decodeRelayKey(Arrays.copyOf(entry, length))).isNull();
			}
		}

		@Test
		void aHeartbeatOfAnotherFormatVersionIsDropped() {
			byte[] bytes = this.codec.encode(HEARTBEAT);
			bytes[0] = 99;
			assertThat(this.codec.decode(bytes)).isNull();
		}

	}

	/**
	 * Guards against a heartbeat or a registered host whose address or number cannot be
	 * used: each later message to all hosts would fail at it, or a sum of rates would
	 * never be a number again.
	 */
	@Nested
	class UnusableHeartbeats {

		private HostHeartbeat heartbeat(String callerAddress, String peerAddress, double cores, long storeAgeMs,
				float rate) {
			return new HostHeartbeat("a1", 1, "pdx-a", callerAddress, peerAddress, cores, true, 1, TableStates.NONE,
					storeAgeMs, Map.of("mill", new AccountUsage(1, rate)), List.of(), List.of(), List.of(), List.of(),
					List.of(), List.of());
		}

		private boolean accepted(HostHeartbeat heartbeat) {
			HeartbeatCodec codec = new HeartbeatCodec();
			return codec.decode(codec.encode(heartbeat)) != null;
		}

		@Test
		void addressesOtherThanIpAndPortAreRejected() {
			assertThat(accepted(heartbeat("10.0.0.1:80", "10.0.0.1:81", 1, 0, 1))).isTrue();
			for (String address : List.of("", "nowhere", ":81", "10.0.0.1", "10.0.0.1:", "10.0.0.1:65536",
					"10.0.0.1:-1", "host.example:81", "10.0.0.1:81 ")) {
				assertThat(accepted(heartbeat("10.0.0.1:80", address, 1, 0, 1))).as(address).isFalse();
				assertThat(accepted(heartbeat(address, "10.0.0.1:81", 1, 0, 1))).as(address).isFalse();
			}
		}

		@Test
		void numbersOutOfRangeAreRejected() {
			assertThat(accepted(heartbeat("10.0.0.1:80", "10.0.0.1:81", Double.NaN, 0, 1))).isFalse();
			assertThat(accepted(heartbeat("10.0.0.1:80", "10.0.0.1:81", -1, 0, 1))).isFalse();
			assertThat(accepted(heartbeat("10.0.0.1:80", "10.0.0.1:81", 1, -1, 1))).isFalse();
			assertThat(accepted(heartbeat("10.0.0.1:80", "10.0.0.1:81", 1, Long.MAX_VALUE, 1))).isFalse();
			assertThat(accepted(heartbeat("10.0.0.1:80", "10.0.0.1:81", 1, 0, Float.NaN))).isFalse();
			assertThat(accepted(heartbeat("10.0.0.1:80", "10.0.0.1:81", 1, 0, Float.POSITIVE_INFINITY))).isFalse();
		}

	}

	/**
	 * Any process can send datagrams to a host, so arbitrary bytes must be dropped
	 * without an exception.
	 */
	@Group
	class ArbitraryBytes {

		@Property(tries = 500, seed = "42")
		void anyBytesAreDroppedWithoutAnException(@ForAll("bytes") byte[] bytes) {
			new HeartbeatCodec().decode(bytes);
			assertThat(new RowsCodec().decode(bytes)).isNotNull();
		}

		@Provide
		Arbitrary<byte[]> bytes() {
			return Arbitraries.bytes().array(byte[].class).ofMaxSize(200);
		}

	}

	@Nested
	class Rows {

		private final RowsCodec codec = new RowsCodec();

		@Test
		void decodedRowsEqualTheEncodedOnes() {
			StoreResult.Rows rows = new StoreResult.Rows(List.of(new StoredRow("a", new byte[] { 1, 2 }, 5, false),
					new StoredRow("b", new byte[0], 6, true)), new StoreVersion(3, 9), false);
			assertThat(this.codec.decode(this.codec.encode(rows))).isInstanceOfSatisfying(StoreResult.Rows.class,
					(decoded) -> {
						assertThat(decoded.version()).isEqualTo(new StoreVersion(3, 9));
						assertThat(decoded.rows()).hasSize(2);
						assertThat(decoded.rows().get(0).value()).containsExactly(1, 2);
						assertThat(decoded.rows().get(1).removed()).isTrue();
					});
		}

		/**
		 * Guards against an allocation as long as a peer claims a value to be. The error
		 * of the failed allocation passed all handlers, and the host never fetched rows
		 * again.
		 */
		@Test
		void aValueThatClaimsToBeLongerThanTheBodyIsRejected() throws IOException {
			try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
				packer.packLong(9).packArrayHeader(1).packString("a").packLong(5).packBoolean(false);
				packer.packBinaryHeader(Integer.MAX_VALUE);
				assertThat(this.codec.decode(packer.toByteArray())).isInstanceOf(StoreResult.Unavailable.class);
			}
		}

	}

}
