package org.plantainspur.core.configuration;

import java.util.Optional;

/**
 * Keeps the newest snapshot of the sequence in the platform's object store. A snapshot
 * only shortens the start of a new host; an older one replacing a newer one does no harm.
 */
public interface SnapshotStore {

	/**
	 * Reads the newest snapshot.
	 * @return the snapshot, if there is one
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
	 * Returns a store that is always empty.
	 * @return the store
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
