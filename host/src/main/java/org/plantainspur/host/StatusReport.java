package org.plantainspur.host;

import java.util.LinkedHashMap;
import java.util.Map;

import jakarta.inject.Inject;

import org.plantainspur.adapters.http.ShutdownSignal;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.membership.Member;

/**
 * The state of this host as operators see it.
 */
final class StatusReport {

	private final Member self;

	private final ConfigurationView view;

	private final CurrencyRule currency;

	private final ShutdownSignal stopSignal;

	private final StatusSources sources;

	@Inject
	StatusReport(Member self, ConfigurationView view, CurrencyRule currency, ShutdownSignal stopSignal,
			StatusSources sources) {
		this.self = self;
		this.view = view;
		this.currency = currency;
		this.stopSignal = stopSignal;
		this.sources = sources;
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
		fields.put("stopping", this.stopSignal.stopping());
		fields.put("members", configuration.membership().members());
		fields.put("targets", this.sources.targets());
		fields.put("accountsInUse", this.sources.accountsInUse());
		return fields;
	}

	Map<String, Object> explainTarget(String targetId) {
		return this.sources.explainTarget(targetId);
	}

	Map<String, Object> explainAccount(String accountId) {
		return this.sources.explainAccount(accountId);
	}

	/**
	 * Returns why keyed routes are refused.
	 * @return the reason, empty if the configuration is current
	 */
	String staleReason() {
		return (this.currency.check() instanceof CurrencyRule.Currency.Stale stale) ? stale.reason() : "";
	}

}
