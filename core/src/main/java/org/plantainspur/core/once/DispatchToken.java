package org.plantainspur.core.once;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/**
 * The readable part of a dispatch token. A token is host id, process id, issue time and
 * authentication code, joined with {@code ~}. The ids are in base64url, so that a token
 * never holds {@code .} whatever the host is called. Only the issuing process can tell
 * whether the code is right.
 *
 * @param hostId the host of the process that may dispatch
 * @param processId the process that may dispatch
 * @param issuedMillis the instant of issue on the clock of that process
 * @param authenticated the text that the code protects
 * @param code the authentication code
 */
public record DispatchToken(String hostId, String processId, long issuedMillis, String authenticated, String code) {

	/** The longest key; bounds the memory of a record. */
	static final int MAXIMUM_KEY_LENGTH = 512;

	private static final int FIELDS = 4;

	private static final int ISSUE_RADIX = 36;

	/**
	 * Returns the text that the authentication code protects.
	 * @param hostId the host
	 * @param processId the process
	 * @param issuedMillis the instant of issue
	 * @return the token without its code
	 */
	static String authenticatedText(String hostId, String processId, long issuedMillis) {
		return encode(hostId) + "~" + encode(processId) + "~" + Long.toString(issuedMillis, ISSUE_RADIX);
	}

	/**
	 * Reads the token at the start of an idempotency key.
	 * @param idempotencyKey the key, {@code <dispatch token>.<own part>}
	 * @return the token
	 * @throws MalformedException if the key holds no token or no own part
	 */
	public static DispatchToken ofKey(String idempotencyKey) throws MalformedException {
		if (idempotencyKey.length() > MAXIMUM_KEY_LENGTH) {
			throw new MalformedException("is longer than " + MAXIMUM_KEY_LENGTH + " characters");
		}
		int end = idempotencyKey.indexOf('.');
		if (end < 0) {
			throw new MalformedException("holds no '.' between the dispatch token and a value of the caller's own");
		}
		if (end == idempotencyKey.length() - 1) {
			throw new MalformedException("has nothing after the dispatch token and '.'");
		}
		return ofToken(idempotencyKey.substring(0, end));
	}

	/**
	 * Returns whether a key starts with a well-formed dispatch token.
	 * @param idempotencyKey the key
	 * @return whether {@link #ofKey} would read it
	 */
	public static boolean startsKey(String idempotencyKey) {
		try {
			ofKey(idempotencyKey);
			return true;
		}
		catch (MalformedException ex) {
			return false;
		}
	}

	private static DispatchToken ofToken(String token) throws MalformedException {
		String[] fields = token.split("~", -1);
		if (fields.length != FIELDS) {
			throw new MalformedException("starts with " + fields.length + " fields separated by '~' where a dispatch"
					+ " token has " + FIELDS);
		}
		try {
			return new DispatchToken(decode(fields[0]), decode(fields[1]), Long.parseLong(fields[2], ISSUE_RADIX),
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
	 * Tells what is wrong with an idempotency key; the message does not repeat the key.
	 */
	public static final class MalformedException extends Exception {

		MalformedException(String fault) {
			super(fault);
		}

	}

}
