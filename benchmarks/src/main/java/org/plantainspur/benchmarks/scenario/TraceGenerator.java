package org.plantainspur.benchmarks.scenario;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;

import org.plantainspur.core.health.OutcomeRecorder.Kind;
import org.plantainspur.core.routing.Target;

/**
 * Generates the trace of a scenario from a seed, in order of time and in steps of 10 ms.
 * The same seed always gives the same trace.
 */
public final class TraceGenerator implements Iterator<TraceEntry> {

	private static final long STEP_MILLIS = 10;

	private static final double RANDOM_FAILURE_FRACTION = 0.002;

	/** Fraction of the requests that go to a target in another region than their host. */
	private static final double CROSS_REGION_FRACTION = 0.1;

	private static final long TIMEOUT_MILLIS = 2000;

	private final Deployment deployment;

	private final Scenario scenario;

	private final List<Target> targets;

	private final SplittableRandom random;

	private final long[] pausedUntilMillis;

	private final Deque<TraceEntry> readyEntries = new ArrayDeque<>();

	private final List<TraceEntry> pendingTimeouts = new ArrayList<>();

	private long nowMillis;

	private int poisonRequests;

	/**
	 * Creates a generator at time 0.
	 * @param deployment the hosts, targets and accounts
	 * @param scenario the faults to inject and the length of the trace
	 * @param seed the seed of the random numbers
	 */
	public TraceGenerator(Deployment deployment, Scenario scenario, long seed) {
		this.deployment = deployment;
		this.scenario = scenario;
		this.targets = deployment.targets();
		this.random = new SplittableRandom(seed);
		this.pausedUntilMillis = new long[this.targets.size()];
	}

	@Override
	public boolean hasNext() {
		while (this.readyEntries.isEmpty() && this.nowMillis < this.scenario.seconds() * 1000L) {
			generateStep();
		}
		return !this.readyEntries.isEmpty();
	}

	@Override
	public TraceEntry next() {
		hasNext();
		return this.readyEntries.remove();
	}

	private void generateStep() {
		this.nowMillis += STEP_MILLIS;
		List<TraceEntry> entries = new ArrayList<>();
		for (int i = 0; i < this.targets.size(); i++) {
			// A target pauses for 300 ms about every 10 minutes.
			if (this.random.nextDouble() < STEP_MILLIS / 600_000.0) {
				this.pausedUntilMillis[i] = this.nowMillis + 300;
			}
			// The rate to one target is far below one request a step, so one random draw
			// is enough.
			if (this.random.nextDouble() < this.deployment.requestsPerSecond() * STEP_MILLIS / 1000) {
				entries.add(requestEntry(i));
			}
		}
		addPoisonRequest(entries);
		entries.removeIf((entry) -> {
			boolean timesOut = entry.kind() == Kind.TIMEOUT;
			if (timesOut) {
				this.pendingTimeouts.add(entry);
			}
			return timesOut;
		});
		this.pendingTimeouts.removeIf((entry) -> entry.millis() <= this.nowMillis && entries.add(entry));
		entries.sort(Comparator.comparingLong(TraceEntry::millis));
		this.readyEntries.addAll(entries);
	}

	private TraceEntry requestEntry(int target) {
		int account = selectAccount();
		int host = selectHost(account, this.targets.get(target).region());
		String accountId = "a" + account;
		for (Scenario.Fault fault : this.scenario.faults()) {
			if (fault.activeAt(this.nowMillis) && this.random.nextDouble() < failureProbability(fault, host, target)) {
				return faultEntry(fault, host, target, accountId);
			}
		}
		if (this.random.nextDouble() < RANDOM_FAILURE_FRACTION) {
			return failureEntry(host, target, accountId, this.random.nextBoolean());
		}
		// Log-normal latency with a median of 80 ms.
		double latency = 80 * Math.exp(0.5 * gaussian()) * latencyFactor(target);
		if (this.nowMillis < this.pausedUntilMillis[target]) {
			latency += 300;
		}
		return entry(host, target, accountId, Kind.SUCCESS, (long) latency, "-");
	}

