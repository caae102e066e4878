package org.plantainspur.core.desired;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the newest desired state that this host knows. Each request loads it once;
 * writers replace it atomically, and by an older version only if the store holds that one
 * after it has been restored from a copy.
 */
public final class DesiredStateView {

	private final AtomicReference<DesiredState> current = new AtomicReference<>(DesiredState.NONE);

	/**
	 * Returns the newest state.
	 * @return the state, {@link DesiredState#NONE} before the first one
	 */
	public DesiredState current() {
		return this.current.get();
	}

	/**
	 * Replaces the current state, also by an older one, which an operator has put in
	 * force again.
	 * @param state the state that was read
	 */
	public void replace(DesiredState state) {
		this.current.set(state);
	}

	/**
	 * Replaces the current state if the given one is newer.
	 * @param state the state that was read
	 * @return whether the current state was replaced
	 */
	public boolean offer(DesiredState state) {
		DesiredState previous = this.current.get();
		while (state.version() > previous.version()) {
			if (this.current.compareAndSet(previous, state)) {
				return true;
			}
			previous = this.current.get();
		}
		return false;
	}

}
