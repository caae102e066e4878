package org.plantainspur.adapters.settings;

import java.lang.annotation.Documented;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Declares a setting beside the field that it sets. The flag wins over the variable, and
 * the variable over the default. For example <pre>
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
	 * The value of {@link #defaultValue()} for a setting that must be given.
	 */
	String REQUIRED = "<required>";

	/**
	 * Returns the flag.
	 * @return the flag with its dashes
	 */
	String flag();

	/**
	 * Returns the environment variable.
	 * @return the variable's name
	 */
	String variable();

	/**
	 * Returns the default.
	 * @return the value as text, or {@link #REQUIRED}
	 */
	String defaultValue() default REQUIRED;

	/**
	 * Returns the description with the unit.
	 * @return the description
	 */
	String help();

	/**
	 * Returns the smallest number allowed.
	 * @return the bound, for numeric fields
	 */
	long minimum() default Long.MIN_VALUE;

	/**
	 * Returns the largest number allowed.
	 * @return the bound, for numeric fields
	 */
	long maximum() default Long.MAX_VALUE;

	/**
	 * Returns the pattern that a text must match as a whole.
	 * @return a regular expression, empty for any text
	 */
	String pattern() default "";

	/**
	 * Returns an example, used in the suggestion of a finding.
	 * @return the example
	 */
	String example() default "";

	/**
	 * Returns whether the value is left out of findings.
	 * @return {@code true} for a secret
	 */
	boolean secret() default false;

}
