package org.plantainspur.adapters.peer;

/**
 * Validates the structure of a MessagePack payload before it is parsed. The parser
 * allocates whatever length a value declares, so a payload of ten bytes could make it
 * allocate two gigabytes. The type bytes in this class are those of the MessagePack
 * specification.
 */
final class MessagePackValidator {

	private static final int MAXIMUM_DEPTH = 16;

	private final byte[] bytes;

	private int position;

	private MessagePackValidator(byte[] bytes) {
		this.bytes = bytes;
	}

	/**
	 * Validates that a payload is exactly one map and that no declared length exceeds the
	 * payload.
	 * @param bytes the payload
	 * @throws PeerProtocolException if the payload is anything else
	 */
	static void validate(byte[] bytes) throws PeerProtocolException {
		MessagePackValidator validator = new MessagePackValidator(bytes);
		int firstByte = validator.readUnsigned(1, false);
		if ((firstByte & 0xf0) != 0x80 && firstByte != 0xde && firstByte != 0xdf) {
			throw new PeerProtocolException("the payload is not a map");
		}
		validator.validateValue(0);
		if (validator.position != bytes.length) {
			throw new PeerProtocolException(
					(bytes.length - validator.position) + " bytes follow the end of the payload's map");
		}
	}

	private void validateValue(int depth) throws PeerProtocolException {
		if (depth > MAXIMUM_DEPTH) {
			throw new PeerProtocolException(
					"the payload's values are nested deeper than the maximum of " + MAXIMUM_DEPTH);
		}
		int typeByte = readUnsigned(1, true);
		if (typeByte < 0x80 || typeByte >= 0xe0) {
			return;
		}
		if (typeByte < 0x90) {
			validateElements(2L * (typeByte & 0x0f), depth);
		}
		else if (typeByte < 0xa0) {
			validateElements(typeByte & 0x0f, depth);
		}
		else if (typeByte < 0xc0) {
			skip(typeByte & 0x1f);
		}
		else {
			validateTypedValue(typeByte, depth);
		}
	}

	private void validateTypedValue(int typeByte, int depth) throws PeerProtocolException {
		switch (typeByte) {
			case 0xc0, 0xc2, 0xc3 -> {
			}
			case 0xc4, 0xd9 -> skip(readLength(1));
			case 0xc5, 0xda -> skip(readLength(2));
			case 0xc6, 0xdb -> skip(readLength(4));
			case 0xcc, 0xd0 -> skip(1);
			case 0xcd, 0xd1 -> skip(2);
			case 0xca, 0xce, 0xd2 -> skip(4);
			case 0xcb, 0xcf, 0xd3 -> skip(8);
			case 0xdc -> validateElements(readLength(2), depth);
			case 0xdd -> validateElements(readLength(4), depth);
			case 0xde -> validateElements(2 * readLength(2), depth);
			case 0xdf -> validateElements(2 * readLength(4), depth);
			default -> throw new PeerProtocolException("MessagePack type 0x" + Integer.toHexString(typeByte)
					+ " is not used by this protocol (byte " + (this.position - 1) + ")");
		}
	}

	private void validateElements(long count, int depth) throws PeerProtocolException {
		if (count > this.bytes.length - this.position) {
			throw new PeerProtocolException(count + " elements do not fit in the rest of the payload");
		}
		for (long i = 0; i < count; i++) {
			validateValue(depth + 1);
		}
	}

	private void skip(long count) throws PeerProtocolException {
		if (count > this.bytes.length - this.position) {
			throw new PeerProtocolException("a value of " + count + " bytes does not fit in the rest of the payload");
		}
		this.position += (int) count;
	}

	private long readLength(int width) throws PeerProtocolException {
		return readUnsigned(width, true) & 0xffffffffL;
	}

	private int readUnsigned(int width, boolean advance) throws PeerProtocolException {
		if (width > this.bytes.length - this.position) {
			throw new PeerProtocolException("the payload ends within a value");
		}
		int value = 0;
		for (int i = 0; i < width; i++) {
			value = (value << 8) | (this.bytes[this.position + i] & 0xff);
		}
		this.position += advance ? width : 0;
		return value;
	}

}
