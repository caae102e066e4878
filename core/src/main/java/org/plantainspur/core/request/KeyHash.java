package org.plantainspur.core.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Hashes API keys. Accounts are looked up by the hash, so that the time a lookup takes
 * tells nothing about the stored keys.
 */
public final class KeyHash {

	private KeyHash() {
	}

	/**
	 * Returns the hash of an API key.
	 * @param apiKey the key as the caller sends it
	 * @return the SHA-256 of its UTF-8 form in lower-case hexadecimal
	 */
	public static String of(String apiKey) {
		return HexFormat.of().formatHex(sha256().digest(apiKey.getBytes(StandardCharsets.UTF_8)));
	}

	static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is required of every Java platform", ex);
		}
	}

}
