package org.plantainspur.core.proxy;

import java.util.function.DoubleSupplier;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.desired.AccountRule;
import org.plantainspur.core.desired.DesiredState;
import org.plantainspur.core.desired.RouteRule;
import org.plantainspur.core.fleet.AccountLimiter;

/**
 * Decides whether a request is admitted. Checks the route, then the key, then the
 * account's limit.
 */
public final class AdmissionControl {

	private final AccountLimiter limiter;

	private final DoubleSupplier random;

	public AdmissionControl(AccountLimiter limiter, DoubleSupplier random) {
		this.limiter = limiter;
		this.random = random;
	}

	/**
	 * Decides whether to admit a request.
	 * @param state the desired state, loaded once for the request
	 * @param host the value of the Host header
	 * @param path the request's path with its query
	 * @param key the account's key as sent by the caller, or {@code null} if the request
	 * carries none
	 * @return the admission with route, account and service, or the reason of the refusal
	 */
	public Decision decide(DesiredState state, String host, String path, @Nullable String key) {
		if (!state.isLoaded()) {
			return new Refused(Refusal.NO_DESIRED_STATE, null);
		}
		RouteRule route = state.route(host, path);
		if (route == null) {
			return new Refused(Refusal.NO_ROUTE, null);
		}
		AccountRule account = (key != null) ? state.accountOfKey(key) : null;
		if (account == null && state.requiresKeys() && !route.open()) {
			return new Refused(Refusal.KEY_NOT_VALID, null);
		}
		if (account != null && !this.limiter.tryAcquire(account)) {
			return new Refused(Refusal.OVER_LIMIT, account);
		}
		return new Admitted(route, account, route.selectService(this.random.getAsDouble()));
	}

	/**
	 * The decision on one request.
	 */
	public sealed interface Decision {

	}

	/**
	 * The request is admitted.
	 *
	 * @param route the matching route
	 * @param account the account of its key, {@code null} for a request without an
	 * account
	 * @param service the name of the service that must run it
	 */
	public record Admitted(RouteRule route, @Nullable AccountRule account, String service) implements Decision {
	}

	/**
	 * The request is refused and must not run.
	 *
	 * @param refusal the reason, with the response to the caller
	 * @param account the account of its key, {@code null} if the account is unknown
	 */
	public record Refused(Refusal refusal, @Nullable AccountRule account) implements Decision {
	}

}
