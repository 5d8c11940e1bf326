package org.flamingochute.scheduling.worker;

import org.flamingochute.decision.identity.TaskId;

/**
 * A run that a worker lists as ended.
 *
 * @param number number of the end; rises within one incarnation of the worker
 * @param task the task
 * @param attempt number of the run
 * @param reason how it ended
 * @param checkpoint newest checkpoint, or empty
 */
public record FinishedTask(
    long number, TaskId task, int attempt, EndReason reason, String checkpoint) {}
