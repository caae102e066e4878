package org.plantainspur.adapters.peer;

/**
 * Checks the structure of a MessagePack payload before it is parsed. The parser allocates
 * whatever length a value declares, so a payload of ten bytes could claim two gigabytes.
 */
final class PayloadStructure {

	private static final int MAXIMUM_DEPTH = 16;

	private final byte[] bytes;

	private int position;

	private PayloadStructure(byte[] bytes) {
		this.bytes = bytes;
	}

	/**
	 * Checks that the payload is exactly one map whose declared lengths all fit.
	 * @param bytes the payload
	 * @throws PeerProtocolException if it is not
	 */
	static void check(byte[] bytes) throws PeerProtocolException {
		PayloadStructure structure = new PayloadStructure(bytes);
		int first = structure.unsigned(1, false);
		if ((first & 0xf0) != 0x80 && first != 0xde && first != 0xdf) {
			throw new PeerProtocolException("the payload is not a map");
		}
		structure.value(0);
		if (structure.position != bytes.length) {
			throw new PeerProtocolException(
					(bytes.length - structure.position) + " bytes follow the end of the payload's map");
		}
	}

	private void value(int depth) throws PeerProtocolException {
		if (depth > MAXIMUM_DEPTH) {
			throw new PeerProtocolException("values are nested deeper than " + MAXIMUM_DEPTH);
		}
		int head = unsigned(1, true);
		if (head < 0x80 || head >= 0xe0) {
			return;
		}
		if (head < 0x90) {
			elements(2L * (head & 0x0f), depth);
		}
		else if (head < 0xa0) {
			elements(head & 0x0f, depth);
		}
		else if (head < 0xc0) {
			skip(head & 0x1f);
		}
		else {
			longForm(head, depth);
		}
	}

	private void longForm(int head, int depth) throws PeerProtocolException {
		switch (head) {
			case 0xc0, 0xc2, 0xc3 -> {
			}
			case 0xc4, 0xd9 -> skip(length(1));
			case 0xc5, 0xda -> skip(length(2));
			case 0xc6, 0xdb -> skip(length(4));
			case 0xcc, 0xd0 -> skip(1);
			case 0xcd, 0xd1 -> skip(2);
			case 0xca, 0xce, 0xd2 -> skip(4);
			case 0xcb, 0xcf, 0xd3 -> skip(8);
			case 0xdc -> elements(length(2), depth);
			case 0xdd -> elements(length(4), depth);
			case 0xde -> elements(2 * length(2), depth);
			case 0xdf -> elements(2 * length(4), depth);
			default -> throw new PeerProtocolException("MessagePack type 0x" + Integer.toHexString(head)
					+ " is not used by this protocol (byte " + (this.position - 1) + ")");
		}
	}

	private void elements(long count, int depth) throws PeerProtocolException {
		if (count > this.bytes.length - this.position) {
			throw new PeerProtocolException(count + " elements do not fit in the payload");
		}
		for (long i = 0; i < count; i++) {
			value(depth + 1);
		}
	}

	private void skip(long count) throws PeerProtocolException {
		if (count > this.bytes.length - this.position) {
			throw new PeerProtocolException("a value of " + count + " bytes does not fit in the payload");
		}
		this.position += (int) count;
	}

	private long length(int width) throws PeerProtocolException {
		return unsigned(width, true) & 0xffffffffL;
	}

	private int unsigned(int width, boolean advance) throws PeerProtocolException {
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
