package org.plantainspur.gateway.log;

import java.util.Locale;

/**
 * Spells the constants of enumerations as log lines, metrics and messages between hosts
 * show them, for example {@code target-unreached}.
 */
public final class ExternalNames {

	private ExternalNames() {
	}

	/**
	 * Returns the name of a constant in lower case, with hyphens between its words.
	 * @param constant the constant
	 * @return the name
	 */
	public static String of(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
