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

	/** The protocol version. */
	static final byte VERSION = 1;

	/** The largest frame in bytes, without its length. */
	static final int MAXIMUM_BYTES = 4 * 1024 * 1024;

	private static final int MINIMUM_BYTES = 2;

	private PeerFrames() {
	}

	/**
	 * Reads a frame.
	 * @param input the stream
	 * @param maximumBytes the largest length to accept; bounds what is allocated
	 * @return the payload
	 * @throws PeerProtocolException for a bad length or version
	 * @throws IOException if the stream ends
	 */
	static byte[] read(DataInputStream input, int maximumBytes) throws IOException {
		int length = input.readInt();
		if (length < MINIMUM_BYTES || length > maximumBytes) {
			throw new PeerProtocolException(
					"the frame length " + length + " is outside " + MINIMUM_BYTES + " to " + maximumBytes);
		}
		byte version = input.readByte();
		if (version != VERSION) {
			throw new PeerProtocolException("protocol version " + version + " is unknown; this host has " + VERSION);
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
	 * Returns a whole frame.
	 * @param payload the payload
	 * @return the frame
	 * @throws PeerProtocolException if the payload is too large for a frame
	 */
	static byte[] encode(byte[] payload) throws PeerProtocolException {
		if (payload.length + 1 > MAXIMUM_BYTES) {
			throw new PeerProtocolException(
					"a message of " + payload.length + " bytes is larger than a frame of " + MAXIMUM_BYTES);
		}
		return ByteBuffer.allocate(Integer.BYTES + 1 + payload.length)
			.putInt(payload.length + 1)
			.put(VERSION)
			.put(payload)
			.array();
	}

}
