package org.flamingochute.scheduling.core;

import java.util.Optional;
import org.flamingochute.schema.scheduling.TaskCopy;
import org.flamingochute.schema.scheduling.TaskProgress;

/**
 * A second run of a task, on another worker than the first one. While the task is done, it is the
 * run that has not succeeded and may not have ended yet.
 *
 * <p>It is a {@link Task} so that its worker's map, and every proof that a run has ended, covers it
 * like a first run. {@link TaskLifecycle} applies its end to the original task.
 */
final class CopyRun extends Task {
  private final Task original;

  CopyRun(Task original) {
    super(original);
    this.original = original;
    phase = TaskProgress.Phase.ASSIGNED;
  }

  @Override
  Task original() {
    return original;
  }

  /** Detaches this run from its task; its attempt number remains used. */
  void drop() {
    phase = TaskProgress.Phase.WAITING;
    original.copy = Optional.empty();
  }

  TaskCopy toRecord() {
    TaskCopy.Builder builder = TaskCopy.newBuilder().setAttempt(attempt);
    workerKey.ifPresent(
        key ->
            builder
                .setWorker(key.id().value())
                .setWorkerBornMilliseconds(key.startedMilliseconds()));
    return builder.build();
  }
}
