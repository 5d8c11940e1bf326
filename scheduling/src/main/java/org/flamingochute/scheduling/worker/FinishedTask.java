package org.flamingochute.scheduling.worker;

import org.flamingochute.decision.identity.TaskId;

/**
 * A run that a worker lists as finished.
 *
 * @param number number of the finished run; increases within one incarnation of the worker
 * @param task the task
 * @param attempt attempt number of the task
 * @param reason why the run ended
 * @param checkpoint newest checkpoint, or empty
 */
public record FinishedTask(
    long number, TaskId task, int attempt, EndReason reason, String checkpoint) {}
