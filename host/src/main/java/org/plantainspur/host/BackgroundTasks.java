package org.plantainspur.host;

import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.dropwizard.lifecycle.Managed;
import jakarta.inject.Inject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.plantainspur.adapters.log.Event;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.PeerConfigurationFetcher;
import org.plantainspur.core.configuration.PollSchedule;
import org.plantainspur.core.configuration.SnapshotWriter;
import org.plantainspur.core.currency.HeartbeatExchange;
import org.plantainspur.core.health.HealthReporter;
import org.plantainspur.core.membership.MembershipManager;
import org.plantainspur.core.rate.SharedRateLimiter;
import org.plantainspur.core.routing.PeerTargetFetcher;
import org.plantainspur.core.routing.TargetDirectory;

/**
 * Runs what a host does at fixed intervals. Tasks that wait for the platform have threads
 * of their own, so that a slow platform delays no heartbeat.
 */
final class BackgroundTasks implements Managed {

	private static final Logger logger = LogManager.getLogger(BackgroundTasks.class);

	private static final long HEARTBEAT_INTERVAL_MILLIS = 500;

	private static final long REQUESTED_REPORT_INTERVAL_MILLIS = 50;

	private static final long RELEASE_WATCH_INTERVAL_MILLIS = 100;

	private static final long MEMBERSHIP_INTERVAL_MILLIS = 250;

	private static final long DROP_IDLE_INTERVAL_MILLIS = 5000;

	private final HostSettings settings;

	private final ConfigurationUpdates updates;

	private final MembershipManager keeper;

	private final SnapshotWriter snapshots;

	private final HeartbeatExchange heartbeats;

	private final PeerConfigurationFetcher peers;

	private final PeerTargetFetcher peerTargets;

	private final HealthReporter reporter;

	private final SharedRateLimiter limiter;

	private final TargetSource targets;

	private final AtomicReference<TargetDirectory> directory;

	private final ConfigurationView view;

	private final AtomicReference<MembershipManager.State> lastState = new AtomicReference<>(
			MembershipManager.State.JOINING);

	private final ScheduledExecutorService messages = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "heartbeats"));

	private final ScheduledExecutorService membership = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "membership"));

	private final ScheduledExecutorService targetList = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "target-list"));

	@Inject
	BackgroundTasks(HostSettings settings, ConfigurationUpdates updates, MembershipManager keeper,
			SnapshotWriter snapshots, HeartbeatExchange heartbeats, PeerConfigurationFetcher peers,
			PeerTargetFetcher peerTargets, HealthReporter reporter, SharedRateLimiter limiter, TargetSource targets,
			AtomicReference<TargetDirectory> directory, ConfigurationView view) {
		this.settings = settings;
		this.updates = updates;
		this.keeper = keeper;
		this.snapshots = snapshots;
		this.heartbeats = heartbeats;
		this.peers = peers;
		this.peerTargets = peerTargets;
		this.reporter = reporter;
		this.limiter = limiter;
		this.targets = targets;
		this.directory = directory;
		this.view = view;
	}

	@Override
	public void start() {
		PlatformPolls polls = new PlatformPolls(new PollSchedule(this.settings.pollIntervalMillis()), this.view);
		this.updates.start(polls);
		every(this.messages, HEARTBEAT_INTERVAL_MILLIS, "heartbeat", this.heartbeats::sendHeartbeats);
		every(this.messages, HEARTBEAT_INTERVAL_MILLIS, "peer-configuration", this.peers::fetchIfMissing);
		every(this.messages, HEARTBEAT_INTERVAL_MILLIS, "peer-targets", this.peerTargets::fetchIfMissing);
		every(this.messages, HEARTBEAT_INTERVAL_MILLIS, "health-report", this.reporter::reportAll);
		every(this.messages, REQUESTED_REPORT_INTERVAL_MILLIS, "requested-health-report",
				this.reporter::reportRequested);
		every(this.messages, RELEASE_WATCH_INTERVAL_MILLIS, "share-releases", this.limiter::pollReleases);
		every(this.messages, DROP_IDLE_INTERVAL_MILLIS, "drop-idle-limits", this.limiter::dropIdle);
		every(this.membership, MEMBERSHIP_INTERVAL_MILLIS, "membership", this::keepMembership);
		every(this.membership, DROP_IDLE_INTERVAL_MILLIS, "snapshot", this.snapshots::writeIfDue);
		polls.repeat(this.targetList, () -> run("target-list", this::readTargets));
	}

	@Override
	public void stop() {
		this.updates.close();
		this.messages.shutdownNow();
		this.membership.shutdownNow();
		this.targetList.shutdownNow();
	}

	private static void every(ScheduledExecutorService executor, long intervalMillis, String name, Runnable task) {
		executor.scheduleWithFixedDelay(() -> run(name, task), 0, intervalMillis, TimeUnit.MILLISECONDS);
	}

	// A periodic task that throws would never run again.
	private static void run(String name, Runnable task) {
		try {
			task.run();
		}
		catch (ChangeLog.UnavailableException ex) {
			logger.debug(Event.named("task-without-platform").with("task", name));
		}
		catch (RuntimeException ex) {
			logger.error(Event.named("task-failed").with("task", name), ex);
		}
	}

	private void keepMembership() {
		MembershipManager.State state = this.keeper.reconcile();
		if (this.lastState.getAndSet(state) != state) {
			logger.info(Event.named("membership").with("state", state.name()));
		}
	}

	private void readTargets() {
		try {
			this.directory.set(this.targets.read());
		}
		catch (IOException ex) {
			logger.debug(Event.named("target-list-unavailable").with("reason", String.valueOf(ex.getMessage())));
		}
	}

}
