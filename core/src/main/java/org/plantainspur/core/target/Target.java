package org.plantainspur.core.target;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A target and what this host has seen of it. Thread-safe; used on the path of requests.
 */
public final class Target {

	/** A report of load says little after a few requests' time. */
	static final long LOAD_VALID_MS = 400;

	/** New observations count for this part of the smoothed slowness. */
	private static final double SLOWNESS_GAIN = 0.25;

	/** A slowdown is forgotten within a few seconds without requests. */
	private static final long SLOWNESS_VALID_MS = 4_000;

	private final TargetEntry entry;

	private final long coldUntilMs;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicReference<Trust> trust = new AtomicReference<>(Trust.FULL);

	private final AtomicReference<Load> load = new AtomicReference<>(Load.NONE);

	private final AtomicReference<Slowness> slowness = new AtomicReference<>(Slowness.NONE);

	Target(TargetEntry entry, long nowMs) {
		this.entry = entry;
		this.coldUntilMs = nowMs + entry.coldMs();
	}

	/**
	 * Returns the target as the platform lists it.
	 * @return the entry
	 */
	public TargetEntry entry() {
		return this.entry;
	}

	/**
	 * Returns the requests that this host has sent to the target and that have no result
	 * yet.
	 * @return the number
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	void sent() {
		this.inFlight.incrementAndGet();
	}

	void ended() {
		this.inFlight.decrementAndGet();
	}

	Trust trust() {
		return this.trust.get();
	}

	void trust(Trust next) {
		this.trust.set(next);
	}

	void failed(long nowMs) {
		this.trust.updateAndGet((before) -> before.afterFailure(nowMs));
	}

	void succeeded(long nowMs) {
		this.trust.updateAndGet((before) -> before.afterSuccess(nowMs));
	}

	void gone(long nowMs) {
		this.trust.set(new Trust(nowMs + Trust.GONE_MS, 1));
	}

	/**
	 * Records what the target said of its load.
	 * @param running the requests that it works on
	 * @param waiting the requests in its queue
	 * @param nowMs the reading of the clock
	 */
	public void reported(int running, int waiting, long nowMs) {
		this.load.set(new Load(running + waiting, nowMs));
	}

	/**
	 * Records how long an answer took against what is usual for its route.
	 * @param ratio the time of the answer over the usual time
	 * @param nowMs the reading of the clock
	 */
	void took(double ratio, long nowMs) {
		this.slowness.updateAndGet((before) -> {
			double start = (nowMs - before.atMs() < SLOWNESS_VALID_MS) ? before.ratio() : 1;
			return new Slowness(start + (ratio - start) * SLOWNESS_GAIN, nowMs);
		});
	}

	double slowness(long nowMs) {
		Slowness seen = this.slowness.get();
		return (nowMs - seen.atMs() < SLOWNESS_VALID_MS) ? Math.max(1, seen.ratio()) : 1;
	}

	/**
	 * Returns the expected occupation of the target's slots by requests of all hosts.
	 * @param nowMs the reading of the clock
	 * @return 0 when idle, 1 when every slot is in use
	 */
	double occupation(long nowMs) {
		int own = this.inFlight.get();
		Load said = this.load.get();
		int busy = (nowMs - said.atMs() < LOAD_VALID_MS) ? Math.max(own, said.requests()) : own;
		double slots = (nowMs < this.coldUntilMs) ? this.entry.slots() / 2.0 : this.entry.slots();
		return busy / slots;
	}

	/**
	 * Whether a target gets work, after its latest results.
	 *
	 * @param avoidUntilMs when the target gets work again, in the clock's milliseconds
	 * @param failures the failures since the last success
	 */
	record Trust(long avoidUntilMs, int failures) {

		static final Trust FULL = new Trust(Long.MIN_VALUE, 0);

		/**
		 * Short gray failures last about a second; one failure in a hundred is the
		 * caller's.
		 */
		static final long FIRST_AVOIDANCE_MS = 1_000;

		/** Kept short, since a target that recovered is missed on a heavy day. */
		static final long LONGEST_AVOIDANCE_MS = 4_000;

		/** Another process answers at the address; the list follows within seconds. */
		static final long GONE_MS = 10_000;

		Trust afterFailure(long nowMs) {
			long avoidance = Math.min(LONGEST_AVOIDANCE_MS, FIRST_AVOIDANCE_MS << Math.min(this.failures, 3));
			return new Trust(Math.max(this.avoidUntilMs, nowMs + avoidance), this.failures + 1);
		}

		Trust afterSuccess(long nowMs) {
			// A success of work that was sent before the failure does not end the
			// avoidance.
			return (nowMs >= this.avoidUntilMs) ? FULL : this;
		}

		boolean onTrial() {
			return this.failures > 0;
		}

		boolean avoided(long nowMs) {
			return nowMs < this.avoidUntilMs;
		}

	}

	private record Load(int requests, long atMs) {

		static final Load NONE = new Load(0, Long.MIN_VALUE / 2);

	}

	private record Slowness(double ratio, long atMs) {

		static final Slowness NONE = new Slowness(1, Long.MIN_VALUE / 2);

	}

}
