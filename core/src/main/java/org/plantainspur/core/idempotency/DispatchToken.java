package org.plantainspur.core.idempotency;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/**
 * A parsed dispatch token, which names the only process that may dispatch the requests
 * whose idempotency keys start with it. Its text is the host id, the process id, the
 * issue time and an authentication code, joined with {@code ~}. The ids are encoded in
 * base64url, so that no host id can put a {@code .} into a token. Only the issuing
 * process can verify the code.
 *
 * @param hostId the host of the issuing process
 * @param processId the issuing process
 * @param issuedMillis when the token was issued, in milliseconds on that process's clock
 * @param authenticatedText the token's text without {@code ~} and the code
 * @param authenticationCode the code over {@code authenticatedText}, in base64url
 */
public record DispatchToken(String hostId, String processId, long issuedMillis, String authenticatedText,
		String authenticationCode) {

	/** Longer idempotency keys are refused, which limits the memory of a record. */
	static final int MAXIMUM_KEY_CHARACTERS = 512;

	private static final int FIELDS = 4;

	private static final int ISSUE_TIME_RADIX = 36;

	/**
	 * Formats the part of a token that its authentication code covers.
	 * @param hostId the host of the issuing process
	 * @param processId the issuing process
	 * @param issuedMillis the issue time, in milliseconds on that process's clock
	 * @return the token's text without {@code ~} and the code
	 */
	static String formatAuthenticatedText(String hostId, String processId, long issuedMillis) {
		return encode(hostId) + "~" + encode(processId) + "~" + Long.toString(issuedMillis, ISSUE_TIME_RADIX);
	}

	/**
	 * Parses the token at the start of an idempotency key.
	 * @param idempotencyKey the key, {@code <dispatch token>.<caller's value>}
	 * @return the token, whose authentication code is not verified
	 * @throws MalformedException if the key is too long, does not start with a token or
	 * has no caller's value after it
	 */
	public static DispatchToken parseKey(String idempotencyKey) throws MalformedException {
		if (idempotencyKey.length() > MAXIMUM_KEY_CHARACTERS) {
			throw new MalformedException("is longer than " + MAXIMUM_KEY_CHARACTERS + " characters");
		}
		int end = idempotencyKey.indexOf('.');
		if (end < 0) {
			throw new MalformedException("has no '.' between the dispatch token and the caller's own value");
		}
		if (end == idempotencyKey.length() - 1) {
			throw new MalformedException("has nothing after the dispatch token and '.'");
		}
		return parseToken(idempotencyKey.substring(0, end));
	}

	/**
	 * Returns whether a key starts with a well-formed dispatch token.
	 * @param idempotencyKey the key as the caller sent it
	 * @return {@code false} if {@link #parseKey} would throw an exception
	 */
	public static boolean isPresentIn(String idempotencyKey) {
		try {
			parseKey(idempotencyKey);
			return true;
		}
		catch (MalformedException ex) {
			return false;
		}
	}

	private static DispatchToken parseToken(String token) throws MalformedException {
		String[] fields = token.split("~", -1);
		if (fields.length != FIELDS) {
			throw new MalformedException("starts with " + fields.length + " fields separated by '~' where a dispatch"
					+ " token has " + FIELDS);
		}
		try {
			return new DispatchToken(decode(fields[0]), decode(fields[1]), Long.parseLong(fields[2], ISSUE_TIME_RADIX),
					token.substring(0, token.lastIndexOf('~')), fields[FIELDS - 1]);
		}
		catch (NumberFormatException ex) {
			throw new MalformedException("has no issue time in its third field");
		}
		catch (IllegalArgumentException ex) {
			throw new MalformedException("names no host and process in its first two fields");
		}
	}

	private static String encode(String text) {
		return Base64.getUrlEncoder().withoutPadding().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

	private static String decode(String text) {
		return new String(Base64.getUrlDecoder().decode(text), StandardCharsets.UTF_8);
	}

	/**
	 * Thrown for a malformed idempotency key. The message continues the words "the
	 * idempotency key" and does not contain the key.
	 */
	public static final class MalformedException extends Exception {

		MalformedException(String reason) {
			super(reason);
		}

	}

}
