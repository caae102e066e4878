package org.plantainspur.core.desired;

/**
 * The limits on the sizes and the durations of a caller's requests.
 *
 * @param maxHeaderBytes the largest size of a request line and its headers together, in
 * bytes
 * @param maxBodyBytes the largest size of a request's body, in bytes
 * @param headerTimeoutMs the longest time to receive a request's headers, in milliseconds
 * @param idleTimeoutMs the longest time that a connection may stay idle, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/**
	 * In force unless the desired state sets other limits: 16 KiB of headers, 64 MiB of
	 * body, 3 s to receive the headers and 15 s of idleness.
	 */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 1 << 26, 3_000, 15_000);

}
