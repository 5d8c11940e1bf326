package org.flamingochute.scheduling.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.flamingochute.schema.scheduling.TaskCopy;
import org.flamingochute.schema.scheduling.TaskProgress;

/** The scheduler's state of one task and its current run. Modified by {@link TaskLifecycle}. */
sealed class Task permits CopyRun {

  /** What is known about the current run. */
  enum RunState {
    /** The start was not sent: its record is not durable yet, or it waits for a connection. */
    RECORDING,
    /** The start command was sent and has not been answered. */
    SENT,
    /** The start command was not answered, so it may have been executed or may still be. */
    UNCERTAIN,
    /** The worker has confirmed the run. */
    RUNNING,
    /** The run is being stopped. */
    STOPPING
  }

  /** Why a run is being stopped. */
  enum StopReason {
    /** The run is not wanted at all, or not on its worker. */
    NOT_WANTED,
    /** The start command was not answered, so the run may not exist. */
    START_UNANSWERED,
    /** The run makes no progress. */
    NO_PROGRESS
  }

  final TaskId id;
  final Job job;
  final Occurrence occurrence;
  final QueuedStep step;
  TaskProgress.Phase phase = TaskProgress.Phase.WAITING;
  RunState runState = RunState.RECORDING;
  int attempt;
  int failures;

  /** Checkpoint from which the next run resumes; the same for all members of a gang. */
  String checkpoint = "";

  /** Checkpoint that the current run was started with, or that it has reported since. */
  String reportedCheckpoint = "";

  /** Worker of the current run while the task is assigned. */
  Optional<Worker> worker = Optional.empty();

  /**
   * Incarnation that the start of the current run was prepared for, while the task is assigned. It
   * may be gone, while {@link #worker} is the newest known one.
   */
  Optional<WorkerKey> workerKey = Optional.empty();

  /** Attempts that have certainly ended, but whose end was not listed by their worker. */
  private final Set<Integer> attemptsWithUnknownEnd;

  /** Workers on which a run of this task failed. */
  final Set<InstanceId> failedOn;

  /**
   * Time at which the worker confirmed the current command, by its response or by listing the run.
   * A status requested later that contains all finished runs but not this run proves that the run
   * has ended. {@code Long.MAX_VALUE} while there is no confirmation, and {@code Long.MIN_VALUE}
   * for a run that a previous leader recorded.
   */
  long confirmedAt;

  /** Reason for which the current run is being stopped. */
  StopReason stopReason = StopReason.NOT_WANTED;

  /** Time of the last stop command; while the start is uncertain, time at which it became so. */
  long stopRequestedAt;

  /** Earliest time of the next start; delayed after a failure. */
  long earliestStartAt;

  /** Time at which the current run was assigned. */
  long assignedAt;

  /** Measures the duration of the current run. */
  final RunTimer timer = new RunTimer();

  int percent;
  long percentChangedAt;

  /** Time at which the newest status that contains the run arrived. */
  long statusReceivedAt;

  /**
   * Tail latency in milliseconds for a task with a tail latency target, otherwise processor usage
   * in thousandths of a core.
   */
  long reportedUsage;

  int pacePercent = FULL_PERCENT;

  /**
   * True once the current run was found to be paced, so that its progress does not show the speed
   * of its worker. Only maintained while tasks are separated.
   */
  boolean wasPaced;

  static final int FULL_PERCENT = 100;

  /** Pace after a pace command that was not confirmed. */
  static final int UNKNOWN_PACE = -1;

  /**
   * The run besides the one of this object: the copy while the task is open, and the run that did
   * not succeed once it is done, until that run has certainly ended.
   */
  Optional<CopyRun> copy = Optional.empty();

  /** Highest attempt number that a copy of this task was given, or 0. */
  int highestCopyAttempt;

  /** Earliest time of the start of the next copy. */
  long earliestCopyAt;

  /** True once the worker has executed or refused the current run's start, which is sent once. */
  boolean startConfirmed;

  Task(TaskId id, Job job, Occurrence occurrence, QueuedStep step) {
    this.id = id;
    this.job = job;
    this.occurrence = occurrence;
    this.step = step;
    attemptsWithUnknownEnd = new HashSet<>(0);
    failedOn = new HashSet<>(0);
  }

  /** Creates a second run of a task. */
  Task(Task original) {
    id = original.id;
    job = original.job;
    occurrence = original.occurrence;
    step = original.step;
    checkpoint = original.checkpoint;
    attemptsWithUnknownEnd = original.attemptsWithUnknownEnd;
    failedOn = original.failedOn;
  }

