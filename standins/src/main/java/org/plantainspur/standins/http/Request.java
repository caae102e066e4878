package org.plantainspur.standins.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * A request.
 *
 * @param method the method
 * @param target the path with its query, as sent
 * @param headers the header fields by lower-case name; of repeated ones, the first
 * @param body the body
 * @param callerAddress the IP address of the client
 * @param localAddress {@code ip:port} that the client connected to
 */
public record Request(String method, String target, Map<String, String> headers, byte[] body, String callerAddress,
		String localAddress) {

	/**
	 * Returns the path without the query.
	 * @return the path as sent
	 */
	public String path() {
		int mark = this.target.indexOf('?');
		return (mark >= 0) ? this.target.substring(0, mark) : this.target;
	}

	/**
	 * Returns the parameters of the query.
	 * @return the decoded values by name
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
	 * Returns a header field.
	 * @param name the name in any case
	 * @return the first value, or {@code null} if there is none
	 */
	public @Nullable String header(String name) {
		return this.headers.get(name.toLowerCase(Locale.ROOT));
	}

}
