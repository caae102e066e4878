package org.plantainspur.adapters.peer;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Creates the executors and thread factories of the peer protocol. All threads are named
 * daemon threads.
 */
final class PeerThreads {

	private static final long IDLE_TIMEOUT_SECONDS = 30;

	private PeerThreads() {
	}

	static ThreadFactory namedThreads(String name) {
		AtomicInteger count = new AtomicInteger();
		return (task) -> {
			Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
			thread.setDaemon(true);
			return thread;
		};
	}

	static ScheduledExecutorService watchdog(String name) {
		ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, namedThreads(name));
		executor.setRemoveOnCancelPolicy(true);
		return executor;
	}

	static ExecutorService boundedPool(String name, int threads, int queueCapacity) {
		ThreadPoolExecutor executor = new ThreadPoolExecutor(threads, threads, IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS,
				new ArrayBlockingQueue<>(queueCapacity), namedThreads(name));
		executor.allowCoreThreadTimeOut(true);
		return executor;
	}

}
