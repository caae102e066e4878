package org.plantainspur.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * Follows the sequence of changes and puts each new configuration in force. Only one
 * thread may call {@link #poll()}; {@link #adopt(PeerMessage.ConfigurationChanges)} may
 * be called by any.
 */
public final class ConfigurationFollower {

	private static final long NEVER = Long.MIN_VALUE;

	/**
	 * The changes kept for peers that ask. A peer that is further behind gets the whole
	 * state; at 4,400 changes a day this covers more than 2 hours.
	 */
	static final int HISTORY = 500;

	private final ChangeLog log;

	private final ConfigurationView view;

	private final SnapshotStore snapshots;

	private final Clock clock;

	private final AtomicLong lastReadMillis = new AtomicLong(NEVER);

	// Held only while changes are applied, never during a read of the platform.
	private final Object advancing = new Object();

	private final AtomicReference<List<ChangeEntry>> history = new AtomicReference<>(List.of());

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	/**
	 * Creates a follower.
	 * @param log the sequence of changes
	 * @param view where configurations are put in force
	 * @param snapshots where a new host starts from
	 * @param clock the process clock
	 */
	public ConfigurationFollower(ChangeLog log, ConfigurationView view, SnapshotStore snapshots, Clock clock) {
		this.log = log;
		this.view = view;
		this.snapshots = snapshots;
		this.clock = clock;
	}

	/**
	 * Reads all new changes and puts them in force.
	 * @throws ChangeLog.UnavailableException if the platform gave no answer
	 */
	public void poll() {
		long asked = this.clock.millis();
		long head = this.log.head();
		if (this.view.current().sequence() == 0 && head > 0) {
			this.snapshots.newest().ifPresent(this::start);
		}
		while (this.view.current().sequence() < head) {
			List<ChangeEntry> entries = this.log.read(this.view.current().sequence());
			if (entries.isEmpty()) {
				return;
			}
			advance(entries);
		}
		this.lastReadMillis.set(asked);
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * Puts changes in force that a peer has read from the platform. Every change that a
	 * peer has in force is durable, so this never needs to be taken back; it is no
	 * evidence that the configuration is current.
	 * @param changes the peer's answer
	 */
	public void adopt(PeerMessage.ConfigurationChanges changes) {
		ConfigurationState base = changes.base();
		synchronized (this.advancing) {
			if (base != null && base.sequence() > this.view.current().sequence()) {
				this.history.set(List.of());
				this.view.advance(Configuration.restore(base));
			}
			advance(changes.entries());
		}
	}

	/**
	 * Answers a peer that asks for changes.
	 * @param request the peer's request
	 * @return the changes after its sequence number, or the whole state if they are no
	 * longer kept
	 */
	public PeerMessage.ConfigurationChanges answer(PeerMessage.ConfigurationRequest request) {
		List<ChangeEntry> kept = this.history.get();
		Configuration current = this.view.current();
		if (request.after() >= current.sequence()) {
			return new PeerMessage.ConfigurationChanges(null, List.of());
		}
		if (kept.isEmpty() || kept.get(0).sequence() > request.after() + 1) {
			return new PeerMessage.ConfigurationChanges(current.state(), List.of());
		}
		return new PeerMessage.ConfigurationChanges(null,
				kept.stream().filter((entry) -> entry.sequence() > request.after()).toList());
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

	/**
	 * Returns the instant before the last complete read.
	 * @return the instant, {@link Long#MIN_VALUE} if there was none
	 */
	public long lastReadMillis() {
		return this.lastReadMillis.get();
	}

	/**
	 * Registers a listener that is called after each complete read, on the reading
	 * thread.
	 * @param listener the listener
	 */
	public void listen(Runnable listener) {
		this.listeners.add(listener);
	}

	private void start(Configuration snapshot) {
		synchronized (this.advancing) {
			if (this.view.advance(snapshot)) {
				this.history.set(List.of());
			}
		}
	}

	private void advance(List<ChangeEntry> entries) {
		synchronized (this.advancing) {
			Configuration next = this.view.current();
			List<ChangeEntry> kept = new ArrayList<>(this.history.get());
			for (ChangeEntry entry : entries) {
				if (entry.sequence() > next.sequence()) {
					next = next.apply(entry);
					kept.add(entry);
				}
			}
			this.history.set(List.copyOf(kept.subList(Math.max(0, kept.size() - HISTORY), kept.size())));
			this.view.advance(next);
		}
	}

}
