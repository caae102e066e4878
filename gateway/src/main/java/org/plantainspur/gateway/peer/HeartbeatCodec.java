package org.plantainspur.gateway.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

import org.plantainspur.core.fleet.AccountUsage;
import org.plantainspur.core.fleet.DomainDigest;
import org.plantainspur.core.fleet.HostHeartbeat;
import org.plantainspur.core.health.RequestCrash;
import org.plantainspur.core.reach.HostReach;
import org.plantainspur.core.reach.RelayKey;
import org.plantainspur.core.store.StoreVersion;
import org.plantainspur.core.store.TableState;
import org.plantainspur.core.store.TableStates;
import org.plantainspur.core.target.TargetIncarnation;
import org.plantainspur.core.target.TargetStatement;
import org.plantainspur.core.target.TargetStatementReport;
import org.plantainspur.gateway.IpAddressAndPort;

/**
 * Encodes heartbeats as a sequence of MessagePack values that begins with the version of
 * the format.
 */
public final class HeartbeatCodec {

	/**
	 * Must be raised when the order or the meaning of the fields changes, but not when
	 * fields are added at the end.
	 */
	private static final int FORMAT_VERSION = 3;

	/**
	 * Stands where earlier builds send the sum of the versions of their tables, and tells
	 * that the states of the tables, the crashes and the statements of targets follow at
	 * the end. Larger than any such sum, so that an earlier build fetches from this host.
	 */
	private static final long EXTENSION_FOLLOWS = Long.MAX_VALUE / 2;

	/** A host whose store has never answered reports an age of more than half of this. */
	private static final long MAX_AGE_MS = Long.MAX_VALUE / 4 * 3;

	/**
	 * Encodes a heartbeat.
	 * @param heartbeat the heartbeat
	 * @return the payload of a datagram
	 */
	public byte[] encode(HostHeartbeat heartbeat) {
		return encode(heartbeat, null);
	}

	/**
	 * Encodes a host's entry in the store: its heartbeat and its relay key.
	 * @param heartbeat the heartbeat
	 * @param relayKey the key of the host's process
	 * @return the content of a row
	 */
	public byte[] encodeEntry(HostHeartbeat heartbeat, RelayKey relayKey) {
		return encode(heartbeat, relayKey);
	}

	private static byte[] encode(HostHeartbeat heartbeat, @Nullable RelayKey relayKey) {
		boolean withReach = relayKey != null || !heartbeat.reach().equals(HostReach.NONE);
		boolean extended = withReach || !heartbeat.tables().equals(TableStates.NONE)
				|| !heartbeat.requestCrashes().isEmpty() || !heartbeat.targetStatements().isEmpty();
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packInt(FORMAT_VERSION)
				.packString(heartbeat.host())
				.packLong(heartbeat.startMs())
				.packString(heartbeat.failureDomain())
				.packString(heartbeat.callerAddress())
				.packString(heartbeat.peerAddress())
				.packDouble(heartbeat.cores())
				.packBoolean(heartbeat.acceptingCallers())
				.packLong(heartbeat.version())
				.packLong(extended ? EXTENSION_FOLLOWS : 0)
				.packLong(heartbeat.storeAgeMs());
			packUsage(packer, heartbeat.usage());
			packStrings(packer, heartbeat.accountsNearLimit());
			packStrings(packer, heartbeat.failedTargets());
			packStrings(packer, heartbeat.recoveredTargets());
			packer.packArrayHeader(heartbeat.digests().size());
			for (DomainDigest digest : heartbeat.digests()) {
				packer.packString(digest.failureDomain()).packString(digest.host()).packLong(digest.createdMs());
				packUsage(packer, digest.accounts());
				packStrings(packer, digest.failedTargets());
				packStrings(packer, digest.recoveredTargets());
			}
			if (extended) {
				packTableState(packer, heartbeat.tables().desiredState());
				packTableState(packer, heartbeat.tables().targets());
				packCrashes(packer, heartbeat.requestCrashes());
				packStatements(packer, heartbeat.targetStatements());
				packer.packLong(heartbeat.tables().desiredState().version().era())
					.packLong(heartbeat.tables().targets().version().era());
			}
			if (withReach) {
				packer.packInt(heartbeat.reach().state().ordinal());
				packStrings(packer, heartbeat.reach().closedTargets());
			}
			if (!heartbeat.reach().reachedTargets().isEmpty()) {
				packStrings(packer, heartbeat.reach().reachedTargets());
			}
			if (relayKey != null) {
				packer.packBinaryHeader(RelayKey.BYTES).writePayload(relayKey.bytes());
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void packTableState(MessageBufferPacker packer, TableState state) throws IOException {
		packer.packLong(state.version().number()).packLong(state.digest());
	}

	private static void packCrashes(MessageBufferPacker packer, List<RequestCrash> crashes) throws IOException {
		packer.packArrayHeader(crashes.size());
		for (RequestCrash crash : crashes) {
			packer.packString(crash.fingerprint())
				.packLong(crash.id())
				.packLong(crash.sentAgeMs())
				.packLong(crash.crashedAgeMs());
		}
	}

	private static void packStatements(MessageBufferPacker packer, List<TargetStatementReport> reports)
			throws IOException {
		packer.packArrayHeader(reports.size());
		for (TargetStatementReport report : reports) {
			packer.packString(report.target().id())
				.packLong(report.target().startedMs())
				.packDouble(report.statement().requestsPerSecond())
				.packBoolean(report.statement().leaving())
				.packLong(report.ageMs());
		}
	}

	private static void packStrings(MessageBufferPacker packer, List<String> strings) throws IOException {
		packer.packArrayHeader(strings.size());
		for (String string : strings) {
			packer.packString(string);
		}
	}

	private static void packUsage(MessageBufferPacker packer, Map<String, AccountUsage> usage) throws IOException {
		packer.packMapHeader(usage.size());
		for (Map.Entry<String, AccountUsage> entry : usage.entrySet()) {
			packer.packString(entry.getKey())
				.packLong(entry.getValue().count())
				.packFloat((float) entry.getValue().ratePerSecond());
		}
	}

	/**
	 * Decodes a heartbeat.
	 * @param bytes the payload of a datagram
	 * @return the heartbeat, or {@code null} if the payload is malformed, has another
	 * format version, or holds an address or a number that cannot be used
	 */
	public @Nullable HostHeartbeat decode(byte[] bytes) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			return unpack(unpacker);
		}
		catch (IOException | MessagePackException ex) {
			return null;
		}
	}

