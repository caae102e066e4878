package org.plantainspur.core.once;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Base64;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Issues and recognizes the dispatch tokens of this process.
 */
final class TokenMint {

	private static final String ALGORITHM = "HmacSHA256";

	private static final int SECRET_BYTES = 32;

	private static final int CODE_BYTES = 16;

	private final String hostId;

	private final String processId;

	private final SecretKeySpec secret;

	TokenMint(String hostId, String processId) {
		this.hostId = hostId;
		this.processId = processId;
		byte[] random = new byte[SECRET_BYTES];
		new SecureRandom().nextBytes(random);
		this.secret = new SecretKeySpec(random, ALGORITHM);
	}

	String mint(String accountId, long nowMillis) {
		String text = DispatchToken.authenticatedText(this.hostId, this.processId, nowMillis);
		return text + "~" + code(text, accountId);
	}

	boolean names(DispatchToken token) {
		return token.hostId().equals(this.hostId) && token.processId().equals(this.processId);
	}

	boolean issued(DispatchToken token, String accountId) {
		byte[] expected = code(token.authenticated(), accountId).getBytes(StandardCharsets.UTF_8);
		return MessageDigest.isEqual(expected, token.code().getBytes(StandardCharsets.UTF_8));
	}

	private String code(String text, String accountId) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.secret);
			byte[] full = mac.doFinal((text + "\n" + accountId).getBytes(StandardCharsets.UTF_8));
			return Base64.getUrlEncoder().withoutPadding().encodeToString(Arrays.copyOf(full, CODE_BYTES));
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ALGORITHM + " is required of every Java platform", ex);
		}
	}

}
