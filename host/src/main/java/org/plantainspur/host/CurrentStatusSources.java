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
import org.plantainspur.core.membership.HomeHosts;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.routing.TargetDirectory;
import org.plantainspur.core.time.Clock;

/**
 * Tells what the configuration, the platform's list and the verdicts on health hold now.
 */
final class CurrentStatusSources implements StatusSources {

	private final AtomicReference<TargetDirectory> directory;

	private final ConfigurationView view;

	private final HomeHosts homeHosts;

	private final AccountLimitHandler limits;

	private final HealthView health;

	private final EvidenceCollector collector;

	private final Clock clock;

	CurrentStatusSources(AtomicReference<TargetDirectory> directory, ConfigurationView view, HomeHosts homeHosts,
			AccountLimitHandler limits, HealthView health, EvidenceCollector collector, Clock clock) {
		this.directory = directory;
		this.view = view;
		this.homeHosts = homeHosts;
		this.limits = limits;
		this.health = health;
		this.collector = collector;
		this.clock = clock;
	}

	@Override
	public List<TargetState> targets() {
		TargetDirectory present = this.directory.get();
		return present.services()
			.stream()
			.flatMap((service) -> present.targets(service).stream())
			.map(this::state)
			.sorted(Comparator.comparing(TargetState::id))
			.toList();
	}

	private TargetState state(Target target) {
		long now = this.clock.millis();
		HealthView.ServiceHealth service = this.health.service(target.service());
		HealthView.TargetHealth held = service.target(target.id());
		boolean ejected = held.ejectedAt(now);
		double weight = held.weightAt(now);
		String reason = (ejected || weight < 1) ? reason(held, now) : "";
		boolean leaving = target.leaving() || service.leaving(target.id(), now)
				|| this.collector.observedLeaving(target.id());
		return new TargetState(target.id(), target.service(), ejected, weight, reason, leaving);
	}

	private static String reason(HealthView.TargetHealth held, long now) {
		String evidence = held.reason().isEmpty() ? "slow start" : held.reason();
		return (now < held.expiresMillis()) ? evidence : "the last verdict has expired: " + evidence;
	}

	@Override
	public Collection<String> accountsInUse() {
		return this.limits.connectedAccounts();
	}

	@Override
	public Map<String, Object> explainTarget(String targetId) {
		Map<String, Object> facts = new LinkedHashMap<>();
		for (TargetState state : targets()) {
			if (state.id().equals(targetId)) {
				facts.put("id", state.id());
				facts.put("service", state.service());
				facts.put("ejected", state.ejected());
				facts.put("weight", state.weight());
				facts.put("reason", state.reason());
				facts.put("leaving", state.leaving());
			}
		}
		return facts;
	}

	@Override
	public Map<String, Object> explainAccount(String accountId) {
		Map<String, Object> facts = new LinkedHashMap<>();
		Configuration configuration = this.view.current();
		ClientAccount account = configuration.account(accountId);
		if (account != null) {
			facts.put("id", account.id());
			facts.put("ratePerSecond", account.ratePerSecond());
			facts.put("burst", account.burst());
			facts.put("keys", configuration.keyHashes(accountId).size());
			facts.put("homes",
					this.homeHosts.homes(account, configuration.membership()).stream().map(Member::hostId).toList());
		}
		return facts;
	}

}
