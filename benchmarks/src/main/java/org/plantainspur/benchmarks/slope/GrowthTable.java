package org.plantainspur.benchmarks.slope;

import java.util.Locale;

/**
 * Prints a table of a measured quantity by size, and the average slope between the first
 * and the last row.
 */
final class GrowthTable {

	private final String unit;

	private double firstSize = -1;

	private double firstValue;

	private double lastSize;

	private double lastValue;

	GrowthTable(String title, String sizeName, String unit) {
		this.unit = unit;
		System.out.printf(Locale.ROOT, "%n%s%n| %s | %s |%n| ---: | ---: |%n", title, sizeName, unit);
	}

	GrowthTable printRow(double size, double value) {
		if (this.firstSize < 0) {
			this.firstSize = size;
			this.firstValue = value;
		}
		this.lastSize = size;
		this.lastValue = value;
		System.out.printf(Locale.ROOT, "| %.0f | %.2f |%n", size, value);
		return this;
	}

	void printSlope() {
		System.out.printf(Locale.ROOT, "slope: %.4f %s per unit of the first column%n",
				(this.lastValue - this.firstValue) / (this.lastSize - this.firstSize), this.unit);
	}

}
