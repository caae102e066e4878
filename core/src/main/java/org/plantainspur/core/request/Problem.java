package org.plantainspur.core.request;

/**
 * The reason for a refusal, sent as a problem document (RFC 9457). For example
 * {@code Problem.notRun(Problem.Code.RATE_LIMITED, "account harbor-clinic is over its rate").retryAfter(250)}.
 *
 * @param code the kind of problem, for programs
 * @param run whether the request may have run
 * @param detail what happened, as text for a person
 * @param retryAfterMillis after how many milliseconds a retry may succeed, 0 if waiting
 * does not help
 */
public record Problem(Code code, Run run, String detail, long retryAfterMillis) {

	/**
	 * Returns a problem for a request that has certainly not run.
	 * @param code the kind of problem
	 * @param detail what happened, as text for a person
	 * @return a problem without a time to wait
	 */
	public static Problem notRun(Code code, String detail) {
		return new Problem(code, Run.NOT_RUN, detail, 0);
	}

	/**
	 * Returns a problem for a request that may have run.
	 * @param code the kind of problem
	 * @param detail what happened, as text for a person
	 * @return a problem without a time to wait
	 */
	public static Problem unknown(Code code, String detail) {
		return new Problem(code, Run.UNKNOWN, detail, 0);
	}

	/**
	 * Returns this problem with the time after which a retry may succeed.
	 * @param millis the time to wait, in milliseconds
	 * @return a copy that differs in {@link #retryAfterMillis()} only
	 */
	public Problem retryAfter(long millis) {
		return new Problem(this.code, this.run, this.detail, millis);
	}

	/**
	 * Returns this problem for a request that may have run.
	 * @return a copy with {@link Run#UNKNOWN}
	 */
	public Problem withUnknownOutcome() {
		return new Problem(this.code, Run.UNKNOWN, this.detail, this.retryAfterMillis);
	}

	/**
	 * Returns this problem as the answer to the caller.
	 * @return a refusal with this problem
	 */
	public CallerAnswer.Refused toRefusal() {
		return new CallerAnswer.Refused(this);
	}

	/**
	 * Whether the request may have run.
	 */
	public enum Run {

		/** The request has certainly not run. */
		NOT_RUN("not-run"),

		/** The request may have run. */
		UNKNOWN("unknown");

		private final String label;

		Run(String label) {
			this.label = label;
		}

		/**
		 * Returns the value of the field {@code run} in a problem document.
		 * @return {@code not-run} or {@code unknown}
		 */
		public String label() {
			return this.label;
		}

	}

	/**
	 * The kinds of problems with their HTTP status. Callers match the codes, so they must
	 * not change.
	 */
	public enum Code {

		/** No route matches the method and the path. */
		NO_ROUTE(404),

		/** The request is malformed. */
		BAD_REQUEST(400),

		/** The API key is missing, unknown or withdrawn. */
		KEY_NOT_VALID(401),

		/** The idempotency key is missing or holds no valid dispatch token. */
		IDEMPOTENCY_KEY_NOT_VALID(400),

		/** The idempotency key was already sent with a different request. */
		IDEMPOTENCY_KEY_REUSED(422),

		/**
		 * The request with this idempotency key was answered, but the answer is no longer
		 * stored.
		 */
		ANSWER_NOT_KEPT(409),

		/** The dispatch token is too old, or the process that issued it has ended. */
		DISPATCH_TOKEN_EXPIRED(409),

		/** The client account exceeds its request rate. */
		RATE_LIMITED(429),

		/** The request body exceeds the size limit. */
		TOO_LARGE(413),

		/** The header fields exceed the size limit. */
		HEADERS_TOO_LARGE(431),

		/** The HTTP method is not supported. */
		METHOD_NOT_ALLOWED(405),

		/** The caller sent its request too slowly. */
		REQUEST_TIMEOUT(408),

		/**
		 * The client account has too many connections or running requests at this host.
		 */
		TOO_MANY_CONCURRENT(429),

		/** This host failed while it served the request. */
		INTERNAL_ERROR(500),

		/** This host cannot show that its configuration is current. */
		CONFIGURATION_NOT_CURRENT(503),

		/** No target has capacity for the request before its deadline. */
		NO_CAPACITY(503),

		/** Targets that ran this request before have crashed. */
		REQUEST_QUARANTINED(422),

		/** The target could not be reached or sent no complete answer. */
		TARGET_FAILED(502),

		/** The target did not answer before the deadline. */
		TARGET_TIMEOUT(504),

		/** The process that issued the dispatch token cannot be reached. */
		OWNER_NOT_REACHABLE(502);

		private final int status;

		Code(int status) {
			this.status = status;
		}

		/**
		 * Returns the HTTP status of an answer with this code.
		 * @return the status code
		 */
		public int status() {
			return this.status;
		}

		/**
		 * Returns the value of the field {@code code} in a problem document.
		 * @return the constant's name in lower case with dashes, such as
		 * {@code rate-limited}
		 */
		public String label() {
			return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
		}

	}

}
