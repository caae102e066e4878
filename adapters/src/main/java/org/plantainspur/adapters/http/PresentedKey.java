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
 * The API key that a caller sent in {@code X-Api-Key}. Only the hash of the key leaves
 * this package, so that neither targets nor other hosts receive the key.
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
	 * @return the hash as {@link KeyHash#of} gives it, empty if the caller sent no key
	 */
	String hash() {
		return this.key.isEmpty() ? "" : KeyHash.of(this.key);
	}

	/**
	 * Removes the {@code X-Api-Key} header, and every other header whose value contains
	 * the key.
	 * @param received the headers as received
	 * @return the headers without the key
	 */
	Headers without(MultivaluedMap<String, String> received) {
		Headers remaining = Headers.empty();
		for (Map.Entry<String, List<String>> entry : received.entrySet()) {
			if (!entry.getKey().equalsIgnoreCase(Headers.API_KEY)) {
				for (String value : entry.getValue()) {
					remaining = isIn(value) ? remaining : remaining.with(entry.getKey(), value);
				}
			}
		}
		return remaining;
	}

	/**
	 * Returns whether a path or query contains the key.
	 * @param raw the raw path or query
	 * @return whether the key is in it, either literally or percent-encoded
	 */
	boolean isInUriPart(@Nullable String raw) {
		return raw != null && (isIn(raw) || (raw.indexOf('%') >= 0 && isIn(percentDecoded(raw))));
	}

	/**
	 * Returns whether a body contains the key.
	 * @param body the request body
	 * @return whether the bytes of the key are in it
	 */
	boolean isIn(byte[] body) {
		// ISO 8859-1 maps each byte to one character, so any body can be searched.
		return isIn(new String(body, StandardCharsets.ISO_8859_1));
	}

	private boolean isIn(String text) {
		return !this.key.isEmpty() && text.contains(this.key);
	}

	private static String percentDecoded(String raw) {
		try {
			return URLDecoder.decode(raw, StandardCharsets.UTF_8);
		}
		catch (IllegalArgumentException ex) {
			return raw;
		}
	}

}
