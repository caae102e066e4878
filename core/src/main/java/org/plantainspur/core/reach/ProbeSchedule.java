package org.plantainspur.core.reach;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;

import org.plantainspur.core.target.ObservedTarget;
import org.plantainspur.core.target.TargetRegistry;

/**
 * Decides which targets this host connects to without a request, to find out whether a
 * closed path has opened or, while another host is cut off, whether this host reaches
 * targets. Used by one thread.
 */
public final class ProbeSchedule {

	/**
	 * The shortest time between two connects to closed paths. A host that is cut off must
	 * notice the end of the cut within a second.
	 */
	static final long PROBE_INTERVAL_MS = 330;

	/**
	 * The interval is longer by up to this fraction, at random, so that hosts that are
	 * cut off together do not connect together.
	 */
	static final double JITTER = 0.3;

	/** How often a host without a sign of any target verifies that it reaches them. */
	static final long VERIFY_INTERVAL_MS = 1_000;

	/** The targets, of different services if possible, that a host verifies with. */
	static final int VERIFIED_TARGETS = DirectPaths.CUT_OFF_TARGETS;

	private final DirectPaths paths;

	private final TargetRegistry registry;

	private final DoubleSupplier random;

	private long nextProbeMs = PathState.NEVER;

	private long nextVerifyMs = PathState.NEVER;

	/**
	 * Creates a schedule.
	 * @param paths this host's paths
	 * @param registry the listed targets
	 * @param random returns numbers from 0 to 1
	 */
	public ProbeSchedule(DirectPaths paths, TargetRegistry registry, DoubleSupplier random) {
		this.paths = paths;
		this.registry = registry;
		this.random = random;
	}

	/**
	 * Returns the targets to connect to now; they count as connected to.
	 * @param hostCutOff whether another host is known to be cut off
	 * @param nowMs the clock's reading in milliseconds
	 * @return targets, mostly none
	 */
	public List<ObservedTarget> due(boolean hostCutOff, long nowMs) {
		if (hostCutOff && nowMs >= this.nextVerifyMs && !this.paths.isCutOff() && !this.paths.hasProof()) {
			this.nextVerifyMs = nowMs + VERIFY_INTERVAL_MS;
			return ofDifferentServices();
		}
		List<ObservedTarget> closed = (nowMs >= this.nextProbeMs) ? this.paths.closedTargets() : List.of();
		if (closed.isEmpty()) {
			return List.of();
		}
		this.nextProbeMs = nowMs + (long) (PROBE_INTERVAL_MS * (1 + JITTER * this.random.getAsDouble()));
		return List.of(closed.get(0));
	}

	private List<ObservedTarget> ofDifferentServices() {
		List<ObservedTarget> shuffled = new ArrayList<>();
		for (String service : this.registry.services()) {
			shuffled.addAll(this.registry.targets(service));
		}
		for (int i = shuffled.size() - 1; i > 0; i--) {
			Collections.swap(shuffled, i, (int) (this.random.getAsDouble() * i));
		}
		Set<String> services = new HashSet<>();
		List<ObservedTarget> chosen = new ArrayList<>();
		shuffled.stream().filter((target) -> services.add(target.listing().service())).forEach(chosen::add);
		shuffled.stream().filter((target) -> !chosen.contains(target)).forEach(chosen::add);
		return List.copyOf(chosen.subList(0, Math.min(VERIFIED_TARGETS, chosen.size())));
	}

}
