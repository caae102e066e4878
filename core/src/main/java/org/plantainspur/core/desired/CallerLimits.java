package org.plantainspur.core.desired;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes the largest size of a request's line and headers together
 * @param maxBodyBytes the largest size of a request's body
 * @param headerTimeoutMs the longest time for a request's headers, in milliseconds
 * @param idleTimeoutMs the longest time that a connection may stay idle, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/** In force until a desired state is known. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 1 << 26, 3_000, 15_000);

}
