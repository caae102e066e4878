package org.plantainspur.core.desired;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The newest desired state that this host knows. A request loads it once; a writer
 * replaces it whole and never by an older version.
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
	 * Takes a state if it is newer than the present one.
	 * @param state the state
	 * @return whether it was taken
	 */
	public boolean offer(DesiredState state) {
		DesiredState before = this.current.get();
		while (state.version() > before.version()) {
			if (this.current.compareAndSet(before, state)) {
				return true;
			}
			before = this.current.get();
		}
		return false;
	}

}
