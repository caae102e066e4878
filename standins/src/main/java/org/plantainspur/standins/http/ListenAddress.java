package org.plantainspur.standins.http;

/**
 * The IP address and port on which a stand-in listens.
 *
 * @param host the IP address
 * @param port the TCP port, 0 for any free one
 */
public record ListenAddress(String host, int port) {

	/**
	 * The pattern of an address. It allows only the loopback network, so that stand-ins
	 * are not reachable from other machines.
	 */
	public static final String PATTERN = "127\\.[0-9.]+:[0-9]{1,5}";

	/** The pattern of a comma-separated list of addresses. */
	public static final String LIST_PATTERN = PATTERN + "(," + PATTERN + ")*";

	/**
	 * Parses an address that matches {@link #PATTERN}.
	 * @param text {@code ip:port}
	 * @return the IP address and the port
	 */
	public static ListenAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		return new ListenAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

}
