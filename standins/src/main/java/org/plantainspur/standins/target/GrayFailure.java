package org.plantainspur.standins.target;

import java.util.random.RandomGenerator;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.finding.Findings;

/**
 * A gray failure: service requests fail or are slow, while the health endpoint may still
 * report a healthy target.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({ @JsonSubTypes.Type(value = GrayFailure.Fail.class, name = "fail"),
		@JsonSubTypes.Type(value = GrayFailure.Stall.class, name = "stall"),
		@JsonSubTypes.Type(value = GrayFailure.Slow.class, name = "slow"),
		@JsonSubTypes.Type(value = GrayFailure.Truncate.class, name = "truncate"),
		@JsonSubTypes.Type(value = GrayFailure.Reset.class, name = "reset") })
interface GrayFailure {

	/**
	 * Applies the failure to the planned response of a request.
	 * @param planned the response as planned so far
	 * @param random the random generator that selects the requests to fail
	 * @return the planned response, unchanged if this request does not fail
	 */
	PlannedResponse apply(PlannedResponse planned, RandomGenerator random);

	/**
	 * Validates the parameters.
	 * @param place the JSON path of this failure, for the findings
	 * @param findings receives a finding for each invalid value
	 */
	void validate(String place, Findings findings);

	private static void validateFraction(String place, double value, Findings findings) {
		if (!(value >= 0 && value <= 1)) {
			findings.add(place + ".fraction", String.valueOf(value), "is outside 0 to 1", "write a number such as 0.5");
		}
	}

	/**
	 * Responds with an error status.
	 *
	 * @param fraction the fraction of requests that it applies to, from 0 to 1
	 * @param status the HTTP status code, from 400 to 599
	 * @param account the only client account whose requests fail, or {@code null} for all
	 */
	record Fail(double fraction, int status, @Nullable String account) implements GrayFailure {

		private static final int LOWEST_STATUS = 400;

		private static final int HIGHEST_STATUS = 599;

		@Override
		public PlannedResponse apply(PlannedResponse planned, RandomGenerator random) {
			boolean accountMatches = this.account == null || this.account.equals(planned.account());
			return (accountMatches && random.nextDouble() < this.fraction) ? planned.withStatus(this.status) : planned;
		}

		@Override
		public void validate(String place, Findings findings) {
			validateFraction(place, this.fraction, findings);
			if (this.status < LOWEST_STATUS || this.status > HIGHEST_STATUS) {
				findings.add(place + ".status", String.valueOf(this.status), "is not an error status (400 to 599)",
						"write one such as 500");
			}
		}

	}

	/**
	 * Adds time before the response.
	 *
	 * @param fraction the fraction of requests that it applies to, from 0 to 1
	 * @param millis the time that is added, in milliseconds
	 */
	record Stall(double fraction, double millis) implements GrayFailure {

		@Override
		public PlannedResponse apply(PlannedResponse planned, RandomGenerator random) {
			return (random.nextDouble() < this.fraction) ? planned.withMillis(planned.millis() + this.millis) : planned;
		}

		@Override
		public void validate(String place, Findings findings) {
			validateFraction(place, this.fraction, findings);
			if (!(this.millis >= 0 && this.millis <= ServiceTime.MAXIMUM_MILLIS)) {
				findings.add(place + ".millis", String.valueOf(this.millis),
						"is outside 0 to " + ServiceTime.MAXIMUM_MILLIS, "write a time in milliseconds");
			}
		}

	}

	/**
	 * Slows every request down.
	 *
	 * @param factor multiplies the service time, at least 1
	 */
	record Slow(double factor) implements GrayFailure {

		@Override
		public PlannedResponse apply(PlannedResponse planned, RandomGenerator random) {
			return planned.withMillis(Math.min(ServiceTime.MAXIMUM_MILLIS, planned.millis() * this.factor));
		}

		@Override
		public void validate(String place, Findings findings) {
			if (!(this.factor >= 1)) {
				findings.add(place + ".factor", String.valueOf(this.factor), "is below 1", "write one such as 10");
			}
		}

	}

	/**
	 * Sends half of the response body and closes the connection.
	 *
	 * @param fraction the fraction of requests that it applies to, from 0 to 1
	 */
	record Truncate(double fraction) implements GrayFailure {

		@Override
		public PlannedResponse apply(PlannedResponse planned, RandomGenerator random) {
			return (random.nextDouble() < this.fraction) ? planned.withEnding(PlannedResponse.Ending.TRUNCATED)
					: planned;
		}

		@Override
		public void validate(String place, Findings findings) {
			validateFraction(place, this.fraction, findings);
		}

	}

	/**
	 * Resets the connection instead of responding.
	 *
	 * @param fraction the fraction of requests that it applies to, from 0 to 1
	 */
	record Reset(double fraction) implements GrayFailure {

		@Override
		public PlannedResponse apply(PlannedResponse planned, RandomGenerator random) {
			return (random.nextDouble() < this.fraction) ? planned.withEnding(PlannedResponse.Ending.RESET) : planned;
		}

		@Override
		public void validate(String place, Findings findings) {
			validateFraction(place, this.fraction, findings);
		}

	}

}
