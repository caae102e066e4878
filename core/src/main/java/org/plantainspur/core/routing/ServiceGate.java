package org.plantainspur.core.routing;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.time.Clock;

/**
 * The admission of one service at this host.
 */
final class ServiceGate {

	/** The limit can rise without a request ending here, so waiters look again. */
	private static final long LOOK_AGAIN_MILLIS = 20;

	private static final int DURATION_SHARE = 16;

	private final String service;

	private final Clock clock;

	private final ConcurrencyLimit limit;

	private final AtomicInteger inUse = new AtomicInteger();

	private final AtomicInteger waiting = new AtomicInteger();

	/** The mean time that a request holds a permit, in thousandths of milliseconds. */
	private final AtomicLong meanMicros = new AtomicLong();

	private final FairOrder<Waiter> order = new FairOrder<>();

	ServiceGate(String service, Clock clock, ConcurrencyLimit limit) {
		this.service = service;
		this.clock = clock;
		this.limit = limit;
	}

	int waiting() {
		return this.waiting.get();
	}

	AdmissionQueue.Admission admit(ClientAccount account, long deadlineMillis) {
		// The mean is not asked here: after a stall nothing would run that could lower
		// it.
		if (this.clock.millis() >= deadlineMillis) {
			return new AdmissionQueue.Admission.Rejected(meanMillis());
		}
		if (this.waiting.get() == 0 && tryTake()) {
			return admitted();
		}
		Waiter waiter = new Waiter(Thread.currentThread());
		FairOrder.Ticket<Waiter> ticket;
		synchronized (this.order) {
			ticket = this.order.add(account, waiter);
			if (ticket == null) {
				return new AdmissionQueue.Admission.Rejected(estimate(FairOrder.MAX_PER_ACCOUNT));
			}
			long wait = estimate(this.order.ahead(ticket) + 1);
			if (this.clock.millis() + wait + meanMillis() > deadlineMillis) {
				this.order.remove(ticket);
				return new AdmissionQueue.Admission.Rejected(wait);
			}
			this.waiting.incrementAndGet();
		}
		return await(waiter, ticket, deadlineMillis);
	}

	private AdmissionQueue.Admission await(Waiter waiter, FairOrder.Ticket<Waiter> ticket, long deadlineMillis) {
		while (true) {
			serveWaiters();
			if (waiter.admitted.get()) {
				return admitted();
			}
			long left = deadlineMillis - meanMillis() - this.clock.millis();
			if (left <= 0 || Thread.currentThread().isInterrupted()) {
				return giveUp(waiter, ticket);
			}
			LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(Math.min(left, LOOK_AGAIN_MILLIS)));
		}
	}

	private AdmissionQueue.Admission giveUp(Waiter waiter, FairOrder.Ticket<Waiter> ticket) {
		synchronized (this.order) {
			if (!waiter.admitted.get()) {
				this.order.remove(ticket);
				this.waiting.decrementAndGet();
				return new AdmissionQueue.Admission.Rejected(estimate(this.order.size() + 1));
			}
		}
		release();
		return new AdmissionQueue.Admission.Rejected(meanMillis());
	}

	private void serveWaiters() {
		synchronized (this.order) {
			while (this.order.size() > 0 && tryTake()) {
				Waiter next = this.order.next();
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

	private AdmissionQueue.Admission admitted() {
		long since = this.clock.millis();
		AtomicBoolean open = new AtomicBoolean(true);
		return new AdmissionQueue.Admission.Admitted(() -> {
			if (open.getAndSet(false)) {
				took(this.clock.millis() - since);
				release();
			}
		});
	}

	private void release() {
		this.inUse.decrementAndGet();
		if (this.waiting.get() > 0) {
			serveWaiters();
		}
	}

	private void took(long millis) {
		this.meanMicros
			.updateAndGet((mean) -> (mean == 0) ? millis * 1000 : mean + (millis * 1000 - mean) / DURATION_SHARE);
	}

	private long meanMillis() {
		return this.meanMicros.get() / 1000;
	}

	// The time until that many requests have been served.
	private long estimate(int requests) {
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