	private double failureProbability(Scenario.Fault fault, int host, int target) {
		Target servingTarget = this.targets.get(target);
		boolean crossesRegions = !this.deployment.region(host).equals(servingTarget.region());
		return switch (fault.kind()) {
			case "gray" -> fault.subject().equals(servingTarget.id()) ? fault.amount() : 0;
			case "gray-from-other-region" ->
				(fault.subject().equals(servingTarget.id()) && crossesRegions) ? fault.amount() : 0;
			case "service-slow" -> fault.subject().equals(servingTarget.service()) ? fault.amount() : 0;
			case "cut" -> crossesRegions ? 1 : 0;
			case "leaving", "replaced" -> fault.subject().equals(servingTarget.id()) ? 1 : 0;
			default -> 0;
		};
	}

	private TraceEntry faultEntry(Scenario.Fault fault, int host, int target, String account) {
		return switch (fault.kind()) {
			case "cut" -> entry(host, target, account, Kind.CONNECT_FAILURE, 500, "-");
			case "leaving", "replaced" -> entry(host, target, account, Kind.SHED, 2, "leaving");
			case "service-slow" -> failureEntry(host, target, account, true);
			// A quarter of the failures are timeouts.
			default -> failureEntry(host, target, account, this.random.nextInt(4) == 0);
		};
	}

	private TraceEntry failureEntry(int host, int target, String account, boolean timeout) {
		if (timeout) {
			return new TraceEntry(this.nowMillis + TIMEOUT_MILLIS, host, target, account, Kind.TIMEOUT, TIMEOUT_MILLIS,
					"-");
		}
		return entry(host, target, account, Kind.FAILURE, 20, "-");
	}

	private TraceEntry entry(int host, int target, String account, Kind kind, long latency, String fingerprint) {
		return new TraceEntry(this.nowMillis, host, target, account, kind, latency, fingerprint);
	}

	private double latencyFactor(int target) {
		for (Scenario.Fault fault : this.scenario.faults()) {
			boolean warmingUp = fault.kind().equals("replaced") && fault.subject().equals("t" + target)
					&& this.nowMillis >= fault.to() && this.nowMillis < fault.to() + fault.amount();
			if (warmingUp || fault.affects("service-slow", this.targets.get(target).service(), this.nowMillis)) {
				return 10;
			}
		}
		return 1;
	}

	private void addPoisonRequest(List<TraceEntry> entries) {
		for (Scenario.Fault fault : this.scenario.faults()) {
			if (fault.kind().equals("poison") && fault.activeAt(this.nowMillis) && this.nowMillis % 1000 == 0) {
				int account = Integer.parseInt(fault.subject().substring(1));
				int host = selectHost(account, "");
				// Every third target serves svc0.
				int target = 3 * this.random.nextInt(this.targets.size() / 3);
				this.poisonRequests++;
				entries.add(entry(host, target, fault.subject(), Kind.RESET, 5, "poison"));
			}
		}
		// One bad request a minute, as long as there was no poison request.
		if (this.poisonRequests == 0 && this.nowMillis % 60_000 == 0) {
			addBadRequest(entries);
		}
	}

	// Adds a request that fails at every target, sent three times with the same
	// fingerprint.
	private void addBadRequest(List<TraceEntry> entries) {
		int account = selectAccount();
		for (int i = 0; i < 3; i++) {
			entries.add(entry(selectHost(account, ""), 3 * this.random.nextInt(this.targets.size() / 3), "a" + account,
					Kind.FAILURE, 10, "bad"));
		}
	}

	private int selectAccount() {
		double remaining = this.random.nextDouble();
		for (int i = 0; i < Deployment.ACCOUNT_TRAFFIC_SHARES.length; i++) {
			remaining -= Deployment.ACCOUNT_TRAFFIC_SHARES[i];
			if (remaining < 0) {
				return i;
			}
		}
		return 0;
	}

	// Selects one of the account's home hosts, which are in both regions. Unless the
	// region is empty, most requests stay in it. Hosts 2k and 2k + 1 are in different
	// regions.
	private int selectHost(int account, String region) {
		int homeHost = account * Deployment.HOME_HOSTS_PER_ACCOUNT
				+ this.random.nextInt(Deployment.HOME_HOSTS_PER_ACCOUNT);
		boolean local = this.deployment.region(homeHost).equals(region);
		boolean selected = region.isEmpty() || local != (this.random.nextDouble() < CROSS_REGION_FRACTION);
		return selected ? homeHost : homeHost ^ 1;
	}

	// Approximates a standard normal distribution by the sum of 12 uniform numbers.
	private double gaussian() {
		double sum = -6;
		for (int i = 0; i < 12; i++) {
			sum += this.random.nextDouble();
		}
		return sum;
	}

}
