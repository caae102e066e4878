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
 * thread may call {@link #poll()}; {@link #adopt(PeerMessage)} may be called by any.
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

	private final ConfigurationOffer offer;

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
		this.offer = new ConfigurationOffer(clock);
	}

	/**
	 * Reads all new changes and puts them in force.
	 * @throws ChangeLog.UnavailableException if the platform gave no answer
	 */
	public void poll() {
		long asked = this.clock.millis();
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
		this.lastReadMillis.set(asked);
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * Puts in force what a peer has read from the platform. Every change that a peer has
	 * in force is durable, so this never needs to be taken back; it is no evidence that
	 * the configuration is current.
	 * @param answer the peer's answer to a request; other messages have no effect
	 */
	public void adopt(PeerMessage answer) {
		if (answer instanceof PeerMessage.ConfigurationChanges changes) {
			advance(changes.entries());
		}
	}

	/**
	 * Puts a peer's whole state in force if it is newer. What holds for changes of a peer
	 * holds for its state.
	 * @param state the peer's state
	 */
	void adopt(ConfigurationState state) {
		if (state.sequence() > this.view.current().sequence()) {
			start(Configuration.restore(state));
		}
	}

	/**
	 * Answers a peer that asks for changes.
	 * @param request the peer's request
	 * @return the changes after its sequence number, or the first part of the whole state
	 * if they are no longer kept
	 */
	public PeerMessage answer(PeerMessage.ConfigurationRequest request) {
		List<ChangeEntry> kept = this.history.get();
		Configuration current = this.view.current();
		if (request.after() >= current.sequence()) {
			return new PeerMessage.ConfigurationChanges(List.of());
		}
		if (kept.isEmpty() || kept.get(0).sequence() > request.after() + 1) {
			return new PeerMessage.PartOfConfiguration(this.offer.first(request.after(), current));
		}
		return new PeerMessage.ConfigurationChanges(
				kept.stream().filter((entry) -> entry.sequence() > request.after()).toList());
	}

	/**
	 * Answers a peer that fetches the whole state.
	 * @param request the peer's request
	 * @return the part, or the first part of a newer state
	 */
	public PeerMessage answer(PeerMessage.ConfigurationPartRequest request) {
		return new PeerMessage.PartOfConfiguration(
				this.offer.part(request.sequence(), request.number(), this.view.current()));
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

	private void readSnapshot() {
		try {
			this.snapshots.newest().ifPresent(this::start);
		}
		catch (ChangeLog.UnavailableException ex) {
			// The object store can be down while the table is not; the whole sequence
			// leads to the same configuration.
			return;
		}
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
