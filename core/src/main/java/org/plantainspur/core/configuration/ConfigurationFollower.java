package org.plantainspur.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * Reads new changes from the platform or from peers, puts each new configuration in force
 * and passes changes on to peers. Only one thread may call {@link #poll()};
 * {@link #adopt(PeerMessage)} may be called by any.
 */
public final class ConfigurationFollower {

	private static final long NEVER = Long.MIN_VALUE;

	/**
	 * The maximum number of changes that are kept for peers. A peer that lacks more
	 * changes gets the whole state. At 4,400 changes a day this number covers more than 2
	 * hours.
	 */
	static final int MAXIMUM_HISTORY_ENTRIES = 500;

	private final ChangeLog log;

	private final ConfigurationView view;

	private final SnapshotStore snapshots;

	private final Clock clock;

	private final AtomicLong lastReadMillis = new AtomicLong(NEVER);

	// Guards the application of changes. It is not held during a read of the platform.
	private final Object applyLock = new Object();

	private final AtomicReference<List<ChangeEntry>> history = new AtomicReference<>(List.of());

	private final ConfigurationPartCache partCache;

	private final List<Runnable> readListeners = new CopyOnWriteArrayList<>();

	/**
	 * Creates a follower.
	 * @param log the log of changes to follow
	 * @param view holds the configuration in force
	 * @param snapshots the snapshots that a new host starts from
	 * @param clock the process clock
	 */
	public ConfigurationFollower(ChangeLog log, ConfigurationView view, SnapshotStore snapshots, Clock clock) {
		this.log = log;
		this.view = view;
		this.snapshots = snapshots;
		this.clock = clock;
		this.partCache = new ConfigurationPartCache(clock);
	}

	/**
	 * Reads all new changes and puts them in force.
	 * @throws ChangeLog.UnavailableException if the platform gave no answer
	 */
	public void poll() {
		long startMillis = this.clock.millis();
		long head = this.log.head();
		if (this.view.current().sequence() == 0 && head > 0) {
			readSnapshot();
		}
		while (this.view.current().sequence() < head) {
			List<ChangeEntry> entries = this.log.read(this.view.current().sequence());
			if (entries.isEmpty()) {
				return;
			}
			advance(entries);
		}
		this.lastReadMillis.set(startMillis);
		this.readListeners.forEach(Runnable::run);
	}

	/**
	 * Applies the changes that a peer sends. Every change that a peer has in force is
	 * durable, so it never needs to be undone. The changes are no evidence that the
	 * configuration is current.
	 * @param answer the peer's answer to a request; other messages have no effect
	 */
	public void adopt(PeerMessage answer) {
		if (answer instanceof PeerMessage.ConfigurationChanges changes) {
			advance(changes.entries());
		}
	}

	/**
	 * Puts the whole state of a peer in force if it is newer. As with changes from a
	 * peer, the state is durable but no evidence that the configuration is current.
	 * @param state the configuration state of the peer
	 */
	void adopt(ConfigurationState state) {
		if (state.sequence() > this.view.current().sequence()) {
			replaceWith(Configuration.restore(state));
		}
	}

	/**
	 * Answers a peer that requests changes.
	 * @param request the peer's request
	 * @return the changes after the sequence number of the peer, or the first part of the
	 * whole state if these changes are no longer kept
	 */
	public PeerMessage answer(PeerMessage.ConfigurationRequest request) {
		List<ChangeEntry> kept = this.history.get();
		Configuration current = this.view.current();
		if (request.after() >= current.sequence()) {
			return new PeerMessage.ConfigurationChanges(List.of());
		}
		if (kept.isEmpty() || kept.get(0).sequence() > request.after() + 1) {
			return new PeerMessage.PartOfConfiguration(this.partCache.firstPart(request.after(), current));
		}
		return new PeerMessage.ConfigurationChanges(
				kept.stream().filter((entry) -> entry.sequence() > request.after()).toList());
	}

	/**
	 * Answers a peer that requests a part of the whole state.
	 * @param request the peer's request
	 * @return the requested part, or the first part of a newer state if that state is no
	 * longer cached
	 */
	public PeerMessage answer(PeerMessage.ConfigurationPartRequest request) {
		return new PeerMessage.PartOfConfiguration(
				this.partCache.part(request.sequence(), request.number(), this.view.current()));
	}

	/**
	 * Returns the time since the start of the last complete read of the platform.
	 * @return the time in milliseconds, {@link Long#MAX_VALUE} if there was no complete
	 * read
	 */
	public long readAgeMillis() {
		long last = this.lastReadMillis.get();
		return (last == NEVER) ? Long.MAX_VALUE : this.clock.millis() - last;
	}

	/**
	 * Returns the instant just before the last complete read of the platform began.
	 * @return the reading of the process clock in milliseconds, {@link Long#MIN_VALUE} if
	 * there was no complete read
	 */
	public long lastReadMillis() {
		return this.lastReadMillis.get();
	}

	/**
	 * Registers a listener that is called after each complete read, on the reading
	 * thread.
	 * @param listener the listener
	 */
	public void addReadListener(Runnable listener) {
		this.readListeners.add(listener);
	}

	private void readSnapshot() {
		try {
			this.snapshots.newest().ifPresent(this::replaceWith);
		}
		catch (ChangeLog.UnavailableException ex) {
			// The object store can be unavailable while the table of changes is
			// available. Without the snapshot all changes are read, which gives the
			// same configuration.
			return;
		}
	}

	private void replaceWith(Configuration newer) {
		synchronized (this.applyLock) {
			if (this.view.advance(newer)) {
				this.history.set(List.of());
			}
		}
	}

	private void advance(List<ChangeEntry> entries) {
		synchronized (this.applyLock) {
			Configuration next = this.view.current();
			List<ChangeEntry> kept = new ArrayList<>(this.history.get());
			for (ChangeEntry entry : entries) {
				if (entry.sequence() > next.sequence()) {
					next = next.apply(entry);
					kept.add(entry);
				}
			}
			this.history
				.set(List.copyOf(kept.subList(Math.max(0, kept.size() - MAXIMUM_HISTORY_ENTRIES), kept.size())));
			this.view.advance(next);
		}
	}

}
