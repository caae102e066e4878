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
 * Replays the arrivals of all accounts at a service whose capacity is exactly the sum of
 * their rates, through the fair queue of admission or, as the baseline, a FIFO queue. The
 * noisy account is not rate-limited, so that the queue alone has to protect the others.
 * Arrivals of the other accounts are random and can exceed their rate and burst for
 * seconds; the excess is not part of their entitlement and is refused before the queue,
 * as on a host.
 */
final class NoisyTenantReplay {

	private static final long SERVICE_TIME_MILLIS = 100;

	private static final long DEADLINE_MILLIS = 2000;

	/**
	 * Traffic of each rate-limited account as a fraction of its rate. Below 1, so that
	 * the service could serve all of it.
	 */
	private static final double LOAD_OF_LIMITED_ACCOUNTS = 0.95;

	private final FairQueue<Request> fairQueue = new FairQueue<>();

	private final Deque<Request> fifoQueue = new ArrayDeque<>();

	private final PriorityQueue<Long> completionTimes = new PriorityQueue<>();

	// The served and all queued requests by account id.
	private final Map<String, long[]> requestCounts = new HashMap<>();

	private final boolean useFairQueue;

	private long nowMillis;

	private final RateLimiter limiter = new LocalRateLimiter(() -> this.nowMillis);

	NoisyTenantReplay(boolean useFairQueue) {
		this.useFairQueue = useFairQueue;
	}

	ReplayResult run(Deployment deployment, Scenario.Fault noisyFault, int seconds, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<ClientAccount> accounts = deployment.accounts();
		double totalRate = accounts.stream().mapToDouble(ClientAccount::ratePerSecond).sum();
		int slots = (int) (totalRate * SERVICE_TIME_MILLIS / 1000);
		for (this.nowMillis = 0; this.nowMillis < seconds * 1000L; this.nowMillis++) {
			for (ClientAccount account : accounts) {
				boolean rateLimited = !account.id().equals(noisyFault.subject());
				double requestsPerSecond = account.ratePerSecond()
						* (rateLimited ? LOAD_OF_LIMITED_ACCOUNTS : noisyFault.amount());
				for (double expectedArrivals = requestsPerSecond / 1000; expectedArrivals > 0; expectedArrivals--) {
					if (random.nextDouble() < expectedArrivals && (!rateLimited || withinRate(account))) {
						enqueue(account);
					}
				}
			}
			startRequests(slots);
		}
		ReplayResult result = new ReplayResult();
		result.setWorstServedShare(worstServedShare(accounts, noisyFault, seconds));
		return result;
	}

	private boolean withinRate(ClientAccount account) {
		return this.limiter.acquire(account, this.nowMillis) instanceof RateLimiter.RateDecision.Granted;
	}

	private void enqueue(ClientAccount account) {
		requestCounts(account.id())[1]++;
		Request request = new Request(account.id(), this.nowMillis);
		if (this.useFairQueue) {
			this.fairQueue.add(account, request);
		}
		else {
			this.fifoQueue.add(request);
		}
	}

	private void startRequests(int slots) {
		while (!this.completionTimes.isEmpty() && this.completionTimes.peek() <= this.nowMillis) {
			this.completionTimes.remove();
		}
		while (this.completionTimes.size() < slots) {
			Request request = this.useFairQueue ? this.fairQueue.poll() : this.fifoQueue.poll();
			if (request == null) {
				return;
			}
			if (this.nowMillis + SERVICE_TIME_MILLIS <= request.arrivalMillis() + DEADLINE_MILLIS) {
				this.completionTimes.add(this.nowMillis + SERVICE_TIME_MILLIS);
				requestCounts(request.account())[0]++;
			}
		}
	}

	private long[] requestCounts(String account) {
		return this.requestCounts.computeIfAbsent(account, (id) -> new long[2]);
	}

	// The noisy account is entitled to its rate, the others to their queued requests,
	// which are within their rate and burst.
	private double worstServedShare(List<ClientAccount> accounts, Scenario.Fault noisyFault, int seconds) {
		List<Double> shares = new ArrayList<>();
		for (ClientAccount account : accounts) {
			long[] servedAndQueued = requestCounts(account.id());
			double entitlement = account.id().equals(noisyFault.subject()) ? account.ratePerSecond() * seconds
					: servedAndQueued[1];
			shares.add(servedAndQueued[0] / entitlement);
		}
		return shares.stream().mapToDouble(Double::doubleValue).min().orElse(1);
	}

	private record Request(String account, long arrivalMillis) {
	}

}
