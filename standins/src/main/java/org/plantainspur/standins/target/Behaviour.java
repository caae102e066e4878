package org.plantainspur.standins.target;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.finding.Findings;

/**
 * What a target does, as sent to {@code PUT /.control/behaviour}. Fields that are left
 * out have the defaults of a healthy target that answers at once. For example <pre>
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

	private static final long MAXIMUM_MILLIS = 3_600_000;

	private ServiceTime serviceTime = new ServiceTime.Fixed(0);

	private long queueMillis;

	private double shedFraction;

	private List<GrayMode> gray = List.of();

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

	List<GrayMode> gray() {
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
	 * Returns whether the gray modes apply.
	 * @param millis the time since the behaviour was set
	 * @return whether real work is impaired
	 */
	boolean isSick(long millis) {
		if (this.gray.isEmpty() || this.flap == null) {
			return !this.gray.isEmpty();
		}
		return millis % (this.flap.wellMillis + this.flap.sickMillis) >= this.flap.wellMillis;
	}

	/**
	 * Returns the factor of the cold start.
	 * @param millis the time since the target started
	 * @return the factor of the service time
	 */
	double coldFactor(long millis) {
		return (this.coldStart != null && millis < this.coldStart.millis) ? this.coldStart.factor : 1;
	}

	boolean isDraining() {
		return this.drain != null;
	}

	/**
	 * Returns whether new work is refused.
	 * @param millis the time since the behaviour was set
	 * @return whether the drain is past its announcement
	 */
	boolean isRefusing(long millis) {
		return this.drain != null && millis >= this.drain.announceMillis;
	}

	/**
	 * Checks the values.
	 * @return this behaviour
	 * @throws Findings.InvalidInputException naming every value out of bounds
	 */
	Behaviour check() {
		Findings findings = new Findings();
		this.serviceTime.check(findings);
		for (int i = 0; i < this.gray.size(); i++) {
			this.gray.get(i).check("gray[" + i + "]", findings);
		}
		if (!(this.shedFraction >= 0 && this.shedFraction <= 1)) {
			findings.add("shedFraction", String.valueOf(this.shedFraction), "is outside 0 to 1", "write such as 0.1");
		}
		millis(findings, "queueMillis", this.queueMillis, 0);
		millis(findings, "health.lagMillis", this.health.lagMillis, 0);
		millis(findings, "load.lagMillis", this.load.lagMillis, 0);
		if (this.flap != null) {
			millis(findings, "flap.wellMillis", this.flap.wellMillis, 1);
			millis(findings, "flap.sickMillis", this.flap.sickMillis, 1);
		}
		if (this.coldStart != null) {
			millis(findings, "coldStart.millis", this.coldStart.millis, 0);
			if (!(this.coldStart.factor >= 1)) {
				findings.add("coldStart.factor", String.valueOf(this.coldStart.factor), "is below 1",
						"write such as 4");
			}
		}
		if (this.drain != null) {
			millis(findings, "drain.announceMillis", this.drain.announceMillis, 0);
		}
		if (this.crash != null) {
			millis(findings, "crash.downMillis", this.crash.downMillis, 0);
			if (this.crash.onText.isEmpty()) {
				findings.add("crash.onText", "", "is empty and would match every request", "write a text");
			}
		}
		findings.throwIfAny();
		return this;
	}

	private static void millis(Findings findings, String place, long value, long minimum) {
		if (value < minimum || value > MAXIMUM_MILLIS) {
			findings.add(place, String.valueOf(value), "is outside " + minimum + " to " + MAXIMUM_MILLIS,
					"write a time in milliseconds");
		}
	}

	/**
	 * Periods in which the gray modes apply or not, starting with a period without them.
	 *
	 * @param wellMillis the length of a period without them
	 * @param sickMillis the length of a period with them
	 */
	record Flap(long wellMillis, long sickMillis) {
	}

	/**
	 * Slow service after the start.
	 *
	 * @param millis how long it lasts
	 * @param factor multiplies the service time
	 */
	record ColdStart(long millis, double factor) {
	}

	/**
	 * Leaving: answers carry the drain signal at once, and new work is refused later.
	 *
	 * @param announceMillis the time until new work is refused
	 */
	record Drain(long announceMillis) {
	}

	/**
	 * The health endpoint.
	 *
	 * @param report what it says
	 * @param lagMillis how old the state is that it reports
	 */
	record Health(Report report, long lagMillis) {

		/**
		 * What the endpoint says.
		 */
		enum Report {

			/** That the target is well, even while it fails real work. */
			@JsonProperty("up")
			UP,

			/** That the target is not well. */
			@JsonProperty("down")
			DOWN,

			/** Whether the gray modes apply. */
			@JsonProperty("honest")
			HONEST

		}

	}

	/**
	 * The load endpoint.
	 *
	 * @param report what it says
	 * @param lagMillis how old the load is that it reports
	 */
	record Load(Report report, long lagMillis) {

		/**
		 * What the endpoint says.
		 */
		enum Report {

			/** The real load. */
			@JsonProperty("real")
			REAL,

			/** No load. */
			@JsonProperty("idle")
			IDLE,

			/** That all slots are taken. */
			@JsonProperty("full")
			FULL

		}

	}

	/**
	 * A crash caused by one request.
	 *
	 * @param onText the request crashes the target if its path, body or identity has this
	 * text
	 * @param downMillis how long the target then accepts no connection
	 * @param exit whether the process ends instead, with its record of runs
	 */
	record Crash(String onText, long downMillis, boolean exit) {
	}

}
