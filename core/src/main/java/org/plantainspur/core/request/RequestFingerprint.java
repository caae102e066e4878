package org.plantainspur.core.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;

/**
 * Identifies what a request asks for, apart from its headers.
 */
public final class RequestFingerprint {

	private RequestFingerprint() {
	}

	/**
	 * Returns the fingerprint of a request.
	 * @param request the request
	 * @return the SHA-256 of method, path, query and body in lower-case hexadecimal
	 */
	public static String of(CallerRequest request) {
		MessageDigest digest = KeyHash.digest();
		String line = request.method() + "\n" + request.path() + "\n" + request.query() + "\n";
		digest.update(line.getBytes(StandardCharsets.UTF_8));
		return HexFormat.of().formatHex(digest.digest(request.body()));
	}

}
