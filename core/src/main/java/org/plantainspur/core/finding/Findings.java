package org.plantainspur.core.finding;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Collects the findings on one input so that all are reported together.
 */
public final class Findings {

	private final List<Finding> findings = new ArrayList<>();

	/**
	 * Adds a finding.
	 * @param place where the value was given, such as a flag or a row and column
	 * @param value the value as it was given
	 * @param problem what is wrong with the value
	 * @param suggestion what to write instead
	 * @return this collection, for chained calls
	 */
	public Findings add(String place, String value, String problem, String suggestion) {
		this.findings.add(new Finding(place, value, problem, suggestion));
		return this;
	}

	/**
	 * Returns whether there is no finding.
	 * @return {@code true} if the input is valid
	 */
	public boolean isEmpty() {
		return this.findings.isEmpty();
	}

	/**
	 * Returns the findings in the order in which they were added.
	 * @return an unmodifiable list
	 */
	public List<Finding> list() {
		return Collections.unmodifiableList(this.findings);
	}

	/**
	 * Throws an exception if there is a finding.
	 * @throws InvalidInputException if the input is invalid; its message lists every
	 * finding
	 */
	public void throwIfAny() {
		if (!this.findings.isEmpty()) {
			throw new InvalidInputException(this.findings);
		}
	}

	@Override
	public String toString() {
		return this.findings.stream().map(Finding::toString).collect(Collectors.joining(System.lineSeparator()));
	}

	/**
	 * Thrown for an input with at least one finding.
	 */
	public static final class InvalidInputException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		private final transient List<Finding> findings;

		InvalidInputException(List<Finding> findings) {
			super(findings.stream().map(Finding::toString).collect(Collectors.joining(System.lineSeparator())));
			this.findings = List.copyOf(findings);
		}

		/**
		 * Returns every finding.
		 * @return an unmodifiable list, never empty
		 */
		public List<Finding> findings() {
			return this.findings;
		}

	}

}
