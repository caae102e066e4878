package org.plantainspur.core.proxy;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of all request and response bodies that a host holds in memory at one
 * time. A body may grow only while it is not larger than what would be left for others,
 * so that several targets that send without end together take most of the budget, but
 * never all of it. Thread-safe.
 */
public final class BufferBudget {

	/**
	 * A body up to this size is admitted while the budget is not used up, whatever else
	 * is held.
	 */
	static final int SMALL_BODY_BYTES = 64 << 10;

	private final long capacityBytes;

	private final AtomicLong usedBytes = new AtomicLong();

	/**
	 * Creates a budget of which nothing is used.
	 * @param capacityBytes the number of bytes that may be held at one time
	 */
	public BufferBudget(long capacityBytes) {
		this.capacityBytes = capacityBytes;
	}

	/**
	 * Takes bytes for a body.
	 * @param bytes the number of additional bytes, at least 0
	 * @param heldBytes the number of bytes that the body holds after the call
	 * @return whether the bytes may be held; if so, they must be given back by
	 * {@link #release}
	 */
	public boolean tryTake(int bytes, long heldBytes) {
		long used = this.usedBytes.get();
		while (isAllowed(used + bytes, heldBytes)) {
			if (this.usedBytes.compareAndSet(used, used + bytes)) {
				return true;
			}
			used = this.usedBytes.get();
		}
		return false;
	}

	private boolean isAllowed(long usedAfter, long heldBytes) {
		long free = this.capacityBytes - usedAfter;
		return free >= 0 && (heldBytes <= SMALL_BODY_BYTES || heldBytes <= free);
	}

	/**
	 * Gives back bytes.
	 * @param bytes a number of bytes that was taken
	 */
	public void release(long bytes) {
		this.usedBytes.addAndGet(-bytes);
	}

	/**
	 * Returns how much is in use.
	 * @return the number of bytes that are taken and not given back
	 */
	public long usedBytes() {
		return this.usedBytes.get();
	}

}
