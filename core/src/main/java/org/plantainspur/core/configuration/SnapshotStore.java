package org.plantainspur.core.configuration;

import java.util.Optional;

/**
 * Stores the newest snapshot of the configuration in the platform's object store. A
 * snapshot only shortens the start of a new host, so it is harmless if an older one
 * replaces a newer one.
 */
public interface SnapshotStore {

	/**
	 * Reads the newest snapshot.
	 * @return the snapshot, or empty if none was stored
	 * @throws ChangeLog.UnavailableException if the platform gave no answer
	 */
	Optional<Configuration> newest();

	/**
	 * Replaces the newest snapshot.
	 * @param configuration the configuration to store
	 * @throws ChangeLog.UnavailableException if the platform gave no answer
	 */
	void put(Configuration configuration);

	/**
	 * Returns a store that is always empty and ignores writes.
	 * @return the empty store
	 */
	static SnapshotStore none() {
		return new SnapshotStore() {

			@Override
			public Optional<Configuration> newest() {
				return Optional.empty();
			}

			@Override
			public void put(Configuration configuration) {
			}

		};
	}

}
