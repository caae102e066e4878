package org.plantainspur.adapters.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret shared by all members. Its text never appears in {@link #toString()}.
 */
public final class FleetSecret {

	private static final String ALGORITHM = "HmacSHA256";

	private final SecretKeySpec key;

	private FleetSecret(SecretKeySpec key) {
		this.key = key;
	}

	/**
	 * Returns the secret of a text.
	 * @param text the secret, not empty
	 * @return the secret
	 */
	public static FleetSecret of(String text) {
		return new FleetSecret(new SecretKeySpec(text.getBytes(StandardCharsets.UTF_8), ALGORITHM));
	}

	byte[] proof(String role, byte[] challenge, byte[] ownNonce) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.key);
			mac.update(role.getBytes(StandardCharsets.UTF_8));
			mac.update((byte) 0);
			mac.update(challenge);
			return mac.doFinal(ownNonce);
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ALGORITHM + " is part of every Java runtime", ex);
		}
	}

	boolean proves(byte[] proof, String role, byte[] challenge, byte[] ownNonce) {
		return MessageDigest.isEqual(proof, proof(role, challenge, ownNonce));
	}

	@Override
	public String toString() {
		return "FleetSecret[hidden]";
	}

}
