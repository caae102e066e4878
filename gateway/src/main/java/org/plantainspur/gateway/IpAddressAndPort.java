package org.plantainspur.gateway;

import java.net.InetSocketAddress;

import io.netty.util.NetUtil;
import org.jspecify.annotations.Nullable;

/**
 * Parses addresses that are written as {@code ip:port}. Host names are not accepted, as
 * looking them up would block.
 */
public final class IpAddressAndPort {

	private static final int MAX_PORT = 65_535;

	private static final int MAX_PORT_DIGITS = 5;

	private IpAddressAndPort() {
	}

	/**
	 * Parses an address.
	 * @param text an IPv4 address and a port such as {@code 10.1.0.30:8782}
	 * @return the address, or {@code null} if the text is not an address of this form or
	 * its port is not from 0 to 65535
	 */
	public static @Nullable InetSocketAddress parse(String text) {
		int port = port(text);
		return (port >= 0) ? new InetSocketAddress(text.substring(0, text.lastIndexOf(':')), port) : null;
	}

	/**
	 * Returns whether a text is an address that {@link #parse} accepts. Cheaper than
	 * parsing it, for heartbeats, of which each host receives dozens a second.
	 * @param text any text
	 * @return whether it is an IPv4 address and a port
	 */
	public static boolean isValid(String text) {
		return port(text) >= 0;
	}

	// Returns the port, or -1 if the text is not an address.
	private static int port(String text) {
		int colon = text.lastIndexOf(':');
		int digits = text.length() - colon - 1;
		if (colon < 0 || digits < 1 || digits > MAX_PORT_DIGITS
				|| !NetUtil.isValidIpV4Address(text.substring(0, colon))) {
			return -1;
		}
		int port = 0;
		for (int i = colon + 1; i < text.length(); i++) {
			char digit = text.charAt(i);
			if (digit < '0' || digit > '9') {
				return -1;
			}
			port = port * 10 + (digit - '0');
		}
		return (port <= MAX_PORT) ? port : -1;
	}

}
