package org.plantainspur.core.proxy;

import java.util.function.DoubleSupplier;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.desired.AccountRule;
import org.plantainspur.core.desired.DesiredState;
import org.plantainspur.core.desired.RouteRule;
import org.plantainspur.core.fleet.AccountLimiter;

/**
 * Decides whether a request may run and for whom: route, key, then the account's limit.
 */
public final class Admission {

	private final AccountLimiter limiter;

	private final DoubleSupplier random;

	public Admission(AccountLimiter limiter, DoubleSupplier random) {
		this.limiter = limiter;
		this.random = random;
	}

	/**
	 * Decides on a request.
	 * @param state the desired state, loaded once for the request
	 * @param host the Host header
	 * @param path the path with its query
	 * @param key the key, or {@code null} if the request carries none
	 * @return the decision
	 */
	public Decision decide(DesiredState state, String host, String path, @Nullable String key) {
		if (!state.known()) {
			return new Refused(Refusal.NO_DESIRED_STATE, null);
		}
		RouteRule route = state.route(host, path);
		if (route == null) {
			return new Refused(Refusal.NO_ROUTE, null);
		}
		AccountRule account = (key != null) ? state.accountOfKey(key) : null;
		if (account == null && state.keyed() && !route.open()) {
			return new Refused(Refusal.KEY_NOT_VALID, null);
		}
		if (account != null && !this.limiter.tryAcquire(account)) {
			return new Refused(Refusal.OVER_LIMIT, account);
		}
		return new Admitted(route, account, route.service(this.random.getAsDouble()));
	}

	/**
	 * What was decided.
	 */
	public sealed interface Decision {

	}

	/**
	 * The request may run.
	 *
	 * @param route its route
	 * @param account its account, {@code null} on an open route without a key
	 * @param service the service that must run it
	 */
	public record Admitted(RouteRule route, @Nullable AccountRule account, String service) implements Decision {
	}

	/**
	 * The request must not run.
	 *
	 * @param refusal why
	 * @param account the account of its key, if that is known
	 */
	public record Refused(Refusal refusal, @Nullable AccountRule account) implements Decision {
	}

}
