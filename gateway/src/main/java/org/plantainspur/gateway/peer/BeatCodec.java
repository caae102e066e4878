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

import org.plantainspur.core.fleet.DomainDemand;
import org.plantainspur.core.fleet.HostBeat;

/**
 * Encodes beats as MessagePack arrays that begin with the format's number.
 */
public final class BeatCodec {

	/** Raised when the order or meaning of the fields changes. */
	private static final int FORMAT = 1;

	/**
	 * Encodes a beat.
	 * @param beat the beat
	 * @return its bytes
	 */
	public byte[] encode(HostBeat beat) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packInt(FORMAT)
				.packString(beat.host())
				.packLong(beat.start())
				.packString(beat.failureDomain())
				.packString(beat.callerAddress())
				.packString(beat.peerAddress())
				.packBoolean(beat.taking())
				.packLong(beat.version());
			packDemand(packer, beat.demand());
			packer.packArrayHeader(beat.failedTargets().size());
			for (String target : beat.failedTargets()) {
				packer.packString(target);
			}
			packer.packArrayHeader(beat.digests().size());
			for (DomainDemand digest : beat.digests()) {
				packer.packString(digest.failureDomain()).packLong(digest.stampMs()).packInt(digest.hosts());
				packDemand(packer, digest.demand());
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void packDemand(MessageBufferPacker packer, Map<String, Double> demand) throws IOException {
		packer.packMapHeader(demand.size());
		for (Map.Entry<String, Double> entry : demand.entrySet()) {
			packer.packString(entry.getKey()).packFloat(entry.getValue().floatValue());
		}
	}

	/**
	 * Decodes a beat.
	 * @param bytes its bytes
	 * @return the beat, or {@code null} if the bytes are no beat of this format
	 */
	public @Nullable HostBeat decode(byte[] bytes) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			if (unpacker.unpackInt() != FORMAT) {
				return null;
			}
			return new HostBeat(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackString(),
					unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackBoolean(), unpacker.unpackLong(),
					unpackDemand(unpacker), unpackStrings(unpacker), unpackDigests(unpacker));
		}
		catch (IOException | MessagePackException ex) {
			return null;
		}
	}

	private static Map<String, Double> unpackDemand(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackMapHeader();
		Map<String, Double> demand = new HashMap<>();
		for (int i = 0; i < size; i++) {
			demand.put(unpacker.unpackString(), (double) unpacker.unpackFloat());
		}
		return demand;
	}

	private static List<String> unpackStrings(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackArrayHeader();
		List<String> strings = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			strings.add(unpacker.unpackString());
		}
		return strings;
	}

	private static List<DomainDemand> unpackDigests(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackArrayHeader();
		List<DomainDemand> digests = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			digests.add(new DomainDemand(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackInt(),
					unpackDemand(unpacker)));
		}
		return digests;
	}

}
