package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.TaskProgress;

/**
 * Applies state transitions: of tasks between waiting, assigned and done, and of jobs to their end.
 *
 * <p>An assigned task counts against its worker's capacity and its team's cap until its run has
 * certainly ended. Proof is one of: the start command was not sent or was refused; the worker lists
 * the run as finished; a status of the worker does not contain the run, and was requested after the
 * start was answered or its stop was confirmed, or the start is one of a previous leader; a later
 * incarnation of the worker responds; the worker's lease has expired; or a worker with another id
 * answers at its address.
 *
 * <p>A report in the store is no proof, neither of another worker at the same address nor of a new
 * incarnation: it may be outdated or foreign.
 */
final class TaskLifecycle {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Delay before a failed task is restarted, which prevents a busy loop of failures. */
  private static final long RETRY_DELAY_MILLISECONDS = 20;

  /**
   * Shortest time from one copy of a task to the next, which prevents a busy loop of copies that
   * are refused or fail.
   */
  private static final long COPY_INTERVAL_MILLISECONDS = 1_000;

  /** Delay before a failed long-running task is restarted. */
  private static final long LONG_RUNNING_RETRY_DELAY_MILLISECONDS = 100;

  /**
   * Longest time between the last two statuses of a run whose duration is observed. A worker is
   * polled for at most 900 ms; after a longer silence the time of the end is not known.
   */
  private static final long MAXIMUM_STATUS_GAP_MILLISECONDS = 1_600;

  private final JobRegistry jobs;
  private final TeamUsage teamUsage;
  private final WorkerSuspensions suspensions;
  private final Outbox outbox;
  private final SchedulerSettings settings;

  TaskLifecycle(
      JobRegistry jobs,
      TeamUsage teamUsage,
      WorkerSuspensions suspensions,
      Outbox outbox,
      SchedulerSettings settings) {
    this.jobs = jobs;
    this.teamUsage = teamUsage;
    this.suspensions = suspensions;
    this.outbox = outbox;
    this.settings = settings;
  }

  /** Assigns a waiting task to a worker and queues the start command of this attempt. */
  void assign(Task task, Worker worker, int attempt, long now) {
    task.phase = TaskProgress.Phase.ASSIGNED;
    task.runState = Task.RunState.RECORDING;
    task.attempt = attempt;
    task.confirmedAt = now;
    task.startConfirmed = false;
    task.assignedAt = now;
    task.percent = 0;
    task.percentChangedAt = now;
    task.statusReceivedAt = now;
    task.pacePercent = Task.FULL_PERCENT;
    task.wasPaced = false;
    task.reportedCheckpoint = task.checkpoint;
    task.timer.prepare(!task.checkpoint.isEmpty());
    addToWorker(task, worker);
    outbox.markChanged(task.job);
    outbox.sendAfterRecording(
        new SchedulerCommand.StartTask(
            worker.key, task.id, attempt, task.job.definition.getPayload(), task.checkpoint));
  }

  /**
   * Restores a run that a previous leader recorded.
   *
   * @param startedOn incarnation that the start was prepared for
   * @param worker newest known incarnation of that worker
   */
  void restoreAssignment(Task task, WorkerKey startedOn, Worker worker, long now) {
    task.assignedAt = now;
    task.percentChangedAt = now;
    task.statusReceivedAt = now;
    task.runState = Task.RunState.RUNNING;
    task.confirmedAt = Long.MIN_VALUE;
    task.startConfirmed = false;
    addToWorker(task, worker);
    task.workerKey = Optional.of(startedOn);
  }

  /** Assigns a copy of a running task to a worker and queues its start command. */
  void startCopy(Task task, Worker worker, long now) {
    CopyRun copy = new CopyRun(task);
    task.copy = Optional.of(copy);
    task.highestCopyAttempt = task.nextAttempt();
    task.earliestCopyAt = now + COPY_INTERVAL_MILLISECONDS;
    assign(copy, worker, task.highestCopyAttempt, now);
  }

  /**
   * Restores the copy of a task that a previous leader recorded. The copy of a task that is done is
   * stopped.
   *
   * @param startedOn incarnation that the start was prepared for
   * @param worker newest known incarnation of that worker
   */
  void restoreCopy(Task task, int attempt, WorkerKey startedOn, Worker worker, long now) {
    CopyRun copy = new CopyRun(task);
    copy.attempt = attempt;
    task.copy = Optional.of(copy);
    restoreAssignment(copy, startedOn, worker, now);
    if (task.isDone()) {
      stopRun(copy, now);
    }
  }

