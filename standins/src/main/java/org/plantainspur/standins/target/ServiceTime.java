package org.plantainspur.standins.target;

import java.util.random.RandomGenerator;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

import org.plantainspur.core.finding.Findings;

/**
 * How long one request runs.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({ @JsonSubTypes.Type(value = ServiceTime.Fixed.class, name = "fixed"),
		@JsonSubTypes.Type(value = ServiceTime.Uniform.class, name = "uniform"),
		@JsonSubTypes.Type(value = ServiceTime.Exponential.class, name = "exponential"),
		@JsonSubTypes.Type(value = ServiceTime.LogNormal.class, name = "log-normal") })
interface ServiceTime {

	/** The longest time, which also bounds the tails of the distributions. */
	double MAXIMUM_MILLIS = 600_000;

	/**
	 * Draws a time.
	 * @param random the source of randomness
	 * @return the time in milliseconds
	 */
	double draw(RandomGenerator random);

	/**
	 * Checks the parameters.
	 * @param findings takes what is wrong
	 */
	void check(Findings findings);

	private static void bounds(Findings findings, String name, double value) {
		if (!(value >= 0 && value <= MAXIMUM_MILLIS)) {
			findings.add("serviceTime." + name, String.valueOf(value), "is outside 0 to " + MAXIMUM_MILLIS,
					"write a time in milliseconds");
		}
	}

	/**
	 * The same time for each request.
	 *
	 * @param millis the time
	 */
	record Fixed(double millis) implements ServiceTime {

		@Override
		public double draw(RandomGenerator random) {
			return this.millis;
		}

		@Override
		public void check(Findings findings) {
			bounds(findings, "millis", this.millis);
		}

	}

	/**
	 * Times spread evenly.
	 *
	 * @param minimumMillis the shortest time
	 * @param maximumMillis the longest time
	 */
	record Uniform(double minimumMillis, double maximumMillis) implements ServiceTime {

		@Override
		public double draw(RandomGenerator random) {
			return this.minimumMillis + random.nextDouble() * (this.maximumMillis - this.minimumMillis);
		}

		@Override
		public void check(Findings findings) {
			bounds(findings, "minimumMillis", this.minimumMillis);
			bounds(findings, "maximumMillis", this.maximumMillis);
			if (this.minimumMillis > this.maximumMillis) {
				findings.add("serviceTime.minimumMillis", String.valueOf(this.minimumMillis),
						"is above maximumMillis " + this.maximumMillis, "exchange the two");
			}
		}

	}

	/**
	 * Exponential times.
	 *
	 * @param meanMillis the mean
	 */
	record Exponential(double meanMillis) implements ServiceTime {

		@Override
		public double draw(RandomGenerator random) {
			return Math.min(MAXIMUM_MILLIS, -Math.log(1 - random.nextDouble()) * this.meanMillis);
		}

		@Override
		public void check(Findings findings) {
			bounds(findings, "meanMillis", this.meanMillis);
		}

	}

	/**
	 * Log-normal times.
	 *
	 * @param medianMillis the median
	 * @param p99Millis the time that 99 in 100 requests stay below
	 */
	record LogNormal(double medianMillis, double p99Millis) implements ServiceTime {

		/** The 0.99 quantile of the standard normal distribution. */
		private static final double NORMAL_P99 = 2.3263;

		@Override
		public double draw(RandomGenerator random) {
			double sigma = Math.log(this.p99Millis / this.medianMillis) / NORMAL_P99;
			return Math.min(MAXIMUM_MILLIS, this.medianMillis * Math.exp(sigma * random.nextGaussian()));
		}

		@Override
		public void check(Findings findings) {
			bounds(findings, "medianMillis", this.medianMillis);
			bounds(findings, "p99Millis", this.p99Millis);
			if (!(this.medianMillis > 0 && this.p99Millis >= this.medianMillis)) {
				findings.add("serviceTime.medianMillis", String.valueOf(this.medianMillis),
						"is not above 0 and at most p99Millis " + this.p99Millis, "write such as 5 and 50");
			}
		}

	}

}
