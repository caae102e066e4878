package org.plantainspur.host;

import java.util.LinkedHashMap;
import java.util.Map;

import jakarta.inject.Inject;

import org.plantainspur.adapters.http.ShutdownSignal;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.idempotency.TokenReadiness;
import org.plantainspur.core.membership.Member;

/**
 * Builds the answers of {@code /status} and {@code /explain}, with the fields in the
 * order in which they are written.
 */
final class StatusReport {

	private final Member self;

	private final ConfigurationView view;

	private final CurrencyRule currency;

	private final ShutdownSignal shutdownSignal;

	private final TokenReadiness tokenReadiness;

	private final StatusSource source;

	@Inject
	StatusReport(Member self, ConfigurationView view, CurrencyRule currency, ShutdownSignal shutdownSignal,
			TokenReadiness tokenReadiness, StatusSource source) {
		this.self = self;
		this.view = view;
		this.currency = currency;
		this.shutdownSignal = shutdownSignal;
		this.tokenReadiness = tokenReadiness;
		this.source = source;
	}

	Map<String, Object> status() {
		Configuration configuration = this.view.current();
		String staleReason = staleReason();
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("hostId", this.self.hostId());
		fields.put("processId", this.self.processId());
		fields.put("region", this.self.region());
		fields.put("failureDomain", this.self.failureDomain());
		fields.put("sequence", configuration.sequence());
		fields.put("current", staleReason.isEmpty());
		fields.put("currencyReason", staleReason);
		fields.put("stopping", this.shutdownSignal.stopping());
		fields.put("issuesTokens", this.tokenReadiness.mayIssue());
		fields.put("members", configuration.membership().members());
		fields.put("targets", this.source.targets());
		fields.put("accountsInUse", this.source.accountsInUse());
		return fields;
	}

	Map<String, Object> explainTarget(String targetId) {
		return this.source.explainTarget(targetId);
	}

	Map<String, Object> explainAccount(String accountId) {
		return this.source.explainAccount(accountId);
	}

	/**
	 * Returns why the configuration cannot be shown to be current. While it cannot, this
	 * host refuses requests on routes that need a key.
	 * @return the reason in words, empty if the configuration is current
	 */
	String staleReason() {
		return (this.currency.check() instanceof CurrencyRule.Currency.Stale stale) ? stale.reason() : "";
	}

}
