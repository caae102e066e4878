package org.plantainspur.gateway.log;

import org.plantainspur.core.log.DecisionLog;

/**
 * Reports unexpected exceptions and errors, in the log and in a metric, and keeps them
 * from ending the task or connection after the one that failed.
 */
public final class FailureReporter {

	private final DecisionLog log;

	private final GatewayMetrics metrics;

	public FailureReporter(DecisionLog log, GatewayMetrics metrics) {
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Reports a failure as the event {@code task-failed} and in the counter
	 * {@code plantainspur_task_failures_total}.
	 * @param task names the task that failed
	 * @param problem the exception or error
	 */
	public void failed(String task, Throwable problem) {
		this.metrics.count("task_failures_total", task);
		StackTraceElement[] trace = problem.getStackTrace();
		this.log.event("task-failed", "task", task, "problem", problem, "at", (trace.length > 0) ? trace[0] : "");
	}

	/**
	 * Runs a task and reports what it throws. Errors count too: a stack overflow or a
	 * failed allocation on one message says nothing about the next one, and a periodic
	 * task that ends would leave the host with the state of that moment.
	 * @param task names the task
	 * @param work the task
	 */
	public void run(String task, Runnable work) {
		try {
			work.run();
		}
		catch (Throwable ex) {
			failed(task, ex);
		}
	}

}
