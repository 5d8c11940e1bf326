package org.flamingochute.scheduling.core;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.flamingochute.schema.scheduling.TaskProgress;

/** One task and its current run, as the scheduler knows it. Changed by {@link TaskLifecycle}. */
final class Task {

  /** What is known of the order to start. */
  enum Order {
    /** The record of the run waits for the store. */
    RECORDING,
    /** The order was sent and not answered yet. */
    SENT,
    /** The order got no answer, so it may have been carried out or may yet be. */
    UNCERTAIN,
    /** The worker runs it. */
    RUNNING,
    /** It was told to stop. */
    STOPPING
  }

  final TaskId id;
  final Job job;
  final Occurrence occurrence;
  final QueuedStep step;
  TaskProgress.Phase phase = TaskProgress.Phase.WAITING;
  Order order = Order.RECORDING;
  int attempt;
  int failures;
  String checkpoint = "";

  /** Worker of the current run while assigned. */
  Optional<Worker> worker = Optional.empty();

  /** Worker of the current run while assigned, which may be gone. */
  Optional<WorkerKey> workerKey = Optional.empty();

  /** Workers on which a run failed. */
  final Set<InstanceId> failedOn = new HashSet<>(0);

  /**
   * Time from which a listing without the run proves that the run is over: the worker's answer to
   * the current order. It is in the far future while there is no answer.
   */
  long orderedAt;

  /** Time of the last order to stop. */
  long stopAskedAt;

  /** Earliest time of the next start; a task that failed waits a little. */
  long notBefore;

  /** Time at which the run was assigned. */
  long assignedAt;

  int percent;
  long percentChangedAt;

  /** Time at which the answer with the newest percentage arrived. */
  long listedAt;

  long usage;
  int pacePercent = FULL_PACE;

  static final int FULL_PACE = 100;

  /** Pace after an order whose effect is not known. */
  static final int UNKNOWN_PACE = -1;

  Task(TaskId id, Job job, Occurrence occurrence, QueuedStep step) {
    this.id = id;
    this.job = job;
    this.occurrence = occurrence;
    this.step = step;
  }

  boolean isWaiting() {
    return phase == TaskProgress.Phase.WAITING;
  }

  boolean isAssigned() {
    return phase == TaskProgress.Phase.ASSIGNED;
  }

  boolean isDone() {
    return phase == TaskProgress.Phase.DONE;
  }

  /** Tells whether the run is known to be at work, for tasks that last. */
  boolean isAtWork() {
    return isAssigned() && order == Order.RUNNING && percent >= FULL_PACE;
  }

  /** Tells whether the worker is known to hold the run. */
  boolean isRunning() {
    return isAssigned() && order == Order.RUNNING;
  }

  TaskProgress toProgress() {
    TaskProgress.Builder builder =
        TaskProgress.newBuilder()
            .setOccurrence(id.occurrence())
            .setStep(id.step())
            .setIndex(id.index())
            .setPhase(phase)
            .setAttempt(attempt)
            .setFailures(failures);
    if (phase != TaskProgress.Phase.DONE) {
      builder.setCheckpoint(checkpoint);
    }
    if (isAssigned()) {
      workerKey.ifPresent(
          key ->
              builder
                  .setWorker(key.id().value())
                  .setWorkerBornMilliseconds(key.bornMilliseconds()));
    }
    return builder.build();
  }
}
