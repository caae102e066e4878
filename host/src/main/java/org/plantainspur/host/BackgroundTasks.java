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
 * Runs the host's periodic tasks. Tasks that wait for the platform have threads of their
 * own, so that a slow platform does not delay heartbeats.
 */
final class BackgroundTasks implements Managed {

	private static final Logger logger = LogManager.getLogger(BackgroundTasks.class);

	/**
	 * The interval of heartbeats, of health reports, and of requests to other members for
	 * a missing configuration or target list.
	 */
	private static final long HEARTBEAT_INTERVAL_MILLIS = 500;

	/**
	 * The interval of checks for health reports that a coordinator has requested, which
	 * are sent without waiting for the next regular report.
	 */
	private static final long REQUESTED_REPORT_INTERVAL_MILLIS = 50;

	/**
	 * The interval of checks whether the other members have released the shares of rate
	 * limits that this host gains.
	 */
	private static final long RELEASE_POLL_INTERVAL_MILLIS = 100;

	private static final long MEMBERSHIP_INTERVAL_MILLIS = 250;

	/** The interval of removals of idle rate limits and of checks for a due snapshot. */
	private static final long HOUSEKEEPING_INTERVAL_MILLIS = 5000;

	private final HostSettings settings;

	private final ConfigurationPoller configurationPoller;

	private final MembershipManager membershipManager;

	private final SnapshotWriter snapshotWriter;

	private final HeartbeatExchange heartbeats;

	private final PeerConfigurationFetcher configurationFetcher;

	private final PeerTargetFetcher targetFetcher;

	private final HealthReporter healthReporter;

	private final SharedRateLimiter limiter;

	private final TargetSource targetSource;

	private final AtomicReference<TargetDirectory> directory;

	private final ConfigurationView view;

	private final AtomicReference<MembershipManager.State> lastLoggedState = new AtomicReference<>(
			MembershipManager.State.JOINING);

	private final ScheduledExecutorService peerExecutor = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "heartbeats"));

	private final ScheduledExecutorService membershipExecutor = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "membership"));

	private final ScheduledExecutorService targetListExecutor = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "target-list"));

	@Inject
	BackgroundTasks(HostSettings settings, ConfigurationPoller configurationPoller, MembershipManager membershipManager,
			SnapshotWriter snapshotWriter, HeartbeatExchange heartbeats, PeerConfigurationFetcher configurationFetcher,
			PeerTargetFetcher targetFetcher, HealthReporter healthReporter, SharedRateLimiter limiter,
			TargetSource targetSource, AtomicReference<TargetDirectory> directory, ConfigurationView view) {
		this.settings = settings;
		this.configurationPoller = configurationPoller;
		this.membershipManager = membershipManager;
		this.snapshotWriter = snapshotWriter;
		this.heartbeats = heartbeats;
		this.configurationFetcher = configurationFetcher;
		this.targetFetcher = targetFetcher;
		this.healthReporter = healthReporter;
		this.limiter = limiter;
		this.targetSource = targetSource;
		this.directory = directory;
		this.view = view;
	}

	@Override
	public void start() {
		PlatformPollScheduler pollScheduler = new PlatformPollScheduler(
				new PollSchedule(this.settings.pollIntervalMillis()), this.view);
		this.configurationPoller.start(pollScheduler);
		scheduleRepeatedly(this.peerExecutor, HEARTBEAT_INTERVAL_MILLIS, "heartbeat", this.heartbeats::sendHeartbeats);
		scheduleRepeatedly(this.peerExecutor, HEARTBEAT_INTERVAL_MILLIS, "peer-configuration",
				this.configurationFetcher::fetchIfMissing);
		scheduleRepeatedly(this.peerExecutor, HEARTBEAT_INTERVAL_MILLIS, "peer-targets",
				this.targetFetcher::fetchIfMissing);
		scheduleRepeatedly(this.peerExecutor, HEARTBEAT_INTERVAL_MILLIS, "health-report",
				this.healthReporter::reportAll);
		scheduleRepeatedly(this.peerExecutor, REQUESTED_REPORT_INTERVAL_MILLIS, "requested-health-report",
				this.healthReporter::reportRequested);
		scheduleRepeatedly(this.peerExecutor, RELEASE_POLL_INTERVAL_MILLIS, "share-releases",
				this.limiter::pollReleases);
		scheduleRepeatedly(this.peerExecutor, HOUSEKEEPING_INTERVAL_MILLIS, "drop-idle-limits", this.limiter::dropIdle);
		scheduleRepeatedly(this.membershipExecutor, HOUSEKEEPING_INTERVAL_MILLIS, "snapshot",
				this.snapshotWriter::writeIfDue);
		pollScheduler.repeat(this.targetListExecutor, () -> runAndLogFailure("target-list", this::readTargets));
	}

	/**
	 * Starts to join the fleet, once the server answers callers. Other hosts send callers
	 * to a member as soon as it has joined. The listening socket is open before the
	 * server reads from it, so requests would wait there without an answer.
	 */
	void startMembership() {
		scheduleRepeatedly(this.membershipExecutor, MEMBERSHIP_INTERVAL_MILLIS, "membership", this::updateMembership);
	}

	@Override
	public void stop() {
		this.configurationPoller.close();
		this.peerExecutor.shutdownNow();
		this.membershipExecutor.shutdownNow();
		this.targetListExecutor.shutdownNow();
	}

	private static void scheduleRepeatedly(ScheduledExecutorService executor, long intervalMillis, String name,
			Runnable task) {
		executor.scheduleWithFixedDelay(() -> runAndLogFailure(name, task), 0, intervalMillis, TimeUnit.MILLISECONDS);
	}

	// Catches exceptions, since the executor never repeats a task that has thrown one.
	private static void runAndLogFailure(String name, Runnable task) {
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

	private void updateMembership() {
		MembershipManager.State state = this.membershipManager.reconcile();
		if (this.lastLoggedState.getAndSet(state) != state) {
			logger.info(Event.named("membership").with("state", state.name()));
		}
	}

	private void readTargets() {
		try {
			this.directory.set(this.targetSource.read());
		}
		catch (IOException ex) {
			logger.debug(Event.named("target-list-unavailable").with("reason", String.valueOf(ex.getMessage())));
		}
	}

}
