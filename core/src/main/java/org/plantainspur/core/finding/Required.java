package org.plantainspur.core.finding;

import org.jspecify.annotations.Nullable;

/**
 * Checks that the required values of a builder are set. For example
 * {@code this.clock = Required.of(builder.clock, "clock")}.
 */
public final class Required {

	private Required() {
	}

	/**
	 * Returns a required value of a builder.
	 * @param <T> the type of the value
	 * @param value the value, or {@code null} if it is not set
	 * @param name the builder's method that sets it
	 * @return the value, never {@code null}
	 * @throws IllegalStateException if it is not set; the message names the method
	 */
	public static <T> T of(@Nullable T value, String name) {
		if (value == null) {
			throw new IllegalStateException("the builder's '" + name + "' is not set; call ." + name + "(...)");
		}
		return value;
	}

}
