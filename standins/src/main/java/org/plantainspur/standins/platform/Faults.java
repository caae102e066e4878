package org.plantainspur.standins.platform;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

import org.plantainspur.core.finding.Findings;
import org.plantainspur.standins.http.Request;

/**
 * The faults that the stand-in causes, as sent to {@code PUT /.control/faults}. Fields
 * that are left out have no fault. For example <pre>
 * {"unavailable": "silent", "delayMillis": 0, "dropRepliesToWrites": 0, "hostListLagMillis": 0,
 *  "dropped": [{"localAddress": "127.0.0.1:7001", "callerAddress": "", "pathPrefix": "/table", "how": "closed"}]}
 * </pre>
 */
final class Faults {

	/** No fault. */
	static final Faults NONE = new Faults();

	private static final long MAXIMUM_MILLIS = 3_600_000;

	private Unavailable unavailable = Unavailable.NO;

	private long delayMillis;

	private int dropRepliesToWrites;

	private long hostListLagMillis;

	private List<Dropped> dropped = List.of();

	Unavailable unavailable() {
		return this.unavailable;
	}

	long delayMillis() {
		return this.delayMillis;
	}

	int dropRepliesToWrites() {
		return this.dropRepliesToWrites;
	}

	long hostListLagMillis() {
		return this.hostListLagMillis;
	}

	/**
	 * Returns the kind of outage that a request meets.
	 * @param request the request
	 * @return the outage of all requests, or that of this caller and path
	 */
	Unavailable outageFor(Request request) {
		if (this.unavailable != Unavailable.NO) {
			return this.unavailable;
		}
		return this.dropped.stream()
			.filter((entry) -> entry.matches(request))
			.map((entry) -> entry.how)
			.findFirst()
			.orElse(Unavailable.NO);
	}

	/**
	 * Checks the values.
	 * @return these faults
	 * @throws Findings.InvalidInputException naming every value out of bounds
	 */
	Faults check() {
		Findings findings = new Findings();
		millis(findings, "delayMillis", this.delayMillis);
		millis(findings, "hostListLagMillis", this.hostListLagMillis);
		if (this.dropRepliesToWrites < 0) {
			findings.add("dropRepliesToWrites", String.valueOf(this.dropRepliesToWrites), "is negative",
					"write the number of replies to lose");
		}
		for (int i = 0; i < this.dropped.size(); i++) {
			Dropped entry = this.dropped.get(i);
			if (entry.isForAll()) {
				findings.add("dropped[" + i + "]", "{}", "matches every request",
						"set localAddress, callerAddress or pathPrefix, or use unavailable");
			}
		}
		findings.throwIfAny();
		return this;
	}

	private static void millis(Findings findings, String place, long value) {
		if (value < 0 || value > MAXIMUM_MILLIS) {
			findings.add(place, String.valueOf(value), "is outside 0 to " + MAXIMUM_MILLIS,
					"write a time in milliseconds");
		}
	}

	/**
	 * How an outage looks to a client.
	 */
	enum Unavailable {

		/** There is no outage. */
		@JsonProperty("no")
		NO,

		/** Connections are reset without an answer. */
		@JsonProperty("closed")
		CLOSED,

		/** Requests are taken and get no answer until the outage ends. */
		@JsonProperty("silent")
		SILENT

	}

	/**
	 * Requests that are dropped; an empty field matches all. A client that was given a
	 * listening address of its own is told apart by {@code localAddress}.
	 */
	static final class Dropped {

		private String callerAddress = "";

		private String localAddress = "";

		private String pathPrefix = "";

		private Unavailable how = Unavailable.CLOSED;

		private boolean isForAll() {
			return this.localAddress.isEmpty() && this.callerAddress.isEmpty() && this.pathPrefix.isEmpty();
		}

		private boolean matches(Request request) {
			return (this.callerAddress.isEmpty() || this.callerAddress.equals(request.callerAddress()))
					&& (this.localAddress.isEmpty() || this.localAddress.equals(request.localAddress()))
					&& request.path().startsWith(this.pathPrefix);
		}

	}

}
