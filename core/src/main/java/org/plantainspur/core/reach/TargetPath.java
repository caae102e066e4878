package org.plantainspur.core.reach;

/**
 * The path of an attempt from this host to its target.
 */
public sealed interface TargetPath {

	/**
	 * This host connects to the target itself.
	 */
	record Direct() implements TargetPath {
	}

	/**
	 * Another host connects to the target and passes on the request and the response.
	 *
	 * @param host the other host
	 */
	record Relayed(RelayHost host) implements TargetPath {
	}

}
