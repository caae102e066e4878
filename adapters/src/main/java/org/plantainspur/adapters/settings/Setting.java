package org.plantainspur.adapters.settings;

import java.lang.annotation.Documented;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Declares the setting that a field is read from. The flag takes precedence over the
 * environment variable, and the variable over the default value. For example <pre>
 * &#64;Setting(flag = "--caller-address", variable = "PLANTAINSPUR_CALLER_ADDRESS", defaultValue = "127.0.0.1:8080",
 *         help = "ip:port for callers")
 * private String callerAddress = "";
 * </pre>
 */
@Documented
@Target(ElementType.FIELD)
@Retention(RetentionPolicy.RUNTIME)
public @interface Setting {

	/**
	 * The value of {@link #defaultValue()} for a setting that has no default.
	 */
	String REQUIRED = "<required>";

	/**
	 * Returns the command-line flag.
	 * @return the flag with its leading dashes
	 */
	String flag();

	/**
	 * Returns the environment variable.
	 * @return the name of the variable
	 */
	String variable();

	/**
	 * Returns the default value.
	 * @return the value as text, or {@link #REQUIRED} if the setting must be given
	 */
	String defaultValue() default REQUIRED;

	/**
	 * Returns the description for the help text.
	 * @return what the setting does, with the unit of its value
	 */
	String help();

	/**
	 * Returns the smallest allowed value of a numeric field.
	 * @return the minimum, inclusive
	 */
	long minimum() default Long.MIN_VALUE;

	/**
	 * Returns the largest allowed value of a numeric field.
	 * @return the maximum, inclusive
	 */
	long maximum() default Long.MAX_VALUE;

	/**
	 * Returns the pattern that the whole value of a text field must match.
	 * @return a regular expression, empty if any text is allowed
	 */
	String pattern() default "";

	/**
	 * Returns an example, which error messages suggest.
	 * @return a valid value, empty to suggest the default value
	 */
	String example() default "";

	/**
	 * Returns whether the value is a secret.
	 * @return {@code true} if error messages must not show the value
	 */
	boolean secret() default false;

}
