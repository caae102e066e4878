package org.plantainspur.host;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.adapters.http.AccountLimitHandler;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.health.EvidenceCollector;
import org.plantainspur.core.health.HealthView;
import org.plantainspur.core.membership.HostAssignment;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.routing.TargetDirectory;
import org.plantainspur.core.time.Clock;

/**
 * Reads the status from the configuration, the target list and the health verdicts that
 * are in force.
 */
final class LiveStatusSource implements StatusSource {

	private final AtomicReference<TargetDirectory> directory;

	private final ConfigurationView view;

	private final HostAssignment hostAssignment;

	private final AccountLimitHandler accountLimits;

	private final HealthView health;

	private final EvidenceCollector collector;

	private final Clock clock;

	LiveStatusSource(AtomicReference<TargetDirectory> directory, ConfigurationView view, HostAssignment hostAssignment,
			AccountLimitHandler accountLimits, HealthView health, EvidenceCollector collector, Clock clock) {
		this.directory = directory;
		this.view = view;
		this.hostAssignment = hostAssignment;
		this.accountLimits = accountLimits;
		this.health = health;
		this.collector = collector;
		this.clock = clock;
	}

	@Override
	public List<TargetState> targets() {
		TargetDirectory current = this.directory.get();
		return current.services()
			.stream()
			.flatMap((service) -> current.targets(service).stream())
			.map(this::state)
			.sorted(Comparator.comparing(TargetState::id))
			.toList();
	}

	private TargetState state(Target target) {
		long now = this.clock.millis();
		HealthView.ServiceHealth serviceHealth = this.health.service(target.service());
		HealthView.TargetHealth targetHealth = serviceHealth.target(target.id());
		boolean ejected = targetHealth.ejectedAt(now);
		double weight = targetHealth.weightAt(now);
		String reason = (ejected || weight < 1) ? reason(targetHealth, now) : "";
		boolean leaving = target.leaving() || serviceHealth.leaving(target.id(), now)
				|| this.collector.observedLeaving(target.id());
		return new TargetState(target.id(), target.service(), ejected, weight, reason, leaving);
	}

	private static String reason(HealthView.TargetHealth targetHealth, long now) {
		String evidence = targetHealth.reason().isEmpty() ? "slow start" : targetHealth.reason();
		return (now < targetHealth.expiresMillis()) ? evidence : "the last verdict has expired: " + evidence;
	}

	@Override
	public Collection<String> accountsInUse() {
		return this.accountLimits.connectedAccounts();
	}

	@Override
	public Map<String, Object> explainTarget(String targetId) {
		Map<String, Object> fields = new LinkedHashMap<>();
		for (TargetState state : targets()) {
			if (state.id().equals(targetId)) {
				fields.put("id", state.id());
				fields.put("service", state.service());
				fields.put("ejected", state.ejected());
				fields.put("weight", state.weight());
				fields.put("reason", state.reason());
				fields.put("leaving", state.leaving());
			}
		}
		return fields;
	}

	@Override
	public Map<String, Object> explainAccount(String accountId) {
		Map<String, Object> fields = new LinkedHashMap<>();
		Configuration configuration = this.view.current();
		ClientAccount account = configuration.account(accountId);
		if (account != null) {
			fields.put("id", account.id());
			fields.put("ratePerSecond", account.ratePerSecond());
			fields.put("burst", account.burst());
			fields.put("keys", configuration.keyHashes(accountId).size());
			fields.put("homes",
					this.hostAssignment.homeHosts(account, configuration.membership())
						.stream()
						.map(Member::hostId)
						.toList());
		}
		return fields;
	}

}
