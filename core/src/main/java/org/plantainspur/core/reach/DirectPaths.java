package org.plantainspur.core.reach;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

import org.plantainspur.core.target.ConnectFailure;
import org.plantainspur.core.target.ObservedTarget;
import org.plantainspur.core.target.TargetProcess;
import org.plantainspur.core.target.TargetRegistry;
import org.plantainspur.core.time.Clock;

/**
 * This host's own paths to the targets, as far as connects and responses show them. The
 * host counts as cut off when connects to several targets of several services have failed
 * since any target last gave a sign: a single service may fail as a whole, but targets of
 * different services rarely fail at the same moment. Thread-safe.
 */
public final class DirectPaths {

	/** The targets, or all if there are fewer, whose connects must have failed. */
	static final int CUT_OFF_TARGETS = 3;

	/** The services, or all if there are fewer, that these targets must belong to. */
	static final int CUT_OFF_SERVICES = 2;

	/** Failed connects older than this do not make the host count as cut off. */
	static final long FAILURE_VALID_MS = 3_000;

	/** How long a sign of a target shows that this host reaches targets. */
	static final long PROOF_VALID_MS = 10_000;

	/** How long a sign of a target shows that this host reaches it. */
	static final long REACHED_VALID_MS = 2_000;

	/** Paths that closed within this time of each other are expected to open together. */
	static final long CLOSED_TOGETHER_MS = 1_000;

	private final TargetRegistry registry;

	private final Clock clock;

	private final Runnable closedListener;

	private final ConcurrentMap<TargetProcess, PathState> paths = new ConcurrentHashMap<>();

	/** When the last attempt without a response was sent to a target. */
	private final ConcurrentMap<TargetProcess, Long> unansweredSinceMs = new ConcurrentHashMap<>();

	/** The number of closed paths, so that a host without any does no work. */
	private final AtomicInteger closedPaths = new AtomicInteger();

	/** The state of the host's access to all targets; closed while it is cut off. */
	private final AtomicReference<PathState> access = new AtomicReference<>(PathState.INITIAL);

	/**
	 * Creates the paths of a host that has not connected to a target yet.
	 * @param registry the listed targets
	 * @param clock the host's clock
	 * @param closedListener runs when a path has closed, on the thread that has found so
	 */
	public DirectPaths(TargetRegistry registry, Clock clock, Runnable closedListener) {
		this.registry = registry;
		this.clock = clock;
		this.closedListener = closedListener;
	}

	/**
	 * Records that a connect to a target has succeeded.
	 * @param target the target's process
	 */
	public void recordConnected(TargetProcess target) {
		long nowMs = this.clock.millis();
		PathState before = state(target);
		PathState after = update(target, (state) -> state.connected(nowMs));
		boolean wasCutOff = isCutOff();
		this.access.updateAndGet((state) -> state.connected(nowMs));
		if (wasCutOff && !isCutOff()) {
			putOnTrial((state) -> true, nowMs);
		}
		else if (before.phase() == PathState.Phase.CLOSED && after.phase() == PathState.Phase.OPEN) {
			putOnTrial((state) -> Math.abs(state.changedMs() - before.changedMs()) <= CLOSED_TOGETHER_MS, nowMs);
		}
	}

	private void putOnTrial(Predicate<PathState> expectedToOpen, long nowMs) {
		for (TargetProcess target : this.paths.keySet()) {
			update(target, (state) -> expectedToOpen.test(state) ? state.onTrial(nowMs) : state);
		}
	}

	/**
	 * Records that a connect to a target has failed, or has had no answer for longer than
	 * usual.
	 * @param target the target's process
	 * @param failure how it failed
	 * @param startedMs when it began, in the clock's milliseconds
	 */
	public void recordFailed(TargetProcess target, ConnectFailure failure, long startedMs) {
		long nowMs = this.clock.millis();
		boolean wasOpen = state(target).phase() == PathState.Phase.OPEN;
		PathState after = update(target, (state) -> state.failed(failure, startedMs, nowMs));
		if (hasLostAllTargets(nowMs)) {
			this.access.updateAndGet((state) -> state.failed(failure, startedMs, nowMs));
		}
		if (wasOpen && after.phase() == PathState.Phase.CLOSED) {
			this.closedListener.run();
		}
	}

	/**
	 * Records a response of a target on a connection of this host.
	 * @param target the target's process
	 */
	public void recordAnswered(TargetProcess target) {
		long nowMs = this.clock.millis();
		update(target, (state) -> state.answered(nowMs));
	}

	/**
	 * Records an attempt that has had no response in the usual time, or none when its
	 * time was over. Connections that have carried none since may be as silent, so they
	 * are not used again.
	 * @param target the target's process
	 * @param sentMs when the attempt began, in the clock's milliseconds
	 */
	public void recordUnanswered(TargetProcess target, long sentMs) {
		this.unansweredSinceMs.merge(target, sentMs, Math::max);
	}

	private PathState update(TargetProcess target, UnaryOperator<PathState> change) {
		return this.paths.compute(target, (process, present) -> {
			PathState before = (present != null) ? present : PathState.INITIAL;
			PathState after = change.apply(before);
			this.closedPaths.addAndGet(after.closedCount() - before.closedCount());
			return after;
		});
	}

