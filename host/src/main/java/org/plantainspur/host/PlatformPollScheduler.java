package org.plantainspur.host;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.PollSchedule;

/**
 * Repeats reads of the platform. The interval grows with the number of members, so that a
 * large fleet does not overload the platform.
 */
final class PlatformPollScheduler {

	private final PollSchedule schedule;

	private final ConfigurationView view;

	PlatformPollScheduler(PollSchedule schedule, ConfigurationView view) {
		this.schedule = schedule;
		this.view = view;
	}

	/**
	 * Runs a read now and again after each interval, until the executor is shut down.
	 * @param executor runs the reads
	 * @param read the read to repeat; must not throw, or it is not run again
	 */
	void repeat(ScheduledExecutorService executor, Runnable read) {
		executor.execute(() -> readAndSchedule(executor, read));
	}

	private void readAndSchedule(ScheduledExecutorService executor, Runnable read) {
		read.run();
		int members = this.view.current().membership().members().size();
		executor.schedule(() -> readAndSchedule(executor, read), this.schedule.intervalMillis(members),
				TimeUnit.MILLISECONDS);
	}

}
