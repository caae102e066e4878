package org.plantainspur.standins.platform;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

import org.plantainspur.core.finding.Findings;
import org.plantainspur.standins.http.Request;

/**
 * The faults that the platform stand-in simulates, as sent to
 * {@code PUT /.control/faults}. A field that is left out means no such fault. For example
 * <pre>
 * {"unavailable": "silent", "delayMillis": 0, "dropRepliesToWrites": 0, "hostListLagMillis": 0,
 *  "dropped": [{"localAddress": "127.0.0.1:7001", "callerAddress": "", "pathPrefix": "/table", "how": "closed"}]}
 * </pre>
 */
final class Faults {

	/** No fault. */
	static final Faults NONE = new Faults();

	private static final long MAXIMUM_DURATION_MILLIS = 3_600_000;

	/** The outage that applies to every request. */
	private Unavailable unavailable = Unavailable.NO;

	/** The time for which each request is held before it is served. */
	private long delayMillis;

	/**
	 * The number of successful writes whose replies are dropped, counted from when the
	 * faults are set: each is written, then its connection is reset.
	 */
	private int dropRepliesToWrites;

	/** The time after which a new host list becomes visible to readers. */
	private long hostListLagMillis;

	/** Outages that apply only to some requests. */
	private List<DropRule> dropped = List.of();

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
	 * Returns the kind of outage that applies to a request.
	 * @param request the request to match against the drop rules
	 * @return the general outage if there is one, else that of the first rule that
	 * matches
	 */
	Unavailable outageFor(Request request) {
		if (this.unavailable != Unavailable.NO) {
			return this.unavailable;
		}
		return this.dropped.stream()
			.filter((rule) -> rule.matches(request))
			.map((rule) -> rule.how)
			.findFirst()
			.orElse(Unavailable.NO);
	}

	/**
	 * Validates the values.
	 * @return this object
	 * @throws Findings.InvalidInputException if values are out of bounds; names each of
	 * them
	 */
	Faults validate() {
		Findings findings = new Findings();
		validateMillis(findings, "delayMillis", this.delayMillis);
		validateMillis(findings, "hostListLagMillis", this.hostListLagMillis);
		if (this.dropRepliesToWrites < 0) {
			findings.add("dropRepliesToWrites", String.valueOf(this.dropRepliesToWrites), "is negative",
					"write 0 or the number of replies to drop");
		}
		for (int i = 0; i < this.dropped.size(); i++) {
			DropRule rule = this.dropped.get(i);
			if (rule.matchesAll()) {
				findings.add("dropped[" + i + "]", "{}", "matches every request",
						"set localAddress, callerAddress or pathPrefix, or use unavailable");
			}
		}
		findings.throwIfAny();
		return this;
	}

	private static void validateMillis(Findings findings, String place, long value) {
		if (value < 0 || value > MAXIMUM_DURATION_MILLIS) {
			findings.add(place, String.valueOf(value), "is outside 0 to " + MAXIMUM_DURATION_MILLIS,
					"write a time in milliseconds");
		}
	}

	/**
	 * How an outage appears to a client.
	 */
	enum Unavailable {

		/** There is no outage. */
		@JsonProperty("no")
		NO,

		/** Connections are reset without a response. */
		@JsonProperty("closed")
		CLOSED,

		/**
		 * Requests are read and get no response; their connections are reset when the
		 * faults change.
		 */
		@JsonProperty("silent")
		SILENT

	}

	/**
	 * Selects requests to drop, and how the outage appears to their clients; an empty
	 * field matches every request. A client that uses a listening address of its own can
	 * be selected by {@code localAddress}.
	 */
	static final class DropRule {

		private String callerAddress = "";

		private String localAddress = "";

		private String pathPrefix = "";

		private Unavailable how = Unavailable.CLOSED;

		private boolean matchesAll() {
			return this.localAddress.isEmpty() && this.callerAddress.isEmpty() && this.pathPrefix.isEmpty();
		}

		private boolean matches(Request request) {
			return (this.callerAddress.isEmpty() || this.callerAddress.equals(request.callerAddress()))
					&& (this.localAddress.isEmpty() || this.localAddress.equals(request.localAddress()))
					&& request.path().startsWith(this.pathPrefix);
		}

	}

}
