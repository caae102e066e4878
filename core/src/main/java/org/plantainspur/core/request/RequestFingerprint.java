package org.plantainspur.core.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;

/**
 * Identifies requests by their method, path, query and body, but not by their header
 * fields, to detect an idempotency key that is used for two different requests.
 */
public final class RequestFingerprint {

	/** The digits of a fingerprint that hosts send to each other: 64 bits. */
	private static final int SHORT_LENGTH = 16;

	private RequestFingerprint() {
	}

	/**
	 * Returns the fingerprint of a request.
	 * @param request the request as the caller sent it
	 * @return the SHA-256 of method, path, query and body in lower-case hexadecimal
	 */
	public static String of(CallerRequest request) {
		return hash(request.method() + "\n" + request.path() + "\n" + request.query() + "\n",
				ByteBuffer.wrap(request.body()));
	}

	/**
	 * Returns a fingerprint that also tells accounts apart.
	 * @param account the name of the client account, empty for a request without one
	 * @param method the request's method
	 * @param uri the request's path with its query
	 * @param body the request's body, which is read to its end
	 * @return 16 hexadecimal digits
	 */
	public static String of(String account, String method, String uri, ByteBuffer body) {
		return hash(account + "\n" + method + "\n" + uri + "\n", body).substring(0, SHORT_LENGTH);
	}

	private static String hash(String head, ByteBuffer body) {
		MessageDigest digest = KeyHash.sha256();
		digest.update(head.getBytes(StandardCharsets.UTF_8));
		digest.update(body);
		return HexFormat.of().formatHex(digest.digest());
	}

}
