package org.plantainspur.standins.http;

/**
 * An address to listen on or to connect to.
 *
 * @param host the IP address
 * @param port the port
 */
public record Listen(String host, int port) {

	/** What an address looks like; stand-ins stay on the loopback network. */
	public static final String PATTERN = "127\\.[0-9.]+:[0-9]{1,5}";

	/** What a list of addresses looks like. */
	public static final String LIST_PATTERN = PATTERN + "(," + PATTERN + ")*";

	/**
	 * Reads an address.
	 * @param text {@code ip:port}
	 * @return the address
	 */
	public static Listen parse(String text) {
		int colon = text.lastIndexOf(':');
		return new Listen(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

}
