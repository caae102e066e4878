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
 * the CRC-32C of all bytes before its value. TCP's own checksum misses some damaged
 * segments, and a damaged token amount or health verdict would otherwise be taken as
 * valid.
 */
final class PayloadCodec {

	private static final String CHECKSUM_FIELD = "crc";

	private static final int CHECKSUM_BYTES = 4;

	/**
	 * The bytes before the checksum at the end of each payload: the field name and the
	 * MessagePack header of a binary value of 4 bytes.
	 */
	private static final byte[] CHECKSUM_PREFIX = checksumPrefix();

	private final ObjectMapper mapper;

	PayloadCodec(ObjectMapper mapper) {
		this.mapper = mapper;
	}

	private static byte[] checksumPrefix() {
		byte[] fieldName = CHECKSUM_FIELD.getBytes(StandardCharsets.UTF_8);
		return ByteBuffer.allocate(fieldName.length + 3)
			.put((byte) (0xa0 | fieldName.length))
			.put(fieldName)
			.put((byte) 0xc4)
			.put((byte) CHECKSUM_BYTES)
			.array();
	}

	byte[] encode(ObjectNode fields) {
		fields.remove(CHECKSUM_FIELD);
		fields.put(CHECKSUM_FIELD, new byte[CHECKSUM_BYTES]);
		try {
			byte[] payload = this.mapper.writeValueAsBytes(fields);
			int checksumStart = payload.length - CHECKSUM_BYTES;
			ByteBuffer.wrap(payload).putInt(checksumStart, checksum(payload, checksumStart));
			return payload;
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("the fields of a peer message failed to encode as MessagePack", ex);
		}
	}

	ObjectNode decode(byte[] payload) throws PeerProtocolException {
		int checksumStart = payload.length - CHECKSUM_BYTES;
		int prefixStart = checksumStart - CHECKSUM_PREFIX.length;
		if (prefixStart < 0
				|| !Arrays.equals(payload, prefixStart, checksumStart, CHECKSUM_PREFIX, 0, CHECKSUM_PREFIX.length)) {
			throw new PeerProtocolException("the payload does not end with a checksum field");
		}
		if (ByteBuffer.wrap(payload).getInt(checksumStart) != checksum(payload, checksumStart)) {
			throw new PeerProtocolException("the payload does not match its checksum");
		}
		MessagePackValidator.validate(payload);
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

	private static int checksum(byte[] payload, int checksumStart) {
		CRC32C crc = new CRC32C();
		crc.update(payload, 0, checksumStart);
		return (int) crc.getValue();
	}

}
