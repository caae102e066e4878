package org.plantainspur.standins.target;

import java.util.random.RandomGenerator;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.finding.Findings;

/**
 * A way to fail real work while checks are answered.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({ @JsonSubTypes.Type(value = GrayMode.Fail.class, name = "fail"),
		@JsonSubTypes.Type(value = GrayMode.Stall.class, name = "stall"),
		@JsonSubTypes.Type(value = GrayMode.Slow.class, name = "slow"),
		@JsonSubTypes.Type(value = GrayMode.Truncate.class, name = "truncate"),
		@JsonSubTypes.Type(value = GrayMode.Reset.class, name = "reset") })
interface GrayMode {

	/**
	 * Changes the course of a request.
	 * @param work the course so far
	 * @param random the source of randomness
	 * @return the course, changed or not
	 */
	Work apply(Work work, RandomGenerator random);

	/**
	 * Checks the parameters.
	 * @param place where the mode stands
	 * @param findings takes what is wrong
	 */
	void check(String place, Findings findings);

	private static void checkFraction(String place, double value, Findings findings) {
		if (!(value >= 0 && value <= 1)) {
			findings.add(place + ".fraction", String.valueOf(value), "is outside 0 to 1", "write a number such as 0.5");
		}
	}

	/**
	 * Answers with an error.
	 *
	 * @param fraction the fraction of requests
	 * @param status the status of the error
	 * @param account fails only requests of this account, or of all if {@code null}
	 */
	record Fail(double fraction, int status, @Nullable String account) implements GrayMode {

		private static final int LOWEST = 400;

		private static final int HIGHEST = 599;

		@Override
		public Work apply(Work work, RandomGenerator random) {
			boolean concerned = this.account == null || this.account.equals(work.account());
			return (concerned && random.nextDouble() < this.fraction) ? work.withStatus(this.status) : work;
		}

		@Override
		public void check(String place, Findings findings) {
			checkFraction(place, this.fraction, findings);
			if (this.status < LOWEST || this.status > HIGHEST) {
				findings.add(place + ".status", String.valueOf(this.status), "is no error status",
						"write one such as 500");
			}
		}

	}

	/**
	 * Adds time before the answer.
	 *
	 * @param fraction the fraction of requests
	 * @param millis the time that is added
	 */
	record Stall(double fraction, double millis) implements GrayMode {

		@Override
		public Work apply(Work work, RandomGenerator random) {
			return (random.nextDouble() < this.fraction) ? work.withMillis(work.millis() + this.millis) : work;
		}

		@Override
		public void check(String place, Findings findings) {
			checkFraction(place, this.fraction, findings);
			if (!(this.millis >= 0 && this.millis <= ServiceTime.MAXIMUM_MILLIS)) {
				findings.add(place + ".millis", String.valueOf(this.millis),
						"is outside 0 to " + ServiceTime.MAXIMUM_MILLIS, "write a time in milliseconds");
			}
		}

	}

	/**
	 * Runs every request slower.
	 *
	 * @param factor multiplies the service time
	 */
	record Slow(double factor) implements GrayMode {

		@Override
		public Work apply(Work work, RandomGenerator random) {
			return work.withMillis(Math.min(ServiceTime.MAXIMUM_MILLIS, work.millis() * this.factor));
		}

		@Override
		public void check(String place, Findings findings) {
			if (!(this.factor >= 1)) {
				findings.add(place + ".factor", String.valueOf(this.factor), "is below 1", "write one such as 10");
			}
		}

	}

	/**
	 * Sends half of the answer and closes the connection.
	 *
	 * @param fraction the fraction of requests
	 */
	record Truncate(double fraction) implements GrayMode {

		@Override
		public Work apply(Work work, RandomGenerator random) {
			return (random.nextDouble() < this.fraction) ? work.withEnding(Work.Ending.TRUNCATED) : work;
		}

		@Override
		public void check(String place, Findings findings) {
			checkFraction(place, this.fraction, findings);
		}

	}

	/**
	 * Resets the connection instead of an answer.
	 *
	 * @param fraction the fraction of requests
	 */
	record Reset(double fraction) implements GrayMode {

		@Override
		public Work apply(Work work, RandomGenerator random) {
			return (random.nextDouble() < this.fraction) ? work.withEnding(Work.Ending.RESET) : work;
		}

		@Override
		public void check(String place, Findings findings) {
			checkFraction(place, this.fraction, findings);
		}

	}

}
