package org.plantainspur.core.idempotency;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Base64;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Issues and verifies the dispatch tokens of this process, with a random secret that
 * never leaves it. The authentication code also covers the id of the account that a token
 * is issued to, although the token does not contain it.
 */
final class DispatchTokenIssuer {

	private static final String ALGORITHM = "HmacSHA256";

	private static final int SECRET_BYTES = 32;

	/** The length to which the HMAC is truncated in a token. */
	private static final int AUTHENTICATION_CODE_BYTES = 16;

	private final String hostId;

	private final String processId;

	private final SecretKeySpec secret;

	DispatchTokenIssuer(String hostId, String processId) {
		this.hostId = hostId;
		this.processId = processId;
		byte[] secretBytes = new byte[SECRET_BYTES];
		new SecureRandom().nextBytes(secretBytes);
		this.secret = new SecretKeySpec(secretBytes, ALGORITHM);
	}

	String issue(String accountId, long nowMillis) {
		String text = DispatchToken.formatAuthenticatedText(this.hostId, this.processId, nowMillis);
		return text + "~" + authenticationCode(text, accountId);
	}

	boolean namesThisProcess(DispatchToken token) {
		return token.hostId().equals(this.hostId) && token.processId().equals(this.processId);
	}

	boolean isAuthentic(DispatchToken token, String accountId) {
		byte[] expected = authenticationCode(token.authenticatedText(), accountId).getBytes(StandardCharsets.UTF_8);
		return MessageDigest.isEqual(expected, token.authenticationCode().getBytes(StandardCharsets.UTF_8));
	}

	private String authenticationCode(String text, String accountId) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.secret);
			byte[] full = mac.doFinal((text + "\n" + accountId).getBytes(StandardCharsets.UTF_8));
			return Base64.getUrlEncoder()
				.withoutPadding()
				.encodeToString(Arrays.copyOf(full, AUTHENTICATION_CODE_BYTES));
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ALGORITHM + " is required of every Java platform", ex);
		}
	}

}
