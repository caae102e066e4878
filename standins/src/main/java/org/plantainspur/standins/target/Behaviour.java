package org.plantainspur.standins.target;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.finding.Findings;

/**
 * How an emulated target responds, as sent to {@code PUT /.control/behaviour}. Fields
 * that are left out have the defaults of a healthy target that responds at once. For
 * example <pre>
 * {"serviceTime": {"kind": "log-normal", "medianMillis": 5, "p99Millis": 50},
 *  "queueMillis": 200, "shedFraction": 0,
 *  "gray": [{"kind": "fail", "fraction": 0.5, "status": 500}],
 *  "flap": {"wellMillis": 3000, "sickMillis": 2000},
 *  "coldStart": {"millis": 5000, "factor": 4},
 *  "drain": {"announceMillis": 2000},
 *  "health": {"report": "up", "lagMillis": 0},
 *  "load": {"report": "real", "lagMillis": 0},
 *  "crash": {"onText": "poison", "downMillis": 3000, "exit": false}}
 * </pre>
 */
final class Behaviour {

	private static final long MAXIMUM_DURATION_MILLIS = 3_600_000;

	private ServiceTime serviceTime = new ServiceTime.Fixed(0);

	/**
	 * The longest time that a service request waits for a free slot before it is refused.
	 */
	private long queueMillis;

	/** The fraction of service requests that is refused at once, from 0 to 1. */
	private double shedFraction;

	private List<GrayFailure> gray = List.of();

	private @Nullable Flap flap;

	private @Nullable ColdStart coldStart;

	private @Nullable Drain drain;

	private Health health = new Health(Health.Report.UP, 0);

	private Load load = new Load(Load.Report.REAL, 0);

	private @Nullable Crash crash;

	ServiceTime serviceTime() {
		return this.serviceTime;
	}

	long queueMillis() {
		return this.queueMillis;
	}

	double shedFraction() {
		return this.shedFraction;
	}

	List<GrayFailure> gray() {
		return this.gray;
	}

	Health health() {
		return this.health;
	}

	Load load() {
		return this.load;
	}

	@Nullable Crash crash() {
		return this.crash;
	}

	/**
	 * Returns whether the gray failures apply now.
	 * @param millis the time since the behaviour was set, in milliseconds
	 * @return {@code true} if service requests are to fail or to be slow
	 */
	boolean isImpaired(long millis) {
		if (this.gray.isEmpty() || this.flap == null) {
			return !this.gray.isEmpty();
		}
		return millis % (this.flap.wellMillis + this.flap.sickMillis) >= this.flap.wellMillis;
	}

	/**
	 * Returns the factor by which a cold start lengthens the service time.
	 * @param millis the time since the target started, in milliseconds
	 * @return the factor, 1 after the cold start
	 */
	double coldStartFactor(long millis) {
		return (this.coldStart != null && millis < this.coldStart.millis) ? this.coldStart.factor : 1;
	}

	boolean isDraining() {
		return this.drain != null;
	}

	/**
	 * Returns whether new service requests are refused.
	 * @param millis the time since the behaviour was set, in milliseconds
	 * @return {@code true} if the target drains and the time of the announcement is over
	 */
	boolean isRefusing(long millis) {
		return this.drain != null && millis >= this.drain.announceMillis;
	}

	/**
	 * Validates the values.
	 * @return this object
	 * @throws Findings.InvalidInputException if values are out of bounds; names each of
	 * them
	 */
	Behaviour validate() {
		Findings findings = new Findings();
		this.serviceTime.validate(findings);
		for (int i = 0; i < this.gray.size(); i++) {
			this.gray.get(i).validate("gray[" + i + "]", findings);
		}
		if (!(this.shedFraction >= 0 && this.shedFraction <= 1)) {
			findings.add("shedFraction", String.valueOf(this.shedFraction), "is outside 0 to 1", "write such as 0.1");
		}
		validateMillis(findings, "queueMillis", this.queueMillis, 0);
		validateMillis(findings, "health.lagMillis", this.health.lagMillis, 0);
		validateMillis(findings, "load.lagMillis", this.load.lagMillis, 0);
		if (this.flap != null) {
			validateMillis(findings, "flap.wellMillis", this.flap.wellMillis, 1);
			validateMillis(findings, "flap.sickMillis", this.flap.sickMillis, 1);
		}
		if (this.coldStart != null) {
			validateMillis(findings, "coldStart.millis", this.coldStart.millis, 0);
			if (!(this.coldStart.factor >= 1)) {
				findings.add("coldStart.factor", String.valueOf(this.coldStart.factor), "is below 1",
						"write such as 4");
			}
		}
		if (this.drain != null) {
			validateMillis(findings, "drain.announceMillis", this.drain.announceMillis, 0);
		}
		if (this.crash != null) {
			validateMillis(findings, "crash.downMillis", this.crash.downMillis, 0);
			if (this.crash.onText.isEmpty()) {
				findings.add("crash.onText", "", "is empty and would match every request",
						"write a string that is not empty");
			}
		}
		findings.throwIfAny();
		return this;
	}

	private static void validateMillis(Findings findings, String place, long value, long minimum) {
		if (value < minimum || value > MAXIMUM_DURATION_MILLIS) {
			findings.add(place, String.valueOf(value), "is outside " + minimum + " to " + MAXIMUM_DURATION_MILLIS,
					"write a time in milliseconds");
		}
	}

	/**
	 * Alternating periods without and with the gray failures, starting without them.
	 *
	 * @param wellMillis the length of each period without them, in milliseconds
	 * @param sickMillis the length of each period with them, in milliseconds
	 */
	record Flap(long wellMillis, long sickMillis) {
	}

	/**
	 * Slow service after the start.
	 *
	 * @param millis how long it lasts, in milliseconds
	 * @param factor multiplies the service time
	 */
	record ColdStart(long millis, double factor) {
	}

	/**
	 * Draining before the target leaves: responses carry {@code X-Target-State: draining}
	 * from the start, and new service requests are refused later.
	 *
	 * @param announceMillis the time until new service requests are refused, in
	 * milliseconds
	 */
	record Drain(long announceMillis) {
	}

	/**
	 * The responses of the health endpoint.
	 *
	 * @param report which health it reports
	 * @param lagMillis the age of the state that it reports, in milliseconds
	 */
	record Health(Report report, long lagMillis) {

		/**
		 * The health that the endpoint reports.
		 */
		enum Report {

			/** Healthy, even while service requests fail. */
			@JsonProperty("up")
			UP,

			/** Unhealthy. */
			@JsonProperty("down")
			DOWN,

			/** Unhealthy while the gray failures apply, else healthy. */
			@JsonProperty("honest")
			HONEST

		}

	}

	/**
	 * The responses of the load endpoint.
	 *
	 * @param report which load it reports
	 * @param lagMillis the age of the load that it reports, in milliseconds
	 */
	record Load(Report report, long lagMillis) {

		/**
		 * The load that the endpoint reports.
		 */
		enum Report {

			/** The number of slots in use. */
			@JsonProperty("real")
			REAL,

			/** No slots in use. */
			@JsonProperty("idle")
			IDLE,

			/** All slots in use. */
			@JsonProperty("full")
			FULL

		}

	}

	/**
	 * A crash caused by one request.
	 *
	 * @param onText the request crashes the target if its path, body or identity contains
	 * this text
	 * @param downMillis how long the target then accepts no connections, in milliseconds
	 * @param exit whether the process ends instead, which also loses its records of runs
	 */
	record Crash(String onText, long downMillis, boolean exit) {
	}

}