  /** Returns whether a task may have two runs, or has had a copy. */
  boolean mayHaveCopies(Task task) {
    return task.highestCopyAttempt > 0
        || settings.features().speculativeCopies() && CopyStarter.allowsCopies(task.step);
  }

  /** Assigns a waiting task to the worker that lists its last run, which has not ended. */
  void resumeRun(Task task, Worker worker, long now) {
    logger.atInfo().log(
        "event=run_resumed task=%s attempt=%d worker=%s", task.id, task.attempt, worker.key);
    task.learnEnd(task.attempt);
    task.phase = TaskProgress.Phase.ASSIGNED;
    task.timer.invalidate();
    task.assignedAt = now;
    task.percentChangedAt = now;
    task.runState = Task.RunState.RUNNING;
    task.confirmedAt = now;
    task.startConfirmed = true;
    task.pacePercent = Task.UNKNOWN_PACE;
    addToWorker(task, worker);
    outbox.markChanged(task.job);
  }

  private void addToWorker(Task task, Worker worker) {
    task.worker = Optional.of(worker);
    task.workerKey = Optional.of(worker.key);
    worker.add(task);
    teamUsage.add(task);
  }

  private void removeFromWorker(Task task) {
    task.worker.ifPresent(worker -> worker.remove(task));
    if (task.worker.isPresent()) {
      teamUsage.remove(task);
    }
    task.worker = Optional.empty();
    task.workerKey = Optional.empty();
  }

  /** Reserves capacity for a waiting task while the rest of its gang is placed. */
  void reserve(Task task, Worker worker) {
    addToWorker(task, worker);
  }

  /** Cancels a reservation. */
  void cancelReservation(Task task) {
    removeFromWorker(task);
  }

  /** Notes the incarnation that lists the current run of a task. */
  void noteIncarnation(Task task, WorkerKey incarnation) {
    if (!task.workerKey.equals(Optional.of(incarnation))) {
      task.workerKey = Optional.of(incarnation);
      outbox.markChanged(task.job);
    }
  }

  /**
   * Moves an assigned task to a new incarnation of its worker, which is known from the store or has
   * responded. The first status of that incarnation ends the run. Its record goes on to name the
   * incarnation that the start was prepared for. A start that was not sent never will be.
   */
  void transferToIncarnation(Task task, Worker successor, long now) {
    if (task.runState == Task.RunState.RECORDING) {
      release(task, "worker_started_again");
      return;
    }
    final Optional<WorkerKey> startedOn = task.workerKey;
    removeFromWorker(task);
    addToWorker(task, successor);
    task.workerKey = startedOn;
    task.timer.invalidate();
    // The new incarnation has listed no run yet, so none counts as available.
    task.percent = 0;
    if (task.runState == Task.RunState.RUNNING) {
      // A confirmation says nothing of the new incarnation; its next status does.
      task.confirmedAt = now;
    } else if (task.runState == Task.RunState.STOPPING) {
      // The former incarnation may have confirmed the stop.
      task.confirmedAt = Long.MAX_VALUE;
    }
  }

  /**
   * Releases the run of an assigned task, which must certainly have ended. The task waits, or its
   * other run becomes its only one.
   */
  void release(Task task, String cause) {
    logger.atInfo().log(
        "event=run_over task=%s attempt=%d worker=%s cause=%s",
        task.id, task.attempt, task.workerKey.map(Object::toString).orElse("-"), cause);
    removeFromWorker(task);
    if (task instanceof CopyRun copy) {
      dropCopy(copy, cause);
    } else if (task.copy.isPresent()) {
      promoteCopy(task, task.copy.get(), cause);
    } else {
      task.phase = TaskProgress.Phase.WAITING;
    }
    outbox.markChanged(task.job);
    closeIfEnded(task.job);
  }

  private static void dropCopy(CopyRun copy, String cause) {
    copy.drop();
    if (!copy.original().isDone()) {
      logCopyEnded(copy.original(), copy.attempt, "none", cause);
    }
  }

  /** Makes the copy the only run of a task whose first run has ended without success. */
  private void promoteCopy(Task task, CopyRun copy, String cause) {
    logCopyEnded(task, copy.attempt, "promoted", cause);
    moveRun(copy, task);
    copy.drop();
  }

  private static void logCopyEnded(Task task, int attempt, String winner, String cause) {
    logger.atInfo().log(
        "event=copy_ended task=%s attempt=%d winner=%s cause=%s", task.id, attempt, winner, cause);
  }

