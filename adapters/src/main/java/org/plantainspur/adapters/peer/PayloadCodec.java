package org.plantainspur.adapters.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Encodes a map of fields as the payload of a frame. The last field, {@code crc}, holds
 * the CRC-32C of all bytes before its value, since TCP's own checksum lets some damaged
 * segments through and a damaged amount or verdict would otherwise be taken as valid.
 */
final class PayloadCodec {

	private static final String CHECKSUM = "crc";

	private static final int CHECKSUM_BYTES = 4;

	/** The end of each payload before the checksum: the name and the head of 4 bytes. */
	private static final byte[] CHECKSUM_HEAD = checksumHead();

	private final ObjectMapper mapper;

	PayloadCodec(ObjectMapper mapper) {
		this.mapper = mapper;
	}

	private static byte[] checksumHead() {
		byte[] name = CHECKSUM.getBytes(StandardCharsets.UTF_8);
		return ByteBuffer.allocate(name.length + 3)
			.put((byte) (0xa0 | name.length))
			.put(name)
			.put((byte) 0xc4)
			.put((byte) CHECKSUM_BYTES)
			.array();
	}

	byte[] encode(ObjectNode fields) {
		fields.remove(CHECKSUM);
		fields.put(CHECKSUM, new byte[CHECKSUM_BYTES]);
		try {
			byte[] payload = this.mapper.writeValueAsBytes(fields);
			int end = payload.length - CHECKSUM_BYTES;
			ByteBuffer.wrap(payload).putInt(end, checksum(payload, end));
			return payload;
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a tree of plain values can always be written", ex);
		}
	}

	ObjectNode decode(byte[] payload) throws PeerProtocolException {
		int end = payload.length - CHECKSUM_BYTES;
		int head = end - CHECKSUM_HEAD.length;
		if (head < 0 || !Arrays.equals(payload, head, end, CHECKSUM_HEAD, 0, CHECKSUM_HEAD.length)) {
			throw new PeerProtocolException("the payload does not end with its checksum");
		}
		if (ByteBuffer.wrap(payload).getInt(end) != checksum(payload, end)) {
			throw new PeerProtocolException("the payload does not match its checksum");
		}
		PayloadStructure.check(payload);
		return parse(payload);
	}

	private ObjectNode parse(byte[] payload) throws PeerProtocolException {
		try {
			JsonNode node = this.mapper.readTree(payload);
			if (node instanceof ObjectNode fields) {
				return fields;
			}
			throw new PeerProtocolException("the payload is not a map");
		}
		catch (PeerProtocolException ex) {
			throw ex;
		}
		catch (IOException | RuntimeException ex) {
			throw new PeerProtocolException("the payload is not valid MessagePack: " + ex.getMessage(), ex);
		}
	}

	private static int checksum(byte[] payload, int end) {
		CRC32C crc = new CRC32C();
		crc.update(payload, 0, end);
		return (int) crc.getValue();
	}

}
