package org.plantainspur.core.configuration;

import java.util.function.BooleanSupplier;

/**
 * Writes a snapshot after every 500 changes while this host coordinates the membership.
 * The host calls {@link #tick()} from one thread.
 */
public final class SnapshotWriter {

	/**
	 * The changes between snapshots. A new host reads the rest in one page.
	 */
	static final long INTERVAL = 500;

	private final ConfigurationView view;

	private final SnapshotStore store;

	private final BooleanSupplier coordinates;

	private long writtenOrRead;

	/**
	 * Creates the writer.
	 * @param view the configuration in force
	 * @param store where snapshots are kept
	 * @param coordinates whether this host coordinates the membership now
	 */
	public SnapshotWriter(ConfigurationView view, SnapshotStore store, BooleanSupplier coordinates) {
		this.view = view;
		this.store = store;
		this.coordinates = coordinates;
	}

	/**
	 * Writes a snapshot if the newest one is far behind.
	 * @throws ChangeLog.UnavailableException if the platform gave no answer
	 */
	public void tick() {
		Configuration configuration = this.view.current();
		if (configuration.sequence() < this.writtenOrRead + INTERVAL || !this.coordinates.getAsBoolean()) {
			return;
		}
		this.writtenOrRead = this.store.newest().map(Configuration::sequence).orElse(0L);
		if (configuration.sequence() >= this.writtenOrRead + INTERVAL) {
			this.store.put(configuration);
			this.writtenOrRead = configuration.sequence();
		}
	}

}