  private static void logWinner(Task run) {
    Task task = run.original();
    String winner = run == task ? "first_run" : "copy";
    task.copy.ifPresent(copy -> logCopyEnded(task, copy.attempt, winner, "done"));
  }

  /** Passes a run on to another value that represents a run of the same task and has none. */
  private void moveRun(Task from, Task to) {
    final Optional<Worker> worker = from.worker;
    final Optional<WorkerKey> startedOn = from.workerKey;
    removeFromWorker(from);
    to.takeRunOf(from);
    worker.ifPresent(assigned -> addToWorker(to, assigned));
    to.workerKey = startedOn;
  }

  /**
   * Releases a task whose run has certainly ended although no end was listed. Its worker may still
   * list the end later.
   */
  void releaseWithoutEnd(Task task, String cause) {
    task.onEndUnknown();
    release(task, cause);
  }

  /** Releases a task whose worker has certainly ended, so that it executes no start any more. */
  void releaseFromReplacedWorker(Task task) {
    release(task, "worker_replaced");
  }

  /** Stops a run whose start was not answered, so that a late start is refused. */
  void stopUncertainRun(Task task, long now) {
    stopRun(task, now);
    task.stopReason = Task.StopReason.START_UNANSWERED;
  }

  /** Stops a start of this leader that may still reach a later incarnation of its worker. */
  void stopLateStart(Task task, long now) {
    if (task.runState != Task.RunState.STOPPING) {
      logger.atInfo().log(
          "event=late_start_stopped task=%s attempt=%d worker=%s",
          task.id, task.attempt, task.workerKey.map(Object::toString).orElse("-"));
      stopUncertainRun(task, now);
    }
  }

  /** Keeps a run whose stop was not confirmed and has become void. */
  void withdrawStop(Task task, long now) {
    task.runState = Task.RunState.RUNNING;
    task.confirmedAt = now;
    logger.atInfo().log(
        "event=stop_withdrawn task=%s attempt=%d worker=%s",
        task.id, task.attempt, task.workerKey.map(Object::toString).orElse("-"));
  }

  /**
   * Withdraws a start that was not sent, as its data centre is to be evacuated. The start command
   * is discarded once its record is durable, so it never reaches the worker.
   */
  void withdrawStart(Task task) {
    release(task, "data_centre_evacuated");
  }

  /** Stops the run of an assigned task. */
  void stopRun(Task task, long now) {
    if (!task.isAssigned() || task.worker.isEmpty()) {
      return;
    }
    task.stopReason = Task.StopReason.NOT_WANTED;
    task.timer.invalidate();
    final boolean startNotSent = task.runState == Task.RunState.RECORDING;
    task.runState = Task.RunState.STOPPING;
    task.confirmedAt = Long.MAX_VALUE;
    task.stopRequestedAt = now;
    if (startNotSent) {
      // The start command is discarded once its record is durable, so it never reaches the worker.
      release(task, "stopped_before_start");
      return;
    }
    outbox.sendNow(new SchedulerCommand.StopTask(task.worker.get().key, task.id, task.attempt));
  }

  /** Stops a run that makes no progress; its task is restarted on another worker if possible. */
  void stopStalledRun(Task task, long now) {
    task.worker.ifPresent(
        worker -> {
          task.failedOn.add(worker.key.id());
          suspensions.onFailed(task.id.job(), worker.key.id(), task.assignedAt, now);
          logger.atInfo().log(
              "event=run_stalled task=%s attempt=%d worker=%s percent=%d unchanged_ms=%d",
              task.id, task.attempt, worker.key, task.percent, now - task.percentChangedAt);
        });
    stopRun(task, now);
    task.stopReason = Task.StopReason.NO_PROGRESS;
  }

  /** Resends a stop command that was not answered. */
  void resendStop(Task task, long now) {
    task.stopRequestedAt = now;
    task.worker.ifPresent(
        worker -> outbox.sendNow(new SchedulerCommand.StopTask(worker.key, task.id, task.attempt)));
  }

  /** Applies the end of a run that the task's worker listed. */
  void onRunEnded(
      Task task, EndReason reason, String checkpoint, long now, long wallClockMilliseconds) {
    setCheckpoint(task, checkpoint);
    boolean isSuperfluous = task.original().isDone();
    if (reason == EndReason.DONE && !task.step.getLongRunning() && !isSuperfluous) {
      task.worker.ifPresent(worker -> suspensions.onSucceeded(worker.key.id(), task.assignedAt));
      observeDuration(task, now);
      logWinner(task);
      completeTask(task, now, wallClockMilliseconds);
      return;
    }
    if (reason == EndReason.FAILED && !isSuperfluous) {
      handleFailure(task, now, wallClockMilliseconds);
      return;
    }
    release(task, reason.name().toLowerCase(Locale.ROOT));
  }

