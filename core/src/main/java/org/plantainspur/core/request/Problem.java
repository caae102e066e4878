package org.plantainspur.core.request;

/**
 * A refusal, sent as a problem document (RFC 9457). For example
 * {@code Problem.notRun(Problem.Code.RATE_LIMITED, "account harbor-clinic is over its rate").retryAfter(250)}.
 *
 * @param code the stable code
 * @param run whether the request may have run
 * @param detail what happened, for a person
 * @param retryAfterMillis after how many milliseconds a retry may succeed, 0 if waiting
 * does not help
 */
public record Problem(Code code, Run run, String detail, long retryAfterMillis) {

	/**
	 * Returns a problem for a request that has certainly not run.
	 * @param code the code
	 * @param detail what happened
	 * @return the problem
	 */
	public static Problem notRun(Code code, String detail) {
		return new Problem(code, Run.NOT_RUN, detail, 0);
	}

	/**
	 * Returns a problem for a request that may have run.
	 * @param code the code
	 * @param detail what happened
	 * @return the problem
	 */
	public static Problem unknown(Code code, String detail) {
		return new Problem(code, Run.UNKNOWN, detail, 0);
	}

	/**
	 * Returns this problem with a time to wait.
	 * @param millis the time in milliseconds
	 * @return a copy
	 */
	public Problem retryAfter(long millis) {
		return new Problem(this.code, this.run, this.detail, millis);
	}

	/**
	 * Returns this problem for a request that may have run.
	 * @return a copy
	 */
	public Problem mayHaveRun() {
		return new Problem(this.code, Run.UNKNOWN, this.detail, this.retryAfterMillis);
	}

	/**
	 * Returns this problem as a refusal.
	 * @return the refusal
	 */
	public CallerAnswer.Refused refuse() {
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
		 * Returns the value of the field {@code run}.
		 * @return the value
		 */
		public String label() {
			return this.label;
		}

	}

	/**
	 * The stable codes with their HTTP status.
	 */
	public enum Code {

		/** No route matches. */
		NO_ROUTE(404),

		/** The request is malformed. */
		BAD_REQUEST(400),

		/** The key is missing, unknown or withdrawn. */
		KEY_NOT_VALID(401),

		/** The idempotency key is missing or holds no dispatch token. */
		IDEMPOTENCY_KEY_NOT_VALID(400),

		/** The idempotency key was sent with another request before. */
		IDEMPOTENCY_KEY_REUSED(422),

		/** The request was answered, but the answer is no longer kept. */
		ANSWER_NOT_KEPT(409),

		/** The dispatch token is too old, or its process is gone. */
		DISPATCH_TOKEN_EXPIRED(409),

		/** The account is over its rate. */
		RATE_LIMITED(429),

		/** The body is too large. */
		TOO_LARGE(413),

		/** The header fields are too large. */
		HEADERS_TOO_LARGE(431),

		/** The method is not known. */
		METHOD_NOT_ALLOWED(405),

		/** The caller sent its request too slowly. */
		REQUEST_TIMEOUT(408),

		/** The account has too many connections or running requests at this host. */
		TOO_MANY_CONCURRENT(429),

		/** An internal error. */
		INTERNAL_ERROR(500),

		/** This host cannot show that its configuration is current. */
		CONFIGURATION_NOT_CURRENT(503),

		/** No capacity within the request's deadline. */
		NO_CAPACITY(503),

		/** The request has crashed targets before. */
		REQUEST_QUARANTINED(422),

		/** The target could not be reached or gave no whole answer. */
		TARGET_FAILED(502),

		/** The target gave no answer in time. */
		TARGET_TIMEOUT(504),

		/** The process that may dispatch the request cannot be reached. */
		OWNER_NOT_REACHABLE(502);

		private final int status;

		Code(int status) {
			this.status = status;
		}

		/**
		 * Returns the HTTP status.
		 * @return the status
		 */
		public int status() {
			return this.status;
		}

		/**
		 * Returns the value of the field {@code code}, such as {@code rate-limited}.
		 * @return the value
		 */
		public String label() {
			return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
		}

	}

}
