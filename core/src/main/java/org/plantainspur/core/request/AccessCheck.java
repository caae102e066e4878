package org.plantainspur.core.request;

import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.currency.CurrencyRule;

/**
 * Checks the key and the currency of the configuration. Called on arrival and again
 * before each dispatch, since a key may be withdrawn, or a route closed, while its
 * request waits.
 */
final class AccessCheck {

	private static final long STALE_RETRY_MILLIS = 1000;

	private final ConfigurationView view;

	private final CurrencyRule currency;

	private final Predicate<CallerRequest> open;

	/**
	 * Creates a check.
	 * @param view the configuration in force
	 * @param currency tells whether it is current
	 * @param open tells whether a request's route is open to all in the configuration in
	 * force
	 */
	AccessCheck(ConfigurationView view, CurrencyRule currency, Predicate<CallerRequest> open) {
		this.open = open;
		this.view = view;
		this.currency = currency;
	}

	/**
	 * Checks a request and notes the account that it runs for.
	 * @param context the request
	 * @return the reason for a refusal, or {@code null} if the request may run
	 */
	@Nullable Problem check(RequestContext context) {
		if (context.route().open()) {
			return this.open.test(context.request()) ? null : Problem.notRun(Problem.Code.KEY_NOT_VALID,
					"the route is no longer open to all; send the request again with a key");
		}
		if (this.currency.check() instanceof CurrencyRule.Currency.Stale stale) {
			return Problem.notRun(Problem.Code.CONFIGURATION_NOT_CURRENT, stale.reason())
				.retryAfter(STALE_RETRY_MILLIS);
		}
		ClientAccount account = this.view.current().accountOfKey(context.request().keyHash());
		if (account == null) {
			return Problem.notRun(Problem.Code.KEY_NOT_VALID,
					"the key in " + Headers.API_KEY + " is missing, unknown or withdrawn");
		}
		return context.runFor(account) ? null
				: Problem.notRun(Problem.Code.KEY_NOT_VALID, "the key now belongs to another client account");
	}

}