  /**
   * Adds the duration of a successful run to the model, unless its end is not known well or its
   * worker was slow or cold.
   */
  private static void observeDuration(Task task, long now) {
    boolean isEndKnown = now - task.statusReceivedAt <= MAXIMUM_STATUS_GAP_MILLISECONDS;
    boolean isSlow =
        task.worker.map(worker -> ColdWorkers.countsAsSlow(worker, task.assignedAt)).orElse(true);
    if (!task.isRunning() || !isEndKnown || isSlow) {
      return;
    }
    task.timer
        .elapsed(now)
        .ifPresent(
            elapsed ->
                task.job.durations.observe(task.step, task.job.definition.getQueue(), elapsed));
  }

  /** Notes that the run of a long-running task has become available. */
  void onAvailable(Task task) {
    task.worker.ifPresent(worker -> suspensions.onSucceeded(worker.key.id(), task.assignedAt));
  }

  /** Applies the checkpoint that a running task's worker listed. */
  void onCheckpointListed(Task task, String checkpoint) {
    // Another member of the gang may have reported a newer one since this one was listed first.
    if (!checkpoint.equals(task.reportedCheckpoint)) {
      task.reportedCheckpoint = checkpoint;
      setCheckpoint(task, checkpoint);
    }
  }

  /**
   * Sets the checkpoint from which a task resumes; for a gang it is set on all members, which must
   * resume from the same one. Does nothing if a run has saved none, so that an earlier one remains.
   */
  void setCheckpoint(Task task, String checkpoint) {
    if (checkpoint.isEmpty()) {
      return;
    }
    if (!task.step.getGang()) {
      task.checkpoint = checkpoint;
      return;
    }
    for (Task member : task.occurrence.tasksOf(task.id.step())) {
      member.checkpoint = checkpoint;
    }
  }

  /**
   * Completes the task of a run; the first completed member of a gang completes the whole gang.
   * Another run of the task is stopped.
   */
  private void completeTask(Task run, long now, long wallClockMilliseconds) {
    Task task = run.original();
    if (run instanceof CopyRun copy) {
      removeFromWorker(copy);
      copy.drop();
      keepLosingRun(task);
    }
    markDone(task);
    stopLosingRun(task, now);
    if (task.step.getGang()) {
      for (Task member : task.occurrence.tasksOf(task.id.step())) {
        markDone(member);
      }
    }
    outbox.markChanged(task.job);
    if (task.job.isOpen() && task.job.isEveryTaskDone()) {
      endJob(task.job, JobProgress.Phase.COMPLETED, "all_tasks_done", wallClockMilliseconds);
    }
    closeIfEnded(task.job);
  }

  /** Keeps the run of a task that is about to be done until it has certainly ended. */
  private void keepLosingRun(Task task) {
    CopyRun remaining = new CopyRun(task);
    moveRun(task, remaining);
    task.copy = Optional.of(remaining);
    task.highestCopyAttempt = Math.max(task.highestCopyAttempt, remaining.attempt);
  }

  private void stopLosingRun(Task task, long now) {
    if (mayHaveCopies(task)) {
      // A failure that is listed later must not end the job.
      task.forgetUnknownEnds();
    }
    task.copy.ifPresent(copy -> stopRun(copy, now));
  }

  private void markDone(Task task) {
    if (task.isDone()) {
      return;
    }
    removeFromWorker(task);
    task.phase = TaskProgress.Phase.DONE;
    task.occurrence.markTaskDone(task.id.step());
  }

  private void handleFailure(Task run, long now, long wallClockMilliseconds) {
    final Task task = run.original();
    run.worker.ifPresent(
        worker -> {
          task.failedOn.add(worker.key.id());
          suspensions.onFailed(task.id.job(), worker.key.id(), run.assignedAt, now);
        });
    countFailure(task, run.attempt);
    boolean longRunning = task.step.getLongRunning();
    task.earliestStartAt =
        now + (longRunning ? LONG_RUNNING_RETRY_DELAY_MILLISECONDS : RETRY_DELAY_MILLISECONDS);
    release(run, "failed");
    failJobAtLimit(task, now, wallClockMilliseconds);
  }

