package org.plantainspur.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.plantainspur.core.time.Pause;

/**
 * Writes changes with optimistic concurrency control: a change is written only if its
 * entities still have the versions that its author saw. For example <pre>
 * Configuration base = writer.read();
 * Outcome outcome = writer.write("change-41", new Change.PutAccount(account), base);
 * </pre>
 */
public final class ChangeWriter {

	/**
	 * The maximum number of tries for one change. A try fails if another change was
	 * written first, a reply was lost or the platform was unavailable.
	 */
	static final int MAXIMUM_TRIES = 8;

	/**
	 * The longest pause before the second try; it doubles with each further try. The
	 * pauses separate operators who write at the same time: a read of the platform takes
	 * up to 60 ms from another region.
	 */
	static final long FIRST_PAUSE_MILLIS = 50;

	/**
	 * The longest pause before any try. All pauses together take at most 3,550 ms.
	 */
	static final long MAXIMUM_PAUSE_MILLIS = 1000;

	private final ChangeLog log;

	private final Supplier<Configuration> newest;

	private final Pause pause;

	private final RandomGenerator random;

	/**
	 * Creates a writer.
	 * @param log the log that changes are appended to
	 * @param newest reads the newest configuration from the platform, or throws
	 * {@link ChangeLog.UnavailableException}
	 * @param pause pauses the calling thread between tries
	 * @param random chooses the length of pauses, so that the tries of several writers
	 * differ in time
	 */
	public ChangeWriter(ChangeLog log, Supplier<Configuration> newest, Pause pause, RandomGenerator random) {
		this.log = log;
		this.newest = newest;
		this.pause = pause;
		this.random = random;
	}

	/**
	 * Reads the newest configuration.
	 * @return the configuration to base a change on
	 * @throws ChangeLog.UnavailableException if the platform gave no answer
	 */
	public Configuration read() {
		return this.newest.get();
	}

	/**
	 * Writes a change unless one of its entities has changed since the base. Changes of
	 * other entities are no conflict.
	 * @param changeId the identifier of the change, never used for another change
	 * @param change the change to write
	 * @param base the configuration that the change is based on
	 * @return whether the change was written, and otherwise why not
	 */
	public Outcome write(String changeId, Change change, Configuration base) {
		boolean possiblyWritten = false;
		String reason = "another change was written first at each of " + MAXIMUM_TRIES + " tries";
		for (int i = 0; i < MAXIMUM_TRIES; i++) {
			pauseBeforeTry(i);
			try {
				OptionalLong found = possiblyWritten ? this.log.find(changeId) : OptionalLong.empty();
				if (found.isPresent()) {
					return new Outcome.Written(found.getAsLong());
				}
				Configuration current = this.newest.get();
				List<Conflict> conflicts = conflicts(change, base, current);
				if (!conflicts.isEmpty()) {
					return conflictOrWritten(changeId, conflicts);
				}
				ChangeLog.AppendResult result = this.log.append(current.sequence(), changeId, change);
				if (result instanceof ChangeLog.AppendResult.Appended appended) {
					return new Outcome.Written(appended.sequence());
				}
				if (result instanceof ChangeLog.AppendResult.Unknown unknown) {
					possiblyWritten = true;
					reason = unknown.reason();
				}
			}
			catch (ChangeLog.UnavailableException ex) {
				reason = String.valueOf(ex.getMessage());
			}
		}
		return possiblyWritten ? new Outcome.Unknown(changeId, reason) : new Outcome.NotWritten(reason);
	}

	private void pauseBeforeTry(int failedTries) {
		if (failedTries > 0) {
			long longest = Math.min(MAXIMUM_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << (failedTries - 1));
			this.pause.pause(this.random.nextLong(longest / 2, longest + 1));
		}
	}

	/**
	 * Looks up a change whose outcome was unknown.
	 * @param changeId the identifier of the change
	 * @return the sequence number of the change, or empty if it was not written
	 * @throws ChangeLog.UnavailableException if the platform gave no answer
	 */
	public OptionalLong find(String changeId) {
		return this.log.find(changeId);
	}

	// Looks the change up, since the different versions may come from an append of this
	// same change whose reply was lost. An append names the sequence number that it
	// follows, so one that is not found after a newer change was written will never be
	// applied.
	private Outcome conflictOrWritten(String changeId, List<Conflict> conflicts) {
		OptionalLong found = this.log.find(changeId);
		return found.isPresent() ? new Outcome.Written(found.getAsLong()) : new Outcome.Conflicting(conflicts);
	}

	private static List<Conflict> conflicts(Change change, Configuration base, Configuration current) {
		List<Conflict> conflicts = new ArrayList<>();
		for (String entity : entities(change)) {
			if (base.version(entity) != current.version(entity)) {
				conflicts.add(new Conflict(entity, base.version(entity), current.version(entity)));
			}
		}
		return conflicts;
	}

	private static List<String> entities(Change change) {
		List<String> names = new ArrayList<>(change.entities());
		// A key must not be issued for an account that was removed and created again.
		if (change instanceof Change.IssueKey issue) {
			names.add("account/" + issue.accountId());
		}
		return names;
	}

	/**
	 * An entity that another change has written since the base.
	 *
	 * @param entity the entity's name
	 * @param baseVersion its version in the base
	 * @param presentVersion its current version
	 */
	public record Conflict(String entity, long baseVersion, long presentVersion) {
	}

	/**
	 * The outcome of an attempt to write a change.
	 */
	public sealed interface Outcome {

		/**
		 * The change was written exactly once.
		 *
		 * @param sequence its sequence number
		 */
		record Written(long sequence) implements Outcome {
		}

		/**
		 * Nothing was written, since entities have changed since the base.
		 *
		 * @param conflicts every entity that has changed
		 */
		record Conflicting(List<Conflict> conflicts) implements Outcome {

			public Conflicting {
				conflicts = List.copyOf(conflicts);
			}
		}

		/**
		 * The change was not written and will not appear later.
		 *
		 * @param reason why the change was not written
		 */
		record NotWritten(String reason) implements Outcome {
		}

		/**
		 * The change may have been written.
		 *
		 * @param changeId the identifier for a later {@link ChangeWriter#find}
		 * @param reason why the outcome is unknown
		 */
		record Unknown(String changeId, String reason) implements Outcome {
		}

	}

}
