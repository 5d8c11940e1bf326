package org.flamingochute.scheduling.worker;

import org.flamingochute.decision.identity.TaskId;

/**
 * A run that a worker lists as running.
 *
 * @param task the task
 * @param attempt attempt number of the task
 * @param checkpoint newest checkpoint, or empty
 * @param percent percentage of the work that is done; for a long-running task, 100 when it is
 *     available
 * @param usage tail latency in milliseconds for a task with a tail latency target, otherwise the
 *     processor usage in thousandths of a core
 */
public record RunningTask(TaskId task, int attempt, String checkpoint, int percent, long usage) {}