  /** Returns the task of which this is a run. */
  Task original() {
    return this;
  }

  /** Returns the attempt number of the next run, which is above those of all runs so far. */
  int nextAttempt() {
    return Math.max(attempt, highestCopyAttempt) + 1;
  }

  /** Takes over the state of another run of the same task, except its worker. */
  void takeRunOf(Task other) {
    attempt = other.attempt;
    runState = other.runState;
    reportedCheckpoint = other.reportedCheckpoint;
    confirmedAt = other.confirmedAt;
    startConfirmed = other.startConfirmed;
    stopReason = other.stopReason;
    stopRequestedAt = other.stopRequestedAt;
    assignedAt = other.assignedAt;
    percent = other.percent;
    percentChangedAt = other.percentChangedAt;
    statusReceivedAt = other.statusReceivedAt;
    reportedUsage = other.reportedUsage;
    pacePercent = other.pacePercent;
    wasPaced = other.wasPaced;
    timer.takeOver(other.timer);
  }

  /** Returns the attempt numbers of runs whose start may still be executed. */
  List<Integer> attemptsThatMayStart() {
    List<Integer> attempts = new ArrayList<>(0);
    if (isAssigned() && !startConfirmed) {
      attempts.add(attempt);
    }
    copy.filter(other -> !other.startConfirmed).ifPresent(other -> attempts.add(other.attempt));
    return attempts;
  }

  /**
   * Returns whether the start of the current run was sent by this leader and has not been answered.
   * A worker that has responded to this leader refuses the starts of previous ones.
   */
  boolean mayStartLate() {
    boolean isUnanswered =
        runState == RunState.SENT
            || runState == RunState.UNCERTAIN
            || runState == RunState.STOPPING && confirmedAt != Long.MIN_VALUE;
    return isAssigned() && isUnanswered && !startConfirmed;
  }

  /** Returns the expected duration of the whole task. */
  long expectedMilliseconds() {
    return occurrence.expectedMilliseconds(id.step());
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

  /**
   * Returns whether a long-running task is known to be running and ready. Nothing is known of a
   * task whose worker does not respond.
   */
  boolean isAvailable() {
    return isRunning() && percent >= FULL_PERCENT && !isWorkerSilent();
  }

  private boolean isWorkerSilent() {
    return worker.map(assigned -> assigned.unreachable).orElse(true);
  }

  /**
   * Returns whether the start of the current run was prepared for an earlier incarnation of its
   * worker than the newest known one.
   */
  boolean isOfFormerIncarnation() {
    long startedFor = workerKey.map(WorkerKey::startedMilliseconds).orElse(0L);
    return startedFor > 0
        && worker.map(assigned -> assigned.key.startedMilliseconds() > startedFor).orElse(false);
  }

  /** Notes that the current run has certainly ended, in a way that is not known. */
  void onEndUnknown() {
    attemptsWithUnknownEnd.add(attempt);
  }

  /** Returns whether an attempt has ended in a way that is not known. */
  boolean isEndUnknown(int endedAttempt) {
    return attemptsWithUnknownEnd.contains(endedAttempt);
  }

  /** Returns whether the task waits, or its next start is recorded but not sent. */
  boolean isNextStartUnsent() {
    return isWaiting() || isAssigned() && runState == RunState.RECORDING;
  }

  /** Notes how an attempt ended; returns false if that was known before. */
  boolean learnEnd(int endedAttempt) {
    return attemptsWithUnknownEnd.remove(endedAttempt);
  }

  /** Forgets attempts whose end is not known, once it no longer matters how they ended. */
  void forgetUnknownEnds() {
    attemptsWithUnknownEnd.clear();
  }

  /** Returns whether a run that its worker lists is being stopped for a reason that is void. */
  boolean isStopVoid() {
    return switch (stopReason) {
      case NOT_WANTED -> false;
      case START_UNANSWERED -> true;
      case NO_PROGRESS -> step.getLongRunning() && percent >= FULL_PERCENT;
    };
  }

  /** Returns whether the worker has confirmed that it runs the task. */
  boolean isRunning() {
    return isAssigned() && runState == RunState.RUNNING;
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
                  .setWorkerBornMilliseconds(key.startedMilliseconds()));
    }
    if (copy.isPresent()) {
      builder.setCopy(copy.get().toRecord());
    } else if (!isDone() && highestCopyAttempt > attempt) {
      builder.setCopy(TaskCopy.newBuilder().setAttempt(highestCopyAttempt));
    }
    return builder.build();
  }
}
