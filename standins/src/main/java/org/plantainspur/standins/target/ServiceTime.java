package org.plantainspur.standins.target;

import java.util.random.RandomGenerator;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

import org.plantainspur.core.finding.Findings;

/**
 * The distribution of the time that a service request takes.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({ @JsonSubTypes.Type(value = ServiceTime.Fixed.class, name = "fixed"),
		@JsonSubTypes.Type(value = ServiceTime.Uniform.class, name = "uniform"),
		@JsonSubTypes.Type(value = ServiceTime.Exponential.class, name = "exponential"),
		@JsonSubTypes.Type(value = ServiceTime.LogNormal.class, name = "log-normal") })
interface ServiceTime {

	/**
	 * The maximum of each parameter, in milliseconds. Longer times drawn from a
	 * distribution are capped at it.
	 */
	double MAXIMUM_MILLIS = 600_000;

	/**
	 * Draws a time from the distribution.
	 * @param random the random generator
	 * @return the time in milliseconds
	 */
	double sample(RandomGenerator random);

	/**
	 * Validates the parameters.
	 * @param findings receives a finding for each invalid value
	 */
	void validate(Findings findings);

	private static void validateMillis(Findings findings, String name, double value) {
		if (!(value >= 0 && value <= MAXIMUM_MILLIS)) {
			findings.add("serviceTime." + name, String.valueOf(value), "is outside 0 to " + MAXIMUM_MILLIS,
					"write a time in milliseconds");
		}
	}

	/**
	 * The same time for each request.
	 *
	 * @param millis the time, in milliseconds
	 */
	record Fixed(double millis) implements ServiceTime {

		@Override
		public double sample(RandomGenerator random) {
			return this.millis;
		}

		@Override
		public void validate(Findings findings) {
			validateMillis(findings, "millis", this.millis);
		}

	}

	/**
	 * A uniform distribution.
	 *
	 * @param minimumMillis the shortest time, in milliseconds
	 * @param maximumMillis the longest time, in milliseconds
	 */
	record Uniform(double minimumMillis, double maximumMillis) implements ServiceTime {

		@Override
		public double sample(RandomGenerator random) {
			return this.minimumMillis + random.nextDouble() * (this.maximumMillis - this.minimumMillis);
		}

		@Override
		public void validate(Findings findings) {
			validateMillis(findings, "minimumMillis", this.minimumMillis);
			validateMillis(findings, "maximumMillis", this.maximumMillis);
			if (this.minimumMillis > this.maximumMillis) {
				findings.add("serviceTime.minimumMillis", String.valueOf(this.minimumMillis),
						"is above maximumMillis " + this.maximumMillis, "swap the two values");
			}
		}

	}

	/**
	 * An exponential distribution.
	 *
	 * @param meanMillis the mean time, in milliseconds
	 */
	record Exponential(double meanMillis) implements ServiceTime {

		@Override
		public double sample(RandomGenerator random) {
			return Math.min(MAXIMUM_MILLIS, -Math.log(1 - random.nextDouble()) * this.meanMillis);
		}

		@Override
		public void validate(Findings findings) {
			validateMillis(findings, "meanMillis", this.meanMillis);
		}

	}

	/**
	 * A log-normal distribution.
	 *
	 * @param medianMillis the median time, in milliseconds
	 * @param p99Millis the 99th percentile, in milliseconds
	 */
	record LogNormal(double medianMillis, double p99Millis) implements ServiceTime {

		/** The 0.99 quantile of the standard normal distribution. */
		private static final double NORMAL_P99 = 2.3263;

		@Override
		public double sample(RandomGenerator random) {
			double sigma = Math.log(this.p99Millis / this.medianMillis) / NORMAL_P99;
			return Math.min(MAXIMUM_MILLIS, this.medianMillis * Math.exp(sigma * random.nextGaussian()));
		}

		@Override
		public void validate(Findings findings) {
			validateMillis(findings, "medianMillis", this.medianMillis);
			validateMillis(findings, "p99Millis", this.p99Millis);
			if (!(this.medianMillis > 0 && this.p99Millis >= this.medianMillis)) {
				findings.add("serviceTime.medianMillis", String.valueOf(this.medianMillis),
						"is not above 0 and at most p99Millis " + this.p99Millis, "write such as 5 and 50");
			}
		}

	}

}
