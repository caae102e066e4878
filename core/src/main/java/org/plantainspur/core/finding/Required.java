package org.plantainspur.core.finding;

import org.jspecify.annotations.Nullable;

/**
 * Checks what a builder needs. For example
 * {@code this.clock = Required.of(builder.clock, "clock")}.
 */
public final class Required {

	private Required() {
	}

	/**
	 * Returns a value that a builder must have been given.
	 * @param <T> the type of the value
	 * @param value the value
	 * @param name the builder's method that sets it
	 * @return the value
	 * @throws IllegalStateException if it is not set; the message names the method
	 */
	public static <T> T of(@Nullable T value, String name) {
		if (value == null) {
			throw new IllegalStateException("the builder's '" + name + "' is not set; call ." + name + "(...)");
		}
		return value;
	}

}