  /**
   * Applies the end of a run whose task was released without it, and may have been assigned again
   * since. A failure counts if it is not known yet; a leader may list one that its predecessor has
   * counted. A success completes a task that may have two runs, but has one only.
   */
  void onEarlierRunEnded(
      Task task, int attempt, EndReason reason, long now, long wallClockMilliseconds) {
    boolean isLateSuccess =
        reason == EndReason.DONE
            && task.isAssigned()
            && task.copy.isEmpty()
            && task.isEndUnknown(attempt)
            && mayHaveCopies(task);
    if (isLateSuccess) {
      logCopyEnded(task, attempt, "earlier_run", "done");
      keepLosingRun(task);
      completeTask(task, now, wallClockMilliseconds);
      return;
    }
    if (reason != EndReason.FAILED || !isNewFailure(task, attempt)) {
      return;
    }
    countFailure(task, attempt);
    outbox.markChanged(task.job);
    failJobAtLimit(task, now, wallClockMilliseconds);
  }

  /**
   * Returns whether a failure that was listed late is not counted yet. Which runs of a gang have
   * failed is recorded; for other tasks only this leader knows which ends were missing.
   */
  private static boolean isNewFailure(Task task, int attempt) {
    boolean wasUnknown = task.learnEnd(attempt);
    boolean isFirstOfGangRun =
        isCountedByRun(task) && !task.occurrence.failedGangRuns(task.id.step()).contains(attempt);
    return wasUnknown || isFirstOfGangRun;
  }

  /** Notes a failed run of a task; of a gang's run, other members may have failed before. */
  private static void countFailure(Task task, int attempt) {
    task.failures++;
    if (isCountedByRun(task)) {
      task.occurrence.failedGangRuns(task.id.step()).add(attempt);
    }
  }

  /** Returns whether the failed runs of the whole gang count; none do of tasks that last. */
  private static boolean isCountedByRun(Task task) {
    return task.step.getGang() && !task.step.getLongRunning();
  }

  private void failJobAtLimit(Task task, long now, long wallClockMilliseconds) {
    int limit = Math.max(1, task.job.policy.getMaximumAttempts());
    int failures =
        isCountedByRun(task)
            ? task.occurrence.failedGangRuns(task.id.step()).count()
            : task.failures;
    boolean isLimited = !task.step.getLongRunning() && task.job.isOpen() && !task.isDone();
    if (isLimited && failures >= limit) {
      endJob(
          task.job,
          JobProgress.Phase.FAILED,
          "task_" + task.id + "_failed_" + failures,
          wallClockMilliseconds);
      stopRunsOfEndedJob(task.job, now);
    }
  }

  /** Cancels a job: no more of its tasks start, and its assigned tasks are stopped. */
  void cancelJob(Job job, long now, long wallClockMilliseconds) {
    if (!job.isOpen()) {
      return;
    }
    endJob(job, JobProgress.Phase.CANCELLED, "cancelled_by_caller", wallClockMilliseconds);
    stopRunsOfEndedJob(job, now);
  }

  /**
   * Stops what is left of a job that has ended. Its record says nothing about the stop commands of
   * an earlier leader, which may not have reached their workers.
   */
  void stopRunsOfEndedJob(Job job, long now) {
    stopAssignedRuns(job, now);
    closeIfEnded(job);
  }

  private void endJob(Job job, JobProgress.Phase phase, String cause, long wallClockMilliseconds) {
    job.phase = phase;
    job.endedMilliseconds = wallClockMilliseconds;
    outbox.markChanged(job);
    logger.atInfo().log(
        "event=job_ended job=%s queue=%s phase=%s cause=%s age_ms=%d",
        job.id,
        job.definition.getQueue(),
        phase,
        cause,
        wallClockMilliseconds - job.definition.getAcceptedMilliseconds());
  }

  private void stopAssignedRuns(Job job, long now) {
    List<Task> assigned = new ArrayList<>();
    for (Occurrence occurrence : job.occurrences) {
      for (int step = 0; step < occurrence.stepCount(); step++) {
        for (Task task : occurrence.tasksOf(step)) {
          // A copy comes first: a first run that is released would be replaced by it.
          task.copy.ifPresent(assigned::add);
          if (task.isAssigned()) {
            assigned.add(task);
          }
        }
      }
    }
    for (Task task : assigned) {
      stopRun(task, now);
    }
  }

  private void closeIfEnded(Job job) {
    if (job.isOpen() || job.hasAssignedTask()) {
      return;
    }
    outbox.markChanged(job);
    jobs.close(job.id, job.endedMilliseconds + settings.statusRetentionMilliseconds());
  }
}
