package org.plantainspur.core.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.once.DispatchToken;

/**
 * One request on its way; confined to the thread that serves it.
 */
final class RequestContext {

	private final CallerRequest request;

	private final Route route;

	private final long deadlineMillis;

	private final boolean once;

	private final String requestId = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());

	private ClientAccount account = StandardRequestPipeline.OPEN_ACCOUNT;

	private int attempts;

	private boolean mayHaveRun;

	private @Nullable DispatchOutcome last;

	private @Nullable String fingerprint;

	RequestContext(CallerRequest request, Route route, long deadlineMillis) {
		this.request = request;
		this.route = route;
		this.deadlineMillis = deadlineMillis;
		String key = request.headers().first(Headers.IDEMPOTENCY_KEY);
		this.once = !route.idempotent() || (key != null && DispatchToken.startsKey(key));
	}

	CallerRequest request() {
		return this.request;
	}

	Route route() {
		return this.route;
	}

	/**
	 * Returns whether the request may run at most once. A request with a dispatch token
	 * says so itself, whatever the route says: hosts may hold different versions of the
	 * route for a moment.
	 * @return whether it may run at most once
	 */
	boolean once() {
		return this.once;
	}

	long deadlineMillis() {
		return this.deadlineMillis;
	}

	String requestId() {
		return this.requestId;
	}

	ClientAccount account() {
		return this.account;
	}

	/**
	 * Notes the account that the request runs for; it may get newer limits but may not
	 * become another account.
	 * @param account the account of the request's key
	 * @return whether the request may run for it
	 */
	boolean runFor(ClientAccount account) {
		if (this.account != StandardRequestPipeline.OPEN_ACCOUNT && !this.account.id().equals(account.id())) {
			return false;
		}
		this.account = account;
		return true;
	}

	int attempts() {
		return this.attempts;
	}

	String fingerprint() {
		if (this.fingerprint == null) {
			MessageDigest digest = KeyHash.digest();
			digest.update(this.account.id().getBytes(StandardCharsets.UTF_8));
			String idempotencyKey = this.request.headers().first(Headers.IDEMPOTENCY_KEY);
			String name = (idempotencyKey != null) ? "\nkey " + idempotencyKey
					: "\n" + this.request.method() + " " + this.request.path() + "?" + this.request.query() + "\n";
			digest.update(name.getBytes(StandardCharsets.UTF_8));
			if (idempotencyKey == null) {
				digest.update(this.request.body());
			}
			this.fingerprint = HexFormat.of().formatHex(digest.digest(), 0, 16);
		}
		return this.fingerprint;
	}

	Problem noCapacity(long retryAfterMillis) {
		return Problem
			.notRun(Problem.Code.NO_CAPACITY,
					"service " + this.route.service() + " has no capacity within the deadline")
			.retryAfter(retryAfterMillis);
	}

	void note(DispatchOutcome outcome) {
		this.attempts++;
		this.last = outcome;
		this.mayHaveRun = this.mayHaveRun || outcome instanceof DispatchOutcome.Unknown
				|| outcome instanceof DispatchOutcome.Answered;
	}

	CallerAnswer refuse(Problem problem) {
		return (this.mayHaveRun
				? new Problem(problem.code(), Problem.Run.UNKNOWN, problem.detail(), problem.retryAfterMillis())
				: problem)
			.refuse();
	}

	CallerAnswer lastAnswer(Problem noCapacity) {
		if (this.last instanceof DispatchOutcome.Answered answered) {
			return new CallerAnswer.Answered(answered.status(), answered.headers(), answered.body());
		}
		if (this.last instanceof DispatchOutcome.Unknown unknown) {
			Problem.Code code = (unknown.cause() == DispatchOutcome.Unknown.Cause.TIMEOUT) ? Problem.Code.TARGET_TIMEOUT
					: Problem.Code.TARGET_FAILED;
			return Problem.unknown(code, unknown.reason()).refuse();
		}
		return refuse(noCapacity);
	}

}
