package org.plantainspur.standins.http;

/**
 * Thrown for a malformed request; its message is sent with status 400.
 */
public final class BadRequestException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message the bad value, its place and what is allowed
	 */
	public BadRequestException(String message) {
		super(message);
	}

}
