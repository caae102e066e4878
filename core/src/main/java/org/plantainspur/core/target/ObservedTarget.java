package org.plantainspur.core.target;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A listed target with the state that this host has observed of it. Thread-safe; read and
 * updated on the path of requests.
 */
public final class ObservedTarget {

	/** How long a reported load is used: about the duration of a few requests. */
	static final long LOAD_VALID_MS = 400;

	/** The weight of a new duration in the moving average of the slowness. */
	private static final double SLOWNESS_SMOOTHING_FACTOR = 0.25;

	/**
	 * How long the slowness is used after the last successful response; after that the
	 * target counts as having the typical speed.
	 */
	private static final long SLOWNESS_VALID_MS = 4_000;

	/**
	 * How long a target is avoided after another process answered at its address; the
	 * target list is updated within seconds.
	 */
	private static final long MISDIRECTED_VALID_MS = 10_000;

	/**
	 * How long a target that declined a request counts as full. A place in its queue is
	 * free again after about the duration of one request.
	 */
	private static final long DECLINE_VALID_MS = 300;

	private final TargetIncarnation incarnation;

	private final AtomicReference<Listed> listed;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicReference<HealthEstimate> healthEstimate = new AtomicReference<>(HealthEstimate.INITIAL);

	private final AtomicLong misdirectedUntilMs = new AtomicLong(Long.MIN_VALUE);

	private final AtomicLong lastSentMs = new AtomicLong(Long.MIN_VALUE / 2);

	private final AtomicLong lastDeclinedMs = new AtomicLong(Long.MIN_VALUE / 2);

	private final AtomicReference<Load> load = new AtomicReference<>(Load.NONE);

	private final AtomicReference<Slowness> slowness = new AtomicReference<>(Slowness.NONE);

	ObservedTarget(TargetListing listing, long nowMs) {
		this.incarnation = listing.incarnation();
		this.listed = new AtomicReference<>(new Listed(listing, nowMs + listing.warmUpMs()));
	}

	/**
	 * Returns the incarnation of the target, which does not change.
	 * @return the identity of what the target says of itself
	 */
	public TargetIncarnation incarnation() {
		return this.incarnation;
	}

	// Sets another listing of the same process.
	void updateListing(TargetListing listing, long nowMs) {
		if (!this.listed.get().listing().equals(listing)) {
			this.listed.set(new Listed(listing, nowMs + listing.warmUpMs()));
		}
	}

	/**
	 * Returns the target as the platform lists it.
	 * @return the platform's listing, with address, failure domain and slots
	 */
	public TargetListing listing() {
		return this.listed.get().listing();
	}

	/**
	 * Returns the number of requests that this host has sent to the target and that have
	 * no outcome yet.
	 * @return the requests in flight from this host
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	void recordSent(long nowMs) {
		this.inFlight.incrementAndGet();
		this.lastSentMs.set(nowMs);
	}

	/**
	 * Returns the time since this host last sent a request to the target.
	 * @param nowMs the clock's current reading in milliseconds
	 * @return the time in milliseconds, very large if no request was sent yet
	 */
	long idleMs(long nowMs) {
		return nowMs - this.lastSentMs.get();
	}

	void recordEnd() {
		this.inFlight.decrementAndGet();
	}

	HealthEstimate healthEstimate() {
		return this.healthEstimate.get();
	}

	void recordFailure(long nowMs) {
		this.healthEstimate.updateAndGet((previous) -> previous.afterFailure(nowMs));
	}

	void recordSuccess(long nowMs) {
		this.healthEstimate.updateAndGet((previous) -> previous.afterSuccess(nowMs));
	}

	// Another target answered at this target's address, usually one that was started
	// there after this one ended.
	void recordMisdirected(long nowMs) {
		this.misdirectedUntilMs.set(nowMs + MISDIRECTED_VALID_MS);
	}

	boolean isMisdirected(long nowMs) {
		return nowMs < this.misdirectedUntilMs.get();
	}

	void recordDecline(long nowMs) {
		this.lastDeclinedMs.set(nowMs);
	}

	boolean declinedRecently(long nowMs) {
		return nowMs - this.lastDeclinedMs.get() < DECLINE_VALID_MS;
	}

	/**
	 * Records the load that the target reported with a response.
	 * @param running the number of requests that it is running
	 * @param waiting the number of requests in its queue
	 * @param nowMs the clock's current reading in milliseconds
	 */
	public void recordLoad(int running, int waiting, long nowMs) {
		this.load.set(new Load(running + waiting, nowMs));
	}

	/**
	 * Records the duration of a response relative to the typical duration of its route.
	 * @param ratio the duration divided by the typical duration
	 * @param nowMs the clock's current reading in milliseconds
	 */
	void recordDuration(double ratio, long nowMs) {
		this.slowness.updateAndGet((previous) -> {
			double start = (nowMs - previous.updatedMs() < SLOWNESS_VALID_MS) ? previous.ratio() : 1;
			return new Slowness(start + (ratio - start) * SLOWNESS_SMOOTHING_FACTOR, nowMs);
		});
	}

	// The recent duration of responses divided by the typical duration of their routes;
	// at least 1, and 1 if there was no recent response.
	double slowness(long nowMs) {
		Slowness last = this.slowness.get();
		return (nowMs - last.updatedMs() < SLOWNESS_VALID_MS) ? Math.max(1, last.ratio()) : 1;
	}

	/**
	 * Returns the expected utilization of the target's slots by requests of all hosts.
	 * While the target warms up, half of its slots count.
	 * @param nowMs the clock's current reading in milliseconds
	 * @return 0 when idle, 1 when every slot is in use, more when requests wait
	 */
	double utilization(long nowMs) {
		int own = this.inFlight.get();
		Load reported = this.load.get();
		int busy = (nowMs - reported.reportedMs() < LOAD_VALID_MS) ? Math.max(own, reported.requests()) : own;
		Listed current = this.listed.get();
		int slots = current.listing().slots();
		return busy / ((nowMs < current.warmUpUntilMs()) ? slots / 2.0 : slots);
	}

	private record Listed(TargetListing listing, long warmUpUntilMs) {
	}

	private record Load(int requests, long reportedMs) {

		static final Load NONE = new Load(0, Long.MIN_VALUE / 2);

	}

	private record Slowness(double ratio, long updatedMs) {

		static final Slowness NONE = new Slowness(1, Long.MIN_VALUE / 2);

	}

}
