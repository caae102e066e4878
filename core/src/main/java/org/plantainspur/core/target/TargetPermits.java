package org.plantainspur.core.target;

/**
 * Decides whether a request may be sent to a target as far as the target's own statements
 * are concerned.
 */
public interface TargetPermits {

	/** Permits every request. */
	TargetPermits ALL = new TargetPermits() {

		@Override
		public boolean available(ObservedTarget target) {
			return true;
		}

		@Override
		public boolean isWithdrawn(ObservedTarget target) {
			return false;
		}

		@Override
		public boolean tryTake(ObservedTarget target) {
			return true;
		}

		@Override
		public long retryAfterMs(String service) {
			return 0;
		}

	};

	/**
	 * Returns whether a request may be sent to a target now.
	 * @param target the target
	 * @return {@code false} if {@link #tryTake} would fail
	 */
	boolean available(ObservedTarget target);

	/**
	 * Returns whether a permit that was taken holds no longer, since the target has said
	 * that it is leaving, or asked for a pause.
	 * @param target the target
	 * @return {@code true} if a request that waits for a connection must not be sent
	 */
	boolean isWithdrawn(ObservedTarget target);

	/**
	 * Takes the permit for one request.
	 * @param target the target
	 * @return whether the request may be sent to it
	 */
	boolean tryTake(ObservedTarget target);

	/**
	 * Returns when the caller of a request that found no permit should come back. Each
	 * call hands out a later time, so that the callers come back one after another.
	 * @param service the service's name
	 * @return the delay in milliseconds, 0 if no target of the service withholds permits
	 */
	long retryAfterMs(String service);

}
