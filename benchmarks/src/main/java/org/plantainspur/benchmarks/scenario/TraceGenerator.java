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
 * Generates the trace of a scenario from a seed, in order of time, ten milliseconds at a
 * time.
 */
public final class TraceGenerator implements Iterator<TraceEntry> {

	private static final long STEP_MILLIS = 10;

	private static final double RANDOM_FAILURES = 0.002;

	/** Part of the requests that cross regions. */
	private static final double ACROSS = 0.1;

	private static final long TIMEOUT_MILLIS = 2000;

	private final Deployment deployment;

	private final Scenario scenario;

	private final List<Target> targets;

	private final SplittableRandom random;

	private final long[] pausedUntil;

	private final Deque<TraceEntry> ready = new ArrayDeque<>();

	private final List<TraceEntry> later = new ArrayList<>();

	private long now;

	private int poisonCopies;

	/**
	 * Creates a generator.
	 * @param deployment the deployment
	 * @param scenario the scenario
	 * @param seed the seed
	 */
	public TraceGenerator(Deployment deployment, Scenario scenario, long seed) {
		this.deployment = deployment;
		this.scenario = scenario;
		this.targets = deployment.targets();
		this.random = new SplittableRandom(seed);
		this.pausedUntil = new long[this.targets.size()];
	}

	@Override
	public boolean hasNext() {
		while (this.ready.isEmpty() && this.now < this.scenario.seconds() * 1000L) {
			step();
		}
		return !this.ready.isEmpty();
	}

	@Override
	public TraceEntry next() {
		hasNext();
		return this.ready.remove();
	}

	private void step() {
		this.now += STEP_MILLIS;
		List<TraceEntry> entries = new ArrayList<>();
		for (int i = 0; i < this.targets.size(); i++) {
			if (this.random.nextDouble() < STEP_MILLIS / 600_000.0) {
				this.pausedUntil[i] = this.now + 300;
			}
			// The rate is far below one request a step, so one draw is enough.
			if (this.random.nextDouble() < this.deployment.requestsPerSecond() * STEP_MILLIS / 1000) {
				entries.add(request(i));
			}
		}
		poison(entries);
		entries.removeIf((entry) -> {
			boolean lasts = entry.kind() == Kind.TIMEOUT;
			if (lasts) {
				this.later.add(entry);
			}
			return lasts;
		});
		this.later.removeIf((entry) -> entry.millis() <= this.now && entries.add(entry));
		entries.sort(Comparator.comparingLong(TraceEntry::millis));
		this.ready.addAll(entries);
	}

	private TraceEntry request(int target) {
		int account = account();
		int host = host(account, this.targets.get(target).region());
		String name = "a" + account;
		for (Scenario.Fault fault : this.scenario.faults()) {
			if (fault.at(this.now) && this.random.nextDouble() < failing(fault, host, target)) {
				return fails(fault, host, target, name);
			}
		}
		if (this.random.nextDouble() < RANDOM_FAILURES) {
			return failure(host, target, name, this.random.nextBoolean());
		}
		double latency = 80 * Math.exp(0.5 * gaussian()) * slowness(target);
		if (this.now < this.pausedUntil[target]) {
			latency += 300;
		}
		return entry(host, target, name, Kind.SUCCESS, (long) latency, "-");
	}

	private double failing(Scenario.Fault fault, int host, int target) {
		Target on = this.targets.get(target);
		boolean across = !this.deployment.region(host).equals(on.region());
		return switch (fault.kind()) {
			case "gray" -> fault.subject().equals(on.id()) ? fault.amount() : 0;
			case "gray-from-other-region" -> (fault.subject().equals(on.id()) && across) ? fault.amount() : 0;
			case "service-slow" -> fault.subject().equals(on.service()) ? fault.amount() : 0;
			case "cut" -> across ? 1 : 0;
			case "leaving", "replaced" -> fault.subject().equals(on.id()) ? 1 : 0;
			default -> 0;
		};
	}

	private TraceEntry fails(Scenario.Fault fault, int host, int target, String account) {
		return switch (fault.kind()) {
			case "cut" -> entry(host, target, account, Kind.CONNECT_FAILURE, 500, "-");
			case "leaving", "replaced" -> entry(host, target, account, Kind.SHED, 2, "leaving");
			case "service-slow" -> failure(host, target, account, true);
			default -> failure(host, target, account, this.random.nextInt(4) == 0);
		};
	}

	private TraceEntry failure(int host, int target, String account, boolean timeout) {
		if (timeout) {
			return new TraceEntry(this.now + TIMEOUT_MILLIS, host, target, account, Kind.TIMEOUT, TIMEOUT_MILLIS, "-");
		}
		return entry(host, target, account, Kind.FAILURE, 20, "-");
	}

	private TraceEntry entry(int host, int target, String account, Kind kind, long latency, String fingerprint) {
		return new TraceEntry(this.now, host, target, account, kind, latency, fingerprint);
	}

	private double slowness(int target) {
		for (Scenario.Fault fault : this.scenario.faults()) {
			boolean cold = fault.kind().equals("replaced") && fault.subject().equals("t" + target)
					&& this.now >= fault.to() && this.now < fault.to() + fault.amount();
			if (cold || fault.is("service-slow", this.targets.get(target).service(), this.now)) {
				return 10;
			}
		}
		return 1;
	}

	private void poison(List<TraceEntry> entries) {
		for (Scenario.Fault fault : this.scenario.faults()) {
			if (fault.kind().equals("poison") && fault.at(this.now) && this.now % 1000 == 0) {
				int account = Integer.parseInt(fault.subject().substring(1));
				int host = host(account, "");
				int target = 3 * this.random.nextInt(this.targets.size() / 3);
				this.poisonCopies++;
				entries.add(entry(host, target, fault.subject(), Kind.RESET, 5, "poison"));
			}
		}
		if (this.poisonCopies == 0 && this.now % 60_000 == 0) {
			badRequest(entries);
		}
	}

	// A request that the service cannot serve, sent three times.
	private void badRequest(List<TraceEntry> entries) {
		int account = account();
		for (int i = 0; i < 3; i++) {
			entries.add(entry(host(account, ""), 3 * this.random.nextInt(this.targets.size() / 3), "a" + account,
					Kind.FAILURE, 10, "bad"));
		}
	}

	private int account() {
		double drawn = this.random.nextDouble();
		for (int i = 0; i < Deployment.ACCOUNT_SHARES.length; i++) {
			drawn -= Deployment.ACCOUNT_SHARES[i];
			if (drawn < 0) {
				return i;
			}
		}
		return 0;
	}

	// An account's home hosts are in both regions; most requests stay in the region.
	private int host(int account, String region) {
		int first = account * Deployment.HOMES + this.random.nextInt(Deployment.HOMES);
		boolean local = this.deployment.region(first).equals(region);
		boolean wanted = region.isEmpty() || local != (this.random.nextDouble() < ACROSS);
		return wanted ? first : first ^ 1;
	}

	private double gaussian() {
		double sum = -6;
		for (int i = 0; i < 12; i++) {
			sum += this.random.nextDouble();
		}
		return sum;
	}

}
