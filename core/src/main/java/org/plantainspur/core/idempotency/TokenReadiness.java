package org.plantainspur.core.idempotency;

/**
 * Decides whether callers may get dispatch tokens of this process.
 */
@FunctionalInterface
public interface TokenReadiness {

	/**
	 * Returns whether requests with a token of this process can be served wherever their
	 * callers send them.
	 * @return {@code false} if the caller should get its token from another host
	 */
	boolean mayIssue();

}