	/**
	 * Decodes the relay key of a host's entry in the store.
	 * @param bytes the content of a row
	 * @return the key, or {@code null} if the entry is malformed or of an earlier build
	 */
	public @Nullable RelayKey decodeRelayKey(byte[] bytes) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			boolean hasKey = unpack(unpacker) != null && unpacker.hasNext()
					&& unpacker.unpackBinaryHeader() == RelayKey.BYTES;
			return hasKey ? RelayKey.of(unpacker.readPayload(RelayKey.BYTES)) : null;
		}
		catch (IOException | MessagePackException ex) {
			return null;
		}
	}

	private static @Nullable HostHeartbeat unpack(MessageUnpacker unpacker) throws IOException {
		if (unpacker.unpackInt() != FORMAT_VERSION) {
			return null;
		}
		String host = unpacker.unpackString();
		long startMs = unpacker.unpackLong();
		String failureDomain = unpacker.unpackString();
		String callerAddress = unpacker.unpackString();
		String peerAddress = unpacker.unpackString();
		double cores = unpacker.unpackDouble();
		boolean acceptingCallers = unpacker.unpackBoolean();
		long version = unpacker.unpackLong();
		boolean extended = unpacker.unpackLong() == EXTENSION_FOLLOWS;
		long storeAgeMs = unpacker.unpackLong();
		Map<String, AccountUsage> usage = unpackUsage(unpacker);
		List<String> accountsNearLimit = unpackStrings(unpacker);
		List<String> failedTargets = unpackStrings(unpacker);
		List<String> recoveredTargets = unpackStrings(unpacker);
		List<DomainDigest> digests = unpackDigests(unpacker);
		long[] tableStates = extended ? unpackLongs(unpacker, 4) : new long[4];
		List<RequestCrash> requestCrashes = extended ? unpackCrashes(unpacker) : List.of();
		// Both are missing in the heartbeats of earlier builds.
		boolean current = unpacker.hasNext();
		List<TargetStatementReport> targetStatements = current ? unpackStatements(unpacker) : List.of();
		long[] eras = current ? unpackLongs(unpacker, 2) : new long[2];
		HostReach reach = unpacker.hasNext() ? unpackReach(unpacker) : HostReach.NONE;
		TableStates tables = new TableStates(new TableState(new StoreVersion(eras[0], tableStates[0]), tableStates[1]),
				new TableState(new StoreVersion(eras[1], tableStates[2]), tableStates[3]));
		HostHeartbeat heartbeat = new HostHeartbeat(host, startMs, failureDomain, callerAddress, peerAddress, cores,
				acceptingCallers, version, tables, storeAgeMs, usage, accountsNearLimit, failedTargets,
				recoveredTargets, digests, requestCrashes, targetStatements, reach);
		return isValid(heartbeat) ? heartbeat : null;
	}

	private static HostReach unpackReach(MessageUnpacker unpacker) throws IOException {
		int state = unpacker.unpackInt();
		List<String> closedTargets = unpackStrings(unpacker);
		// In the entry of a host its relay key follows instead.
		boolean withReached = unpacker.hasNext() && unpacker.getNextFormat().getValueType() == ValueType.ARRAY;
		List<String> reachedTargets = withReached ? unpackStrings(unpacker) : List.of();
		HostReach.State[] states = HostReach.State.values();
		return new HostReach((state >= 0 && state < states.length) ? states[state] : HostReach.State.UNKNOWN,
				firstOf(closedTargets), firstOf(reachedTargets));
	}

	private static List<String> firstOf(List<String> targets) {
		return targets.subList(0, Math.min(HostReach.MAX_TARGETS, targets.size()));
	}

	// A heartbeat is used for as long as its host is known: an address that cannot be
	// used would make each later heartbeat to it fail, and a number out of range would
	// distort sums.
	private static boolean isValid(HostHeartbeat heartbeat) {
		return !heartbeat.host().isEmpty() && IpAddressAndPort.isValid(heartbeat.callerAddress())
				&& IpAddressAndPort.isValid(heartbeat.peerAddress()) && isAmount(heartbeat.cores())
				&& isValid(heartbeat.tables().desiredState()) && isValid(heartbeat.tables().targets())
				&& isAge(heartbeat.storeAgeMs()) && isValid(heartbeat.usage())
				&& heartbeat.targetStatements().stream().allMatch(HeartbeatCodec::isValid)
				&& heartbeat.requestCrashes().stream().allMatch(HeartbeatCodec::isValid)
				&& heartbeat.digests().stream().allMatch((digest) -> isValid(digest.accounts()));
	}

	private static boolean isValid(TargetStatementReport report) {
		return isAge(report.ageMs()) && report.statement().requestsPerSecond() >= 0;
	}

	private static boolean isValid(RequestCrash crash) {
		return isAge(crash.crashedAgeMs()) && isAge(crash.sentAgeMs()) && crash.sentAgeMs() >= crash.crashedAgeMs();
	}

	private static boolean isValid(TableState state) {
		return state.version().number() >= 0 && state.version().era() >= 0;
	}

	private static boolean isValid(Map<String, AccountUsage> usage) {
		return usage.values().stream().allMatch((used) -> used.count() >= 0 && isAmount(used.ratePerSecond()));
	}

	// Ages are added to other times, which must not overflow.
	private static boolean isAge(long ms) {
		return ms >= 0 && ms <= MAX_AGE_MS;
	}

	private static boolean isAmount(double number) {
		return number >= 0 && Double.isFinite(number);
	}

	private static List<RequestCrash> unpackCrashes(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackArrayHeader();
		List<RequestCrash> crashes = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			crashes.add(new RequestCrash(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackLong(),
					unpacker.unpackLong()));
		}
		return crashes;
	}

	private static List<TargetStatementReport> unpackStatements(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackArrayHeader();
		List<TargetStatementReport> reports = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			reports.add(new TargetStatementReport(new TargetIncarnation(unpacker.unpackString(), unpacker.unpackLong()),
					new TargetStatement(unpacker.unpackDouble(), unpacker.unpackBoolean()), unpacker.unpackLong()));
		}
		return reports;
	}

	private static long[] unpackLongs(MessageUnpacker unpacker, int count) throws IOException {
		long[] values = new long[count];
		for (int i = 0; i < count; i++) {
			values[i] = unpacker.unpackLong();
		}
		return values;
	}

	private static Map<String, AccountUsage> unpackUsage(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackMapHeader();
		Map<String, AccountUsage> usage = new HashMap<>();
		for (int i = 0; i < size; i++) {
			usage.put(unpacker.unpackString(), new AccountUsage(unpacker.unpackLong(), unpacker.unpackFloat()));
		}
		return usage;
	}

	private static List<String> unpackStrings(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackArrayHeader();
		List<String> strings = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			strings.add(unpacker.unpackString());
		}
		return strings;
	}

	private static List<DomainDigest> unpackDigests(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackArrayHeader();
		List<DomainDigest> digests = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			digests.add(new DomainDigest(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong(),
					unpackUsage(unpacker), unpackStrings(unpacker), unpackStrings(unpacker)));
		}
		return digests;
	}

}
