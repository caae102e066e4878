package org.plantainspur.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.plantainspur.core.time.Pause;

/**
 * Writes changes that are based on the versions of the entities that their author saw.
 * For example <pre>
 * Configuration base = author.read();
 * Outcome outcome = author.write("change-41", new Change.PutAccount(account), base);
 * </pre>
 */
public final class ChangeAuthor {

	/**
	 * The most appends for one change. Every failed one means that another change was
	 * written or a reply was lost.
	 */
	static final int MAXIMUM_TRIES = 8;

	/**
	 * The longest pause before the first repeated try; doubled at each further one. Two
	 * operators who write at once are apart after a few reads of the platform, which take
	 * up to 60 ms from the far region.
	 */
	static final long FIRST_PAUSE_MILLIS = 50;

	/**
	 * The longest pause before any try, so that all tries together pause for at most
	 * 3,550 ms.
	 */
	static final long MAXIMUM_PAUSE_MILLIS = 1000;

	private final ChangeLog log;

	private final Supplier<Configuration> newest;

	private final Pause pause;

	private final RandomGenerator random;

	/**
	 * Creates an author.
	 * @param log the sequence of changes
	 * @param newest reads the newest configuration from the platform; throws
	 * {@link ChangeLog.UnavailableException}
	 * @param pause waits between tries
	 * @param random spreads the tries of several authors
	 */
	public ChangeAuthor(ChangeLog log, Supplier<Configuration> newest, Pause pause, RandomGenerator random) {
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
	 * other entities do not matter.
	 * @param changeId the change's identity, unique and never used for another change
	 * @param change the change
	 * @param base the configuration that the author saw
	 * @return the outcome
	 */
	public Outcome write(String changeId, Change change, Configuration base) {
		boolean maybeWritten = false;
		String reason = "the head moved at every one of " + MAXIMUM_TRIES + " tries";
		for (int i = 0; i < MAXIMUM_TRIES; i++) {
			pauseBefore(i);
			try {
				OptionalLong found = maybeWritten ? this.log.find(changeId) : OptionalLong.empty();
				if (found.isPresent()) {
					return new Outcome.Written(found.getAsLong());
				}
				Configuration present = this.newest.get();
				List<Conflict> conflicts = conflicts(change, base, present);
				if (!conflicts.isEmpty()) {
					return conflictOrWritten(changeId, conflicts);
				}
				ChangeLog.AppendResult result = this.log.append(present.sequence(), changeId, change);
				if (result instanceof ChangeLog.AppendResult.Appended appended) {
					return new Outcome.Written(appended.sequence());
				}
				if (result instanceof ChangeLog.AppendResult.Unknown unknown) {
					maybeWritten = true;
					reason = unknown.reason();
				}
			}
			catch (ChangeLog.UnavailableException ex) {
				reason = String.valueOf(ex.getMessage());
			}
		}
		return maybeWritten ? new Outcome.Unknown(changeId, reason) : new Outcome.NotWritten(reason);
	}

	private void pauseBefore(int earlierTries) {
		if (earlierTries > 0) {
			long longest = Math.min(MAXIMUM_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << (earlierTries - 1));
			this.pause.pause(this.random.nextLong(longest / 2, longest + 1));
		}
	}

	/**
	 * Settles an earlier unknown outcome.
	 * @param changeId the change's identity
	 * @return its sequence number if it was written
	 * @throws ChangeLog.UnavailableException if the platform gave no answer
	 */
	public OptionalLong find(String changeId) {
		return this.log.find(changeId);
	}

	// A write whose reply was lost may itself have moved the versions. An append names
	// the head it follows, so one that was not found after a newer change can never
	// appear.
	private Outcome conflictOrWritten(String changeId, List<Conflict> conflicts) {
		OptionalLong found = this.log.find(changeId);
		return found.isPresent() ? new Outcome.Written(found.getAsLong()) : new Outcome.Conflicting(conflicts);
	}

	private static List<Conflict> conflicts(Change change, Configuration base, Configuration present) {
		List<Conflict> conflicts = new ArrayList<>();
		for (String entity : entities(change)) {
			if (base.version(entity) != present.version(entity)) {
				conflicts.add(new Conflict(entity, base.version(entity), present.version(entity)));
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
	 * An entity that has changed since the base.
	 *
	 * @param entity the entity's name
	 * @param baseVersion its version in the base
	 * @param presentVersion its version now
	 */
	public record Conflict(String entity, long baseVersion, long presentVersion) {
	}

	/**
	 * The outcome of a write.
	 */
	public sealed interface Outcome {

		/**
		 * The change was written once.
		 *
		 * @param sequence its sequence number
		 */
		record Written(long sequence) implements Outcome {
		}

		/**
		 * Nothing was written, since entities have changed.
		 *
		 * @param conflicts every entity that has changed
		 */
		record Conflicting(List<Conflict> conflicts) implements Outcome {

			public Conflicting {
				conflicts = List.copyOf(conflicts);
			}
		}

		/**
		 * Nothing was written and nothing will be.
		 *
		 * @param reason what prevented it
		 */
		record NotWritten(String reason) implements Outcome {
		}

		/**
		 * The change may have been written.
		 *
		 * @param changeId the identity to check later
		 * @param reason what went wrong
		 */
		record Unknown(String changeId, String reason) implements Outcome {
		}

	}

}