	private boolean hasLostAllTargets(long nowMs) {
		long lastSignMs = this.paths.values().stream().mapToLong(PathState::provenMs).max().orElse(PathState.NEVER);
		Set<String> services = new HashSet<>();
		int targets = 0;
		for (Map.Entry<TargetProcess, PathState> path : this.paths.entrySet()) {
			long failedMs = path.getValue().failedMs();
			if (path.getValue().phase() != PathState.Phase.OPEN && failedMs > lastSignMs
					&& nowMs - failedMs < FAILURE_VALID_MS) {
				targets++;
				services.add(path.getKey().service());
			}
		}
		return targets >= Math.min(CUT_OFF_TARGETS, this.registry.ids().size())
				&& services.size() >= Math.min(CUT_OFF_SERVICES, this.registry.services().size());
	}

	/**
	 * Returns whether this host is cut off from all targets.
	 * @return {@code true} if targets that have not been tried are not expected to be
	 * reached either
	 */
	public boolean isCutOff() {
		return this.access.get().phase() != PathState.Phase.OPEN;
	}

	/**
	 * Returns when the host was cut off, or reached targets again.
	 * @return the clock's reading in milliseconds
	 */
	public long accessChangedMs() {
		return this.access.get().changedMs();
	}

	/**
	 * Returns whether a new connection to a target may be opened.
	 * @param target the target's process
	 * @return {@code false} if the connect is expected to fail
	 */
	boolean isOpen(TargetProcess target) {
		return !isCutOff() && (closedCount() == 0 || state(target).phase() != PathState.Phase.CLOSED);
	}

	/**
	 * Returns since when a connection must have carried a response to be used. Where
	 * connects or requests get no answer, open connections are expected to be silent,
	 * too; where connects are refused, they may live on.
	 * @param target the target's process
	 * @return the clock's reading in milliseconds
	 */
	public long connectionsProvenSinceMs(TargetProcess target) {
		PathState closed = (state(target).phase() == PathState.Phase.CLOSED) ? state(target) : this.access.get();
		long silentSinceMs = (closed.failure() == ConnectFailure.SILENT) ? closed.changedMs() : PathState.NEVER;
		return Math.max(silentSinceMs, this.unansweredSinceMs.getOrDefault(target, PathState.NEVER));
	}

	/**
	 * Returns the number of targets whose paths are closed.
	 * @return a number of listed targets
	 */
	public int closedCount() {
		return this.closedPaths.get();
	}

	/**
	 * Returns what the other hosts should know of these paths.
	 * @param unreachedElsewhere identities of targets that other hosts do not reach
	 * @return {@link HostReach#NONE} if no path is closed and no target has given a sign
	 * recently
	 */
	public HostReach reach(Collection<String> unreachedElsewhere) {
		if (isCutOff()) {
			return new HostReach(HostReach.State.CUT_OFF, List.of());
		}
		List<String> closed = this.paths.entrySet()
			.stream()
			.filter((path) -> path.getValue().phase() == PathState.Phase.CLOSED)
			.limit(HostReach.MAX_TARGETS)
			.map((path) -> path.getKey().id())
			.toList();
		List<String> reached = unreachedElsewhere.stream()
			.filter(this::isReached)
			.limit(HostReach.MAX_TARGETS)
			.toList();
		return new HostReach(hasProof() ? HostReach.State.CONNECTED : HostReach.State.UNKNOWN, closed, reached);
	}

	private boolean isReached(String targetId) {
		ObservedTarget target = this.registry.target(targetId);
		return target != null && state(target).phase() == PathState.Phase.OPEN
				&& this.clock.millis() - state(target).provenMs() < REACHED_VALID_MS;
	}

	/**
	 * Returns whether a target has given a sign recently and its path is still open.
	 * @return {@code false} if it is not known whether this host reaches targets
	 */
	boolean hasProof() {
		long nowMs = this.clock.millis();
		return this.paths.values()
			.stream()
			.anyMatch((state) -> state.phase() == PathState.Phase.OPEN && nowMs - state.provenMs() < PROOF_VALID_MS);
	}

	/**
	 * Returns whether the paths to all targets of some service are closed.
	 * @return {@code true} if requests of a service depend on other hosts
	 */
	public boolean hasLostService() {
		return isCutOff() || (closedCount() > 0 && this.registry.services().stream().anyMatch(this::isLost));
	}

	private boolean isLost(String service) {
		Collection<ObservedTarget> targets = this.registry.targets(service);
		return !targets.isEmpty()
				&& targets.stream().allMatch((target) -> state(target).phase() == PathState.Phase.CLOSED);
	}

	/** Forgets the paths to targets that are not listed any more. */
	public void removeUnlisted() {
		this.unansweredSinceMs.keySet().removeIf((target) -> !isListed(target));
		for (TargetProcess target : this.paths.keySet()) {
			if (!isListed(target)) {
				this.paths.computeIfPresent(target, (process, state) -> {
					this.closedPaths.addAndGet(-state.closedCount());
					return null;
				});
			}
		}
	}

	private boolean isListed(TargetProcess target) {
		ObservedTarget listed = this.registry.target(target.id());
		return listed != null && listed.listing().process().equals(target);
	}

	// Returns the listed targets whose paths should be tried, those whose last connect
	// failed longest ago first.
	List<ObservedTarget> closedTargets() {
		if (closedCount() == 0 && !isCutOff()) {
			return List.of();
		}
		List<ObservedTarget> closed = new ArrayList<>();
		Collection<String> ids = this.registry.ids();
		for (String id : ids) {
			ObservedTarget target = this.registry.target(id);
			if (target != null && (isCutOff() || state(target).phase() == PathState.Phase.CLOSED)) {
				closed.add(target);
			}
		}
		closed.sort(Comparator.comparingLong((target) -> state(target).failedMs()));
		return closed;
	}

	PathState state(ObservedTarget target) {
		return state(target.listing().process());
	}

	private PathState state(TargetProcess target) {
		return this.paths.getOrDefault(target, PathState.INITIAL);
	}

}
