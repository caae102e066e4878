package org.plantainspur.benchmarks.scenario;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.rate.LocalRateLimiter;
import org.plantainspur.core.rate.RateLimiter;
import org.plantainspur.core.routing.FairQueue;

/**
 * Replays the arrivals of all accounts at a service that can serve exactly the sum of
 * their rates, through the fair order of the admission queue or, as the baseline, first
 * come first served. The noisy account passes no rate limiter, so that the queue alone
 * has to protect the others. The others' arrivals are random and can exceed their rate
 * and burst for seconds; what exceeds them is no part of their entitlement and is refused
 * before the queue, as on a host.
 */
final class NoisyTenantReplay {

	private static final long SERVICE_MILLIS = 100;

	private static final long DEADLINE_MILLIS = 2000;

	/** Below this load every account could be served. */
	private static final double LOAD_OF_OTHERS = 0.95;

	private final FairQueue<Request> fair = new FairQueue<>();

	private final Deque<Request> first = new ArrayDeque<>();

	private final PriorityQueue<Long> running = new PriorityQueue<>();

	private final Map<String, long[]> counts = new HashMap<>();

	private final boolean useFair;

	private long now;

	private final RateLimiter limiter = new LocalRateLimiter(() -> this.now);

	NoisyTenantReplay(boolean useFair) {
		this.useFair = useFair;
	}

	Measures run(Deployment deployment, Scenario.Fault noisy, int seconds, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<ClientAccount> accounts = deployment.accounts();
		double rate = accounts.stream().mapToDouble(ClientAccount::ratePerSecond).sum();
		int slots = (int) (rate * SERVICE_MILLIS / 1000);
		for (this.now = 0; this.now < seconds * 1000L; this.now++) {
			for (ClientAccount account : accounts) {
				boolean limited = !account.id().equals(noisy.subject());
				double sent = account.ratePerSecond() * (limited ? LOAD_OF_OTHERS : noisy.amount());
				for (double left = sent / 1000; left > 0; left--) {
					if (random.nextDouble() < left && (!limited || withinRate(account))) {
						arrive(account);
					}
				}
			}
			serve(slots);
		}
		Measures measures = new Measures();
		measures.worstShare(worst(accounts, noisy, seconds));
		return measures;
	}

	private boolean withinRate(ClientAccount account) {
		return this.limiter.acquire(account, this.now) instanceof RateLimiter.RateDecision.Granted;
	}

	private void arrive(ClientAccount account) {
		counts(account.id())[1]++;
		Request request = new Request(account.id(), this.now);
		if (this.useFair) {
			this.fair.add(account, request);
		}
		else {
			this.first.add(request);
		}
	}

	private void serve(int slots) {
		while (!this.running.isEmpty() && this.running.peek() <= this.now) {
			this.running.remove();
		}
		while (this.running.size() < slots) {
			Request request = this.useFair ? this.fair.poll() : this.first.poll();
			if (request == null) {
				return;
			}
			if (this.now + SERVICE_MILLIS <= request.arrived() + DEADLINE_MILLIS) {
				this.running.add(this.now + SERVICE_MILLIS);
				counts(request.account())[0]++;
			}
		}
	}

	private long[] counts(String account) {
		return this.counts.computeIfAbsent(account, (id) -> new long[2]);
	}

	// The entitlement of the noisy account is its rate, of the others what they sent
	// within their rate and burst.
	private double worst(List<ClientAccount> accounts, Scenario.Fault noisy, int seconds) {
		List<Double> shares = new ArrayList<>();
		for (ClientAccount account : accounts) {
			long[] count = counts(account.id());
			double entitled = account.id().equals(noisy.subject()) ? account.ratePerSecond() * seconds : count[1];
			shares.add(count[0] / entitled);
		}
		return shares.stream().mapToDouble(Double::doubleValue).min().orElse(1);
	}

	private record Request(String account, long arrived) {
	}

}
