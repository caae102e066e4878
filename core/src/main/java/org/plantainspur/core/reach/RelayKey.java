package org.plantainspur.core.reach;

import java.security.SecureRandom;
import java.util.Arrays;

/**
 * The secret of one host process. Other hosts read it in the store, which only hosts can
 * read, and prove with it that a request to relay comes from a host.
 */
public final class RelayKey {

	/** The length of a key, that of the output of the hash function it is used with. */
	public static final int BYTES = 32;

	private final byte[] bytes;

	private RelayKey(byte[] bytes) {
		this.bytes = bytes;
	}

	/**
	 * Returns a new random key.
	 * @return a key that no other process has
	 */
	public static RelayKey random() {
		byte[] bytes = new byte[BYTES];
		new SecureRandom().nextBytes(bytes);
		return new RelayKey(bytes);
	}

	/**
	 * Returns the key with the given content.
	 * @param bytes {@link #BYTES} bytes
	 * @return the key
	 * @throws IllegalArgumentException if the length is another one
	 */
	public static RelayKey of(byte[] bytes) {
		if (bytes.length != BYTES) {
			throw new IllegalArgumentException("a relay key has " + BYTES + " bytes, not " + bytes.length);
		}
		return new RelayKey(bytes.clone());
	}

	/**
	 * Returns the content of the key.
	 * @return a copy of its bytes
	 */
	public byte[] bytes() {
		return this.bytes.clone();
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof RelayKey key && Arrays.equals(this.bytes, key.bytes);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.bytes);
	}

	@Override
	public String toString() {
		return "RelayKey";
	}

}
