package org.plantainspur.core.request;

import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.currency.CurrencyRule;

/**
 * Checks that a request may run: its API key is valid, and this host's configuration is
 * current. Called on arrival and again before each dispatch, since a key may be
 * withdrawn, or an open route may begin to require a key, while its request is queued.
 */
final class AccessCheck {

	/** After how long a caller may retry when the configuration is not current. */
	private static final long STALE_RETRY_AFTER_MILLIS = 1000;

	private final ConfigurationView view;

	private final CurrencyRule currency;

	private final Predicate<CallerRequest> routeIsOpen;

	/**
	 * Creates a check.
	 * @param view holds the newest configuration that this host has applied
	 * @param currency tells whether that configuration is current
	 * @param routeIsOpen tells whether, under that configuration, the route that matches
	 * a request needs no API key
	 */
	AccessCheck(ConfigurationView view, CurrencyRule currency, Predicate<CallerRequest> routeIsOpen) {
		this.routeIsOpen = routeIsOpen;
		this.view = view;
		this.currency = currency;
	}

	/**
	 * Checks a request and stores the account of its API key in the context. A request
	 * whose route was open when it arrived needs no key and no current configuration; it
	 * is only refused if it no longer matches an open route.
	 * @param context the state of the request
	 * @return the reason to refuse the request, or {@code null} if it may run
	 */
	@Nullable Problem check(RequestContext context) {
		if (context.route().open()) {
			return this.routeIsOpen.test(context.request()) ? null : Problem.notRun(Problem.Code.KEY_NOT_VALID, "route "
					+ context.route().id() + " no longer accepts requests without an API key; send " + Headers.API_KEY);
		}
		if (this.currency.check() instanceof CurrencyRule.Currency.Stale stale) {
			return Problem.notRun(Problem.Code.CONFIGURATION_NOT_CURRENT, stale.reason())
				.retryAfter(STALE_RETRY_AFTER_MILLIS);
		}
		ClientAccount account = this.view.current().accountOfKey(context.request().keyHash());
		if (account == null) {
			return Problem.notRun(Problem.Code.KEY_NOT_VALID,
					"the key in " + Headers.API_KEY + " is missing, unknown or withdrawn");
		}
		return context.assignAccount(account) ? null
				: Problem.notRun(Problem.Code.KEY_NOT_VALID, "the key now belongs to another client account");
	}

}
