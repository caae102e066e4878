package org.plantainspur.core.target;

/**
 * How an attempt to connect failed. The names are read by operators, in the log and as
 * labels of a metric.
 */
public enum ConnectFailure {

	/** The address rejected the connection, or the network reported an error. */
	REFUSED("the connection was refused"),

	/** Nothing answered in time. */
	SILENT("no answer to the connect");

	private final String reason;

	ConnectFailure(String reason) {
		this.reason = reason;
	}

	/**
	 * Returns the failure as text.
	 * @return a text for the log
	 */
	public String reason() {
		return this.reason;
	}

}
