package org.plantainspur.host;

import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.dropwizard.lifecycle.Managed;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.plantainspur.adapters.http.StopSignal;
import org.plantainspur.adapters.log.Event;
import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ConfigurationFollower;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.routing.TargetDirectory;

/**
 * Polls the platform and joins the fleet.
 */
final class BackgroundTasks implements Managed {

	private static final Logger logger = LogManager.getLogger(BackgroundTasks.class);

	private final ConfigurationFollower follower;

	private final ChangeLog log;

	private final ConfigurationView view;

	private final TargetSource targets;

	private final AtomicReference<TargetDirectory> directory;

	private final Member member;

	private final StopSignal stopSignal;

	private final long pollIntervalMillis;

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

	BackgroundTasks(ConfigurationFollower follower, ChangeLog log, ConfigurationView view, TargetSource targets,
			AtomicReference<TargetDirectory> directory, Member member, StopSignal stopSignal, long pollIntervalMillis) {
		this.follower = follower;
		this.log = log;
		this.view = view;
		this.targets = targets;
		this.directory = directory;
		this.member = member;
		this.stopSignal = stopSignal;
		this.pollIntervalMillis = pollIntervalMillis;
	}

	@Override
	public void start() {
		this.executor.scheduleWithFixedDelay(this::poll, 0, this.pollIntervalMillis, TimeUnit.MILLISECONDS);
	}

	@Override
	public void stop() {
		this.executor.shutdownNow();
	}

	private void poll() {
		try {
			this.follower.poll();
			this.directory.set(this.targets.read());
			if (!this.stopSignal.stopping()
					&& !this.member.equals(this.view.current().membership().member(this.member.hostId()))) {
				join();
			}
		}
		catch (ChangeLog.UnavailableException | IOException ex) {
			logger.warn(Event.named("platform-unavailable").with("reason", String.valueOf(ex.getMessage())));
		}
		catch (RuntimeException ex) {
			logger.error(Event.named("poll-failed"), ex);
		}
	}

	private void join() {
		long head = this.view.current().sequence();
		String changeId = "join-" + this.member.processId() + "-" + head;
		ChangeLog.AppendResult result = this.log.append(head, changeId, new Change.MemberJoined(this.member));
		logger.info(Event.named("join").with("hostId", this.member.hostId()).with("result", result.toString()));
	}

}
