package org.flamingochute.scheduling.worker;

import org.flamingochute.decision.identity.TaskId;

/**
 * A run that a worker lists as running.
 *
 * @param task the task
 * @param attempt number of the run
 * @param checkpoint newest checkpoint, or empty
 * @param percent how much of the work is done; of a task that lasts, 100 when it is at work
 * @param usage tail of the response times in milliseconds for a task with a tail target, else the
 *     processor time in use in thousandths of a core
 */
public record RunningTask(TaskId task, int attempt, String checkpoint, int percent, long usage) {}
