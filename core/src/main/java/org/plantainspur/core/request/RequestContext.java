package org.plantainspur.core.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.idempotency.DispatchToken;

/**
 * The state of one request while it is served. Not thread-safe: only the thread that
 * serves the request uses it.
 */
final class RequestContext {

	private final CallerRequest request;

	private final Route route;

	private final long deadlineMillis;

	private final boolean atMostOnce;

	private final String requestId = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());

	private ClientAccount account = StandardRequestPipeline.OPEN_ACCOUNT;

	private int attempts;

	private boolean mayHaveRun;

	private @Nullable DispatchOutcome lastOutcome;

	private @Nullable String quarantineFingerprint;

	RequestContext(CallerRequest request, Route route, long deadlineMillis) {
		this.request = request;
		this.route = route;
		this.deadlineMillis = deadlineMillis;
		String key = request.headers().first(Headers.IDEMPOTENCY_KEY);
		this.atMostOnce = !route.idempotent() || (key != null && DispatchToken.isPresentIn(key));
	}

	CallerRequest request() {
		return this.request;
	}

	Route route() {
		return this.route;
	}

	/**
	 * Returns whether the request may run at most once. This also holds for a request
	 * with a dispatch token on an idempotent route, because hosts may briefly hold
	 * different versions of the route.
	 * @return {@code false} if the request may run more than once
	 */
	boolean atMostOnce() {
		return this.atMostOnce;
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
	 * Sets the account that the request runs for. A later call may bring newer limits of
	 * the same account, but not another account.
	 * @param account the account that the request's API key belongs to now
	 * @return {@code false} if the request already runs for another account
	 */
	boolean assignAccount(ClientAccount account) {
		if (this.account != StandardRequestPipeline.OPEN_ACCOUNT && !this.account.id().equals(account.id())) {
			return false;
		}
		this.account = account;
		return true;
	}

	int attempts() {
		return this.attempts;
	}

	/**
	 * Identifies the request and its repeats in the quarantine and in recorded outcomes:
	 * by account and idempotency key, or without such a key by account, method, path,
	 * query and body.
	 * @return the first 16 bytes of the SHA-256 of these, in lower-case hexadecimal
	 */
	String quarantineFingerprint() {
		if (this.quarantineFingerprint == null) {
			MessageDigest digest = KeyHash.sha256();
			digest.update(this.account.id().getBytes(StandardCharsets.UTF_8));
			String idempotencyKey = this.request.headers().first(Headers.IDEMPOTENCY_KEY);
			String requestText = (idempotencyKey != null) ? "\nkey " + idempotencyKey
					: "\n" + this.request.method() + " " + this.request.path() + "?" + this.request.query() + "\n";
			digest.update(requestText.getBytes(StandardCharsets.UTF_8));
			if (idempotencyKey == null) {
				digest.update(this.request.body());
			}
			this.quarantineFingerprint = HexFormat.of().formatHex(digest.digest(), 0, 16);
		}
		return this.quarantineFingerprint;
	}

	Problem noCapacityProblem(long retryAfterMillis) {
		return Problem
			.notRun(Problem.Code.NO_CAPACITY,
					"service " + this.route.service() + " has no capacity within the deadline")
			.retryAfter(retryAfterMillis);
	}

	void recordOutcome(DispatchOutcome outcome) {
		this.attempts++;
		this.lastOutcome = outcome;
		this.mayHaveRun = this.mayHaveRun || outcome instanceof DispatchOutcome.Unknown
				|| outcome instanceof DispatchOutcome.Answered;
	}

	/**
	 * Refuses the request. If an earlier attempt may have run it, the refusal says so.
	 * @param problem the reason, as it holds if no attempt has run the request
	 * @return the refusal
	 */
	CallerAnswer refuse(Problem problem) {
		return (this.mayHaveRun
				? new Problem(problem.code(), Problem.Run.UNKNOWN, problem.detail(), problem.retryAfterMillis())
				: problem)
			.toRefusal();
	}

	/**
	 * Returns the answer to the caller when no further attempt is made.
	 * @param noCapacity the reason to give if the last attempt has certainly not run the
	 * request, or if there was none
	 * @return the answer of the last attempt, or a refusal
	 */
	CallerAnswer finalAnswer(Problem noCapacity) {
		if (this.lastOutcome instanceof DispatchOutcome.Answered answered) {
			return new CallerAnswer.Answered(answered.status(), answered.headers(), answered.body());
		}
		if (this.lastOutcome instanceof DispatchOutcome.Unknown unknown) {
			Problem.Code code = (unknown.cause() == DispatchOutcome.Unknown.Cause.TIMEOUT) ? Problem.Code.TARGET_TIMEOUT
					: Problem.Code.TARGET_FAILED;
			return Problem.unknown(code, unknown.reason()).toRefusal();
		}
		return refuse(noCapacity);
	}

}
