package org.plantainspur.standins.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * An HTTP request as a stand-in received it.
 *
 * @param method the HTTP method in upper case, such as {@code GET}
 * @param target the path with its query, as sent
 * @param headers the header fields by lower-case name; of repeated fields only the first
 * is kept
 * @param body the bytes of the body, empty if there is none
 * @param callerAddress the IP address of the client
 * @param localAddress {@code ip:port} of the listening address that the client connected
 * to
 */
public record Request(String method, String target, Map<String, String> headers, byte[] body, String callerAddress,
		String localAddress) {

	/**
	 * Returns the path without the query.
	 * @return the path, not decoded
	 */
	public String path() {
		int mark = this.target.indexOf('?');
		return (mark >= 0) ? this.target.substring(0, mark) : this.target;
	}

	/**
	 * Returns the parameters of the query.
	 * @return the URL-decoded values by parameter name
	 */
	public Map<String, String> query() {
		Map<String, String> values = new LinkedHashMap<>();
		int mark = this.target.indexOf('?');
		if (mark < 0) {
			return values;
		}
		for (String pair : this.target.substring(mark + 1).split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				values.put(pair.substring(0, equals),
						URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		return values;
	}

	/**
	 * Returns the value of a header field.
	 * @param name the field name, in upper or lower case
	 * @return the value of the first field of that name, or {@code null} if there is none
	 */
	public @Nullable String header(String name) {
		return this.headers.get(name.toLowerCase(Locale.ROOT));
	}

}
