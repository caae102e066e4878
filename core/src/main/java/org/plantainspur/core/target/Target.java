package org.plantainspur.core.target;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
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

	/** Another process answers at the address; the list follows within seconds. */
	private static final long GONE_MS = 10_000;

	/** A queue that was full has room again after about one request. */
	private static final long DECLINE_VALID_MS = 300;

	private final TargetEntry entry;

	private final long coldUntilMs;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicReference<SicknessBelief> belief = new AtomicReference<>(SicknessBelief.NONE);

	private final AtomicLong goneUntilMs = new AtomicLong(Long.MIN_VALUE);

	private final AtomicLong sentMs = new AtomicLong(Long.MIN_VALUE / 2);

	private final AtomicLong declinedMs = new AtomicLong(Long.MIN_VALUE / 2);

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

	void sent(long nowMs) {
		this.inFlight.incrementAndGet();
		this.sentMs.set(nowMs);
	}

	/**
	 * Returns the time since this host last sent the target a request.
	 * @param nowMs the reading of the clock
	 * @return the time in milliseconds, large if there was none
	 */
	long unusedMs(long nowMs) {
		return nowMs - this.sentMs.get();
	}

	void ended() {
		this.inFlight.decrementAndGet();
	}

	SicknessBelief belief() {
		return this.belief.get();
	}

	void failed(long nowMs) {
		this.belief.updateAndGet((before) -> before.afterFailure(nowMs));
	}

	void succeeded(long nowMs) {
		this.belief.updateAndGet((before) -> before.afterSuccess(nowMs));
	}

	void gone(long nowMs) {
		this.goneUntilMs.set(nowMs + GONE_MS);
	}

	boolean isGone(long nowMs) {
		return nowMs < this.goneUntilMs.get();
	}

	void declined(long nowMs) {
		this.declinedMs.set(nowMs);
	}

	boolean declinedOfLate(long nowMs) {
		return nowMs - this.declinedMs.get() < DECLINE_VALID_MS;
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

	private record Load(int requests, long atMs) {

		static final Load NONE = new Load(0, Long.MIN_VALUE / 2);

	}

	private record Slowness(double ratio, long atMs) {

		static final Slowness NONE = new Slowness(1, Long.MIN_VALUE / 2);

	}

}
