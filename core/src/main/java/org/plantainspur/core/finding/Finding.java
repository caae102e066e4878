package org.plantainspur.core.finding;

/**
 * One error in an input, with its place and a suggestion. For example
 * {@code new Finding("--caller-port", "70000", "is outside 0 to 65535", "choose a free port such as 8080")}.
 *
 * @param place where the value was given: a flag, a variable, a row and column, a header
 * @param value the value as it was given
 * @param problem what is wrong with the value
 * @param suggestion what to write instead
 */
public record Finding(String place, String value, String problem, String suggestion) {

	@Override
	public String toString() {
		return this.place + ": '" + this.value + "' " + this.problem + "; " + this.suggestion;
	}

}
