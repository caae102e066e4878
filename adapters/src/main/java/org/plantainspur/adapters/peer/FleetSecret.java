package org.plantainspur.adapters.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret shared by all member hosts, with which they authenticate to each other. Its
 * text never appears in {@link #toString()}.
 */
public final class FleetSecret {

	private static final String ALGORITHM = "HmacSHA256";

	private final SecretKeySpec hmacKey;

	private FleetSecret(SecretKeySpec hmacKey) {
		this.hmacKey = hmacKey;
	}

	/**
	 * Creates the secret from its text.
	 * @param text the text, not empty
	 * @return the secret, as a key for HMAC-SHA256
	 */
	public static FleetSecret of(String text) {
		return new FleetSecret(new SecretKeySpec(text.getBytes(StandardCharsets.UTF_8), ALGORITHM));
	}

	/**
	 * Computes the HMAC over a role, a zero byte as separator and both nonces.
	 * @param role the role of the side that proves that it has the secret
	 * @param challenge the nonce of the side that verifies the proof
	 * @param proverNonce the nonce of the side that proves
	 * @return the proof, 32 bytes
	 */
	byte[] proof(String role, byte[] challenge, byte[] proverNonce) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.hmacKey);
			mac.update(role.getBytes(StandardCharsets.UTF_8));
			mac.update((byte) 0);
			mac.update(challenge);
			return mac.doFinal(proverNonce);
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ALGORITHM + " is not available in this Java runtime", ex);
		}
	}

	boolean isValidProof(byte[] proof, String role, byte[] challenge, byte[] proverNonce) {
		return MessageDigest.isEqual(proof, proof(role, challenge, proverNonce));
	}

	@Override
	public String toString() {
		return "FleetSecret[hidden]";
	}

}
