package org.plantainspur.core.routing;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.time.Clock;

/**
 * Admits the requests of one service at this host.
 */
final class ServiceAdmission {

	/**
	 * The interval at which waiting requests check the limit, since it can rise without a
	 * request ending at this host.
	 */
	private static final long RECHECK_MILLIS = 20;

	/** Each new duration changes the mean by 1/16 of the difference. */
	private static final int MEAN_SMOOTHING = 16;

	private final String service;

	private final Clock clock;

	private final ConcurrencyLimit limit;

	private final AtomicInteger inUse = new AtomicInteger();

	private final AtomicInteger waiting = new AtomicInteger();

	/** The mean time in microseconds that a request holds a permit; 0 until one ended. */
	private final AtomicLong meanMicros = new AtomicLong();

	private final FairQueue<Waiter> queue = new FairQueue<>();

	ServiceAdmission(String service, Clock clock, ConcurrencyLimit limit) {
		this.service = service;
		this.clock = clock;
		this.limit = limit;
	}

	int waiting() {
		return this.waiting.get();
	}

	AdmissionQueue.Admission admit(ClientAccount account, long deadlineMillis) {
		// The mean duration does not count here: if a stall had raised it above all
		// deadlines, no request would run that could lower it again.
		if (this.clock.millis() >= deadlineMillis) {
			return new AdmissionQueue.Admission.Rejected(meanMillis());
		}
		if (this.waiting.get() == 0 && tryTake()) {
			return admittedWithPermit();
		}
		Waiter waiter = new Waiter(Thread.currentThread());
		FairQueue.Ticket<Waiter> ticket;
		synchronized (this.queue) {
			ticket = this.queue.add(account, waiter);
			if (ticket == null) {
				return new AdmissionQueue.Admission.Rejected(estimateMillis(FairQueue.MAX_PER_ACCOUNT));
			}
			long waitMillis = estimateMillis(this.queue.countAhead(ticket) + 1);
			if (this.clock.millis() + waitMillis + meanMillis() > deadlineMillis) {
				this.queue.remove(ticket);
				return new AdmissionQueue.Admission.Rejected(waitMillis);
			}
			this.waiting.incrementAndGet();
		}
		return await(waiter, ticket, deadlineMillis);
	}

	private AdmissionQueue.Admission await(Waiter waiter, FairQueue.Ticket<Waiter> ticket, long deadlineMillis) {
		while (true) {
			admitWaiters();
			if (waiter.admitted.get()) {
				return admittedWithPermit();
			}
			long remaining = deadlineMillis - meanMillis() - this.clock.millis();
			if (remaining <= 0 || Thread.currentThread().isInterrupted()) {
				return stopWaiting(waiter, ticket);
			}
			LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(Math.min(remaining, RECHECK_MILLIS)));
		}
	}

	private AdmissionQueue.Admission stopWaiting(Waiter waiter, FairQueue.Ticket<Waiter> ticket) {
		synchronized (this.queue) {
			if (!waiter.admitted.get()) {
				this.queue.remove(ticket);
				this.waiting.decrementAndGet();
				return new AdmissionQueue.Admission.Rejected(estimateMillis(this.queue.size() + 1));
			}
		}
		release();
		return new AdmissionQueue.Admission.Rejected(meanMillis());
	}

	private void admitWaiters() {
		synchronized (this.queue) {
			while (this.queue.size() > 0 && tryTake()) {
				Waiter next = this.queue.poll();
				if (next != null) {
					this.waiting.decrementAndGet();
					next.admitted.set(true);
					LockSupport.unpark(next.thread);
				}
			}
		}
	}

	private boolean tryTake() {
		int allowed = this.limit.limit(this.service, this.inUse.get());
		return this.inUse.getAndUpdate((count) -> (count < allowed) ? count + 1 : count) < allowed;
	}

	private AdmissionQueue.Admission admittedWithPermit() {
		long startMillis = this.clock.millis();
		AtomicBoolean unreleased = new AtomicBoolean(true);
		return new AdmissionQueue.Admission.Admitted(() -> {
			if (unreleased.getAndSet(false)) {
				recordDuration(this.clock.millis() - startMillis);
				release();
			}
		});
	}

	private void release() {
		this.inUse.decrementAndGet();
		if (this.waiting.get() > 0) {
			admitWaiters();
		}
	}

	private void recordDuration(long millis) {
		this.meanMicros
			.updateAndGet((mean) -> (mean == 0) ? millis * 1000 : mean + (millis * 1000 - mean) / MEAN_SMOOTHING);
	}

	private long meanMillis() {
		return this.meanMicros.get() / 1000;
	}

	// Returns the time in milliseconds until that many requests have been served.
	private long estimateMillis(int requests) {
		return requests * meanMillis() / Math.max(1, this.limit.limit(this.service, this.inUse.get()));
	}

	private static final class Waiter {

		private final Thread thread;

		private final AtomicBoolean admitted = new AtomicBoolean();

		Waiter(Thread thread) {
			this.thread = thread;
		}

	}

}
