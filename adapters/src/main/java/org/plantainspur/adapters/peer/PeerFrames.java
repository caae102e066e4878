package org.plantainspur.adapters.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Reads and writes frames: a 4-byte big-endian length, 1 byte protocol version, and the
 * payload. The length counts the version and the payload.
 */
final class PeerFrames {

	/** Version of the peer protocol that this host speaks. */
	static final byte VERSION = 1;

	/** Maximum size of a frame in bytes, not counting its length field. */
	static final int MAXIMUM_BYTES = 4 * 1024 * 1024;

	/**
	 * Minimum size of a frame in bytes, not counting its length field: the version and
	 * one byte of payload.
	 */
	private static final int MINIMUM_BYTES = 2;

	private PeerFrames() {
	}

	/**
	 * Reads a frame.
	 * @param input the stream from the peer
	 * @param maximumBytes the largest length to accept, which bounds the memory allocated
	 * @return the payload, without length and version
	 * @throws PeerProtocolException if the length is out of range or the version is
	 * unknown
	 * @throws IOException if the stream ends
	 */
	static byte[] read(DataInputStream input, int maximumBytes) throws IOException {
		int length = input.readInt();
		if (length < MINIMUM_BYTES || length > maximumBytes) {
			throw new PeerProtocolException(
					"the frame length of " + length + " bytes is outside " + MINIMUM_BYTES + " to " + maximumBytes);
		}
		byte version = input.readByte();
		if (version != VERSION) {
			throw new PeerProtocolException(
					"protocol version " + version + " is not supported; this host supports version " + VERSION);
		}
		byte[] payload = new byte[length - 1];
		input.readFully(payload);
		return payload;
	}

	static void write(DataOutputStream output, byte[] payload) throws IOException {
		output.write(encode(payload));
		output.flush();
	}

	/**
	 * Encodes a payload as a frame.
	 * @param payload the payload
	 * @return the frame with its length and version
	 * @throws PeerProtocolException if the payload is too large for a frame
	 */
	static byte[] encode(byte[] payload) throws PeerProtocolException {
		if (payload.length + 1 > MAXIMUM_BYTES) {
			throw new PeerProtocolException(
					"a message of " + payload.length + " bytes is too large for a frame of at most " + MAXIMUM_BYTES);
		}
		return ByteBuffer.allocate(Integer.BYTES + 1 + payload.length)
			.putInt(payload.length + 1)
			.put(VERSION)
			.put(payload)
			.array();
	}

}
