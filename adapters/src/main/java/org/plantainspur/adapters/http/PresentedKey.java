package org.plantainspur.adapters.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import jakarta.ws.rs.core.MultivaluedMap;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.KeyHash;

/**
 * The key that a caller sent in {@code X-Api-Key}. Only its hash leaves this package, so
 * that neither targets nor other hosts see the key.
 */
final class PresentedKey {

	private final String key;

	private PresentedKey(@Nullable String key) {
		this.key = (key != null) ? key : "";
	}

	static PresentedKey of(MultivaluedMap<String, String> received) {
		return new PresentedKey(received.getFirst(Headers.API_KEY));
	}

	/**
	 * Returns the hash of the key.
	 * @return the hash, empty if there is no key
	 */
	String hash() {
		return this.key.isEmpty() ? "" : KeyHash.of(this.key);
	}

	/**
	 * Leaves out the key's own field, and each that repeats the key under another name.
	 * @param received the fields as received
	 * @return the fields without the key
	 */
	Headers without(MultivaluedMap<String, String> received) {
		Headers fields = Headers.empty();
		for (Map.Entry<String, List<String>> entry : received.entrySet()) {
			if (!entry.getKey().equalsIgnoreCase(Headers.API_KEY)) {
				for (String value : entry.getValue()) {
					fields = isIn(value) ? fields : fields.with(entry.getKey(), value);
				}
			}
		}
		return fields;
	}

	/**
	 * Says whether a path or query would carry the key to a target.
	 * @param raw the raw path or query
	 * @return whether the key is in it, as it is or percent-encoded
	 */
	boolean isInEncoded(@Nullable String raw) {
		return raw != null && (isIn(raw) || (raw.indexOf('%') >= 0 && isIn(decoded(raw))));
	}

	/**
	 * Says whether a body would carry the key to a target.
	 * @param body the body
	 * @return whether the key is in it
	 */
	boolean isIn(byte[] body) {
		// One byte is one character in this character set.
		return isIn(new String(body, StandardCharsets.ISO_8859_1));
	}

	private boolean isIn(String text) {
		return !this.key.isEmpty() && text.contains(this.key);
	}

	private static String decoded(String raw) {
		try {
			return URLDecoder.decode(raw, StandardCharsets.UTF_8);
		}
		catch (IllegalArgumentException ex) {
			return raw;
		}
	}

}
