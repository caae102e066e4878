package org.plantainspur.core.configuration;

import java.util.function.BooleanSupplier;

/**
 * Writes a snapshot of the configuration after every 500 changes while this host
 * coordinates the membership. The host calls {@link #writeIfDue()} from one thread.
 */
public final class SnapshotWriter {

	/**
	 * The number of changes between two snapshots. It equals the number of changes that
	 * one read of the platform returns, so a new host usually needs one read after the
	 * snapshot.
	 */
	static final long INTERVAL_CHANGES = 500;

	private final ConfigurationView view;

	private final SnapshotStore store;

	private final BooleanSupplier isCoordinator;

	private long newestSnapshotSequence;

	/**
	 * Creates the writer.
	 * @param view the configuration in force
	 * @param store the store that snapshots are written to
	 * @param isCoordinator returns whether this host coordinates the membership now
	 */
	public SnapshotWriter(ConfigurationView view, SnapshotStore store, BooleanSupplier isCoordinator) {
		this.view = view;
		this.store = store;
		this.isCoordinator = isCoordinator;
	}

	/**
	 * Writes a snapshot if the newest one is at least 500 changes old and this host is
	 * the coordinator.
	 * @throws ChangeLog.UnavailableException if the platform gave no answer
	 */
	public void writeIfDue() {
		Configuration configuration = this.view.current();
		if (configuration.sequence() < this.newestSnapshotSequence + INTERVAL_CHANGES
				|| !this.isCoordinator.getAsBoolean()) {
			return;
		}
		this.newestSnapshotSequence = this.store.newest().map(Configuration::sequence).orElse(0L);
		if (configuration.sequence() >= this.newestSnapshotSequence + INTERVAL_CHANGES) {
			this.store.put(configuration);
			this.newestSnapshotSequence = configuration.sequence();
		}
	}

}
