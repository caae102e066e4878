package org.plantainspur.core.store;

import java.util.PriorityQueue;
import java.util.function.Consumer;

import org.plantainspur.core.time.ManualClock;

/**
 * A scheduler whose tasks run when a test lets time pass.
 */
public final class ManualScheduler implements Scheduler {

	private final ManualClock clock;

	private final Consumer<Runnable> runner;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>();

	private int taskCount;

	/**
	 * Creates a scheduler whose tasks may fail the test.
	 * @param clock the clock that the scheduler advances
	 */
	public ManualScheduler(ManualClock clock) {
		this(clock, Runnable::run);
	}

	/**
	 * Creates a scheduler.
	 * @param clock the clock that the scheduler advances
	 * @param runner runs each task
	 */
	public ManualScheduler(ManualClock clock, Consumer<Runnable> runner) {
		this.clock = clock;
		this.runner = runner;
	}

	@Override
	public void after(long delayMs, Runnable task) {
		this.tasks.add(new Task(this.clock.millis() + delayMs, this.taskCount++, task));
	}

	/**
	 * Lets time pass and runs the tasks that become due, those of one moment in the order
	 * in which they were scheduled.
	 * @param milliseconds the time that passes
	 */
	public void runFor(long milliseconds) {
		long endMs = this.clock.millis() + milliseconds;
		while (!this.tasks.isEmpty() && this.tasks.peek().atMs() <= endMs) {
			Task next = this.tasks.remove();
			this.clock.advance(Math.max(0, next.atMs() - this.clock.millis()));
			this.runner.accept(next.work());
		}
		this.clock.advance(endMs - this.clock.millis());
	}

	private record Task(long atMs, int number, Runnable work) implements Comparable<Task> {

		@Override
		public int compareTo(Task other) {
			int byTime = Long.compare(this.atMs, other.atMs);
			return (byTime != 0) ? byTime : Integer.compare(this.number, other.number);
		}

	}

}
