package org.plantainspur.core.configuration;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.plantainspur.core.time.Clock;

/**
 * Follows the sequence of changes and puts each new configuration in force. Only one
 * thread may call {@link #poll()}.
 */
public final class ConfigurationFollower {

	private static final long NEVER = Long.MIN_VALUE;

	private final ChangeLog log;

	private final ConfigurationView view;

	private final Clock clock;

	private final AtomicLong lastReadMillis = new AtomicLong(NEVER);

	/**
	 * Creates a follower.
	 * @param log the sequence of changes
	 * @param view where configurations are put in force
	 * @param clock the process clock
	 */
	public ConfigurationFollower(ChangeLog log, ConfigurationView view, Clock clock) {
		this.log = log;
		this.view = view;
		this.clock = clock;
	}

	/**
	 * Reads all new changes and puts them in force.
	 * @throws ChangeLog.UnavailableException if the platform gave no answer
	 */
	public void poll() {
		long asked = this.clock.millis();
		long head = this.log.head();
		Configuration configuration = this.view.current();
		while (configuration.sequence() < head) {
			List<ChangeEntry> entries = this.log.read(configuration.sequence());
			if (entries.isEmpty()) {
				return;
			}
			for (ChangeEntry entry : entries) {
				configuration = configuration.apply(entry);
			}
			this.view.advance(configuration);
		}
		this.lastReadMillis.set(asked);
	}

	/**
	 * Returns the age of the last complete read, counted from before the platform was
	 * asked.
	 * @return the age in milliseconds, {@link Long#MAX_VALUE} if there was none
	 */
	public long readAgeMillis() {
		long last = this.lastReadMillis.get();
		return (last == NEVER) ? Long.MAX_VALUE : this.clock.millis() - last;
	}

}
