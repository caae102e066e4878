package org.plantainspur.gateway.http;

import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Copies the headers that concern more than one connection (RFC 9110, section 7.6.1).
 */
final class HopHeaders {

	private static final Set<String> ONE_CONNECTION = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private HopHeaders() {
	}

	static void copy(HttpHeaders from, HttpHeaders to) {
		String named = String.join(",", from.getAll(HttpHeaderNames.CONNECTION)).toLowerCase(Locale.ROOT);
		for (Map.Entry<String, String> header : from) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!ONE_CONNECTION.contains(name) && !isNamed(named, name)) {
				to.add(header.getKey(), header.getValue());
			}
		}
	}

	private static boolean isNamed(String connection, String name) {
		if (connection.isEmpty()) {
			return false;
		}
		for (String option : connection.split(",")) {
			if (option.trim().equals(name)) {
				return true;
			}
		}
		return false;
	}

}
