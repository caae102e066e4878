package org.plantainspur.core.reach;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.plantainspur.core.target.ObservedTarget;
import org.plantainspur.core.target.TargetPermits;
import org.plantainspur.core.target.TargetRegistry;

/**
 * Decides whether this host relays an attempt of another host. It does not take a part of
 * the target's limit, as the other host has done so. Thread-safe.
 */
public final class RelayAdmission {

	/**
	 * The attempts that this host relays at a time, so that its own callers keep most of
	 * its memory and processor time. The load that it answers is a third of the fleet
	 * being cut off.
	 */
	static final int MAX_IN_FLIGHT = 32;

	/** When a host without room expects to have some: after a usual short request. */
	public static final long RETRY_AFTER_MS = 200;

	private final TargetRegistry registry;

	private final TargetPermits permits;

	private final DirectPaths paths;

	private final BooleanSupplier stopping;

	private final AtomicInteger inFlight = new AtomicInteger();

	/**
	 * Creates the admission of a host that relays nothing yet.
	 * @param registry the listed targets
	 * @param permits what the targets' statements permit
	 * @param paths this host's paths
	 * @param stopping tells whether this host is stopping
	 */
	public RelayAdmission(TargetRegistry registry, TargetPermits permits, DirectPaths paths, BooleanSupplier stopping) {
		this.registry = registry;
		this.permits = permits;
		this.paths = paths;
		this.stopping = stopping;
	}

	/**
	 * Decides on an attempt.
	 * @param targetId the identity of its target
	 * @return {@link Accepted}, which must be followed by {@link #release}, or why the
	 * attempt is not relayed
	 */
	public Decision decide(String targetId) {
		if (this.stopping.getAsBoolean()) {
			return new Declined(Reason.STOPPING);
		}
		if (this.paths.isCutOff()) {
			return new Declined(Reason.CUT_OFF);
		}
		ObservedTarget target = this.registry.target(targetId);
		if (target == null || this.permits.isWithdrawn(target)) {
			return new Declined(Reason.WITHHELD);
		}
		if (!this.paths.isOpen(target.listing().process())) {
			return new Declined(unreachedReason());
		}
		if (this.inFlight.incrementAndGet() > MAX_IN_FLIGHT) {
			this.inFlight.decrementAndGet();
			return new Declined(Reason.BUSY);
		}
		return new Accepted(target);
	}

	/**
	 * Returns why an attempt whose connect failed is not relayed.
	 * @return the reason
	 */
	public Reason unreachedReason() {
		if (this.paths.isCutOff()) {
			return Reason.CUT_OFF;
		}
		return this.paths.hasProof() ? Reason.TARGET_UNREACHED : Reason.NOTHING_REACHED;
	}

	/** Gives back the room of an accepted attempt. */
	public void release() {
		this.inFlight.decrementAndGet();
	}

	/**
	 * The decision on one attempt.
	 */
	public sealed interface Decision {

	}

	/**
	 * The attempt is relayed.
	 *
	 * @param target its target
	 */
	public record Accepted(ObservedTarget target) implements Decision {
	}

	/**
	 * The attempt is not relayed, and nothing of it is sent.
	 *
	 * @param reason why
	 */
	public record Declined(Reason reason) implements Decision {
	}

	/**
	 * Why an attempt is not relayed. The names are sent between hosts.
	 */
	public enum Reason {

		/** This host is stopping. */
		STOPPING,

		/** This host is cut off from all targets. */
		CUT_OFF,

		/** The target has left, is leaving or has asked for a pause. */
		WITHHELD,

		/** This host reaches targets, but not this one. */
		TARGET_UNREACHED,

		/** This host does not reach the target, and may be cut off. */
		NOTHING_REACHED,

		/** This host relays as many attempts as it can. */
		BUSY

	}

}
