package org.plantainspur.core.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;

/**
 * Identifies requests by their method, path, query and body, but not by their header
 * fields, to detect an idempotency key that is used for two different requests.
 */
public final class RequestFingerprint {

	private RequestFingerprint() {
	}

	/**
	 * Returns the fingerprint of a request.
	 * @param request the request as the caller sent it
	 * @return the SHA-256 of method, path, query and body in lower-case hexadecimal
	 */
	public static String of(CallerRequest request) {
		MessageDigest digest = KeyHash.sha256();
		String methodPathAndQuery = request.method() + "\n" + request.path() + "\n" + request.query() + "\n";
		digest.update(methodPathAndQuery.getBytes(StandardCharsets.UTF_8));
		return HexFormat.of().formatHex(digest.digest(request.body()));
	}

}
