package org.plantainspur.gateway.http;

import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Separates the headers that are for one connection only from those that a proxy passes
 * on (RFC 9110, section 7.6.1).
 */
final class HopByHopHeaders {

	/**
	 * Headers that are not passed on. Content-Length and Expect are end-to-end headers,
	 * but messages are buffered whole: the length is set again, and the body has already
	 * been received.
	 */
	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private HopByHopHeaders() {
	}

	/**
	 * Copies all headers but the hop-by-hop ones and those that the Connection header
	 * names.
	 * @param from the headers of the received message
	 * @param to the headers of the message that is passed on
	 */
	static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
		String connectionOptions = String.join(",", from.getAll(HttpHeaderNames.CONNECTION)).toLowerCase(Locale.ROOT);
		for (Map.Entry<String, String> header : from) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(name) && !isConnectionOption(connectionOptions, name)) {
				to.add(header.getKey(), header.getValue());
			}
		}
	}

	private static boolean isConnectionOption(String connectionOptions, String name) {
		if (connectionOptions.isEmpty()) {
			return false;
		}
		for (String option : connectionOptions.split(",")) {
			if (option.trim().equals(name)) {
				return true;
			}
		}
		return false;
	}

}
