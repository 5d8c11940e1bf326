package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.scheduling.worker.FinishedTask;
import org.flamingochute.scheduling.worker.RunningTask;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerStatus;

/**
 * Applies the status that workers return with each lease renewal: finished, running and missing
 * runs.
 *
 * <p>A missing run has certainly ended only if the status contains all finished runs and was
 * requested after the worker had the run, or had received the stop of a run whose start was not
 * answered. A run that a previous leader recorded has also ended: the worker has received the token
 * of this leader with the request, and refuses a start of the previous one.
 */
final class WorkerStatusProcessor {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Most finished runs in one status; a status with fewer contains all of them. */
  private static final int MAXIMUM_LISTED_FINISHED_RUNS = 500;

  private final WorkerRegistry workers;
  private final WorkerTracker workerTracker;
  private final JobRegistry jobs;
  private final TaskLifecycle lifecycle;
  private final Outbox outbox;

  WorkerStatusProcessor(
      WorkerRegistry workers,
      WorkerTracker workerTracker,
      JobRegistry jobs,
      TaskLifecycle lifecycle,
      Outbox outbox) {
    this.workers = workers;
    this.workerTracker = workerTracker;
    this.jobs = jobs;
    this.lifecycle = lifecycle;
    this.outbox = outbox;
  }

  /**
   * Applies a worker's response to a lease renewal.
   *
   * @param sentAt time at which the renewal was sent
   */
  void onLeaseRenewed(
      WorkerKey key, WorkerStatus status, long sentAt, long now, long wallClockMilliseconds) {
    Optional<Worker> found = workers.find(key);
    if (found.isEmpty()) {
      return;
    }
    Worker worker = found.get();
    if (!status.isOf(key)) {
      // Its clock and its ends are those of a session that does not exist yet.
      endRunsOfFormerIncarnation(
          workerTracker.onIncarnationObserved(worker, status.startedMilliseconds(), sentAt, now),
          status,
          now);
      return;
    }
    if (!worker.leaseConfirmed || worker.unreachable) {
      logger.atInfo().log(
          "event=worker_reached worker=%s running=%d finished=%d",
          key, status.running().size(), status.finished().size());
    }
    worker.leaseConfirmed = true;
    worker.unreachable = false;
    worker.statusReceivedAt = now;
    applyFinishedRuns(worker, status.finished(), now, wallClockMilliseconds);
    boolean allFinishedRunsListed = status.finished().size() < MAXIMUM_LISTED_FINISHED_RUNS;
    applyRunningTasks(worker, status.running(), sentAt, allFinishedRunsListed, now);
    endRunsOfFormerIncarnation(worker, status, now);
  }

  /**
   * Ends the runs whose starts were prepared for an earlier incarnation than the one that has
   * responded: that one has ended. A start without a response may still be on its way, and whether
   * it reaches the later incarnation is not known. So the attempt is stopped there first, after
   * which it is refused. A run that is listed all the same is kept.
   */
  private void endRunsOfFormerIncarnation(Worker worker, WorkerStatus status, long now) {
    for (Task task : List.copyOf(worker.tasks.values())) {
      if (!task.isOfFormerIncarnation() || isListed(status, task)) {
        continue;
      }
      if (task.mayStartLate()) {
        lifecycle.stopLateStart(task, now);
      } else {
        lifecycle.releaseWithoutEnd(task, "worker_started_again");
      }
    }
  }

  private static boolean isListed(WorkerStatus status, Task task) {
    return status.running().stream()
            .anyMatch(run -> run.task().equals(task.id) && run.attempt() == task.attempt)
        || status.finished().stream()
            .anyMatch(end -> end.task().equals(task.id) && end.attempt() == task.attempt);
  }

  private void applyFinishedRuns(
      Worker worker, List<FinishedTask> finished, long now, long wallClockMilliseconds) {
    for (FinishedTask finishedRun : finished) {
      if (finishedRun.number() <= worker.lastAppliedFinishedNumber) {
        continue;
      }
      worker.lastAppliedFinishedNumber = finishedRun.number();
      applyFinishedRun(worker, finishedRun, now, wallClockMilliseconds);
      holdAcknowledgement(worker, finishedRun);
    }
    acknowledgeFinishedRuns(worker);
  }

  /**
   * Holds back the acknowledgement of an end while the start of another run of the task may still
   * be executed. Otherwise a task could start after its success was acknowledged.
   */
  private void holdAcknowledgement(Worker worker, FinishedTask end) {
    jobs.find(end.task())
        .filter(lifecycle::mayHaveCopies)
        .ifPresent(task -> worker.heldEnds.holdIfOthersMayStart(end.number(), task, end.attempt()));
  }

  private void applyFinishedRun(
      Worker worker, FinishedTask end, long now, long wallClockMilliseconds) {
    Optional<Task> found = findEndedRun(worker, end);
    if (found.isPresent()) {
      lifecycle.onRunEnded(found.get(), end.reason(), end.checkpoint(), now, wallClockMilliseconds);
      return;
    }
    logger.atInfo().log(
        "event=stale_end task=%s attempt=%d worker=%s reason=%s",
        end.task(), end.attempt(), worker.key, end.reason());
    jobs.find(end.task())
        .ifPresent(
            task ->
                lifecycle.onEarlierRunEnded(
                    task, end.attempt(), end.reason(), now, wallClockMilliseconds));
  }

  /**
   * Returns the task whose run has ended, unless another run of the task was started since. A
   * success also counts for a task that was released without it and whose next start was not sent.
   */
  private Optional<Task> findEndedRun(Worker worker, FinishedTask end) {
    Optional<Task> current = findRun(worker, end.task(), end.attempt());
    if (current.isPresent() && current.get().isAssigned()) {
      return current;
    }
    if (end.reason() != EndReason.DONE) {
      return Optional.empty();
    }
    return current.or(
        () ->
            jobs.find(end.task())
                .filter(task -> task.isNextStartUnsent() && task.isEndUnknown(end.attempt())));
  }

  /**
   * Returns the task of a listed run, unless another run of the task has been assigned since. A
   * task that waits because its lease seemed to have expired, or its start to be lost, has not been
   * started again, so the listed run is still the current one.
   */
  private Optional<Task> findRun(Worker worker, TaskId id, int attempt) {
    Task assigned = worker.tasks.get(id);
    if (assigned != null) {
      return Optional.of(assigned).filter(task -> task.attempt == attempt);
    }
    return jobs.find(id).filter(task -> task.isWaiting() && task.attempt == attempt);
  }

  /** Acknowledges the applied ends once they are recorded. */
  private void acknowledgeFinishedRuns(Worker worker) {
    long number = worker.heldEnds.lastFreeNumber(worker.lastAppliedFinishedNumber);
    if (number <= worker.lastAcknowledgedFinishedNumber) {
      return;
    }
    worker.lastAcknowledgedFinishedNumber = number;
    outbox.sendAfterRecording(new SchedulerCommand.AcknowledgeFinishedRuns(worker.key, number));
  }

  private void applyRunningTasks(
      Worker worker,
      List<RunningTask> running,
      long sentAt,
      boolean allFinishedRunsListed,
      long now) {
    Set<TaskId> listedTasks = new HashSet<>();
    for (RunningTask runningTask : running) {
      Optional<Task> found = findRun(worker, runningTask.task(), runningTask.attempt());
      boolean isCurrent =
          found.isPresent() && (found.get().isAssigned() || found.get().job.isOpen());
      if (!isCurrent) {
        stopUnknownRun(worker, runningTask);
        continue;
      }
      Task task = found.get();
      task.startConfirmed = true;
      if (task.isWaiting()) {
        lifecycle.resumeRun(task, worker, now);
      }
      listedTasks.add(runningTask.task());
      lifecycle.noteIncarnation(task, worker.key);
      if (task.runState == Task.RunState.STOPPING && sentAt > task.confirmedAt) {
        // The confirmation was that of a former incarnation, so the stop must be repeated.
        task.confirmedAt = Long.MAX_VALUE;
      }
      updateProgress(task, runningTask, now);
      boolean stopUnconfirmed =
          task.runState == Task.RunState.STOPPING && task.confirmedAt == Long.MAX_VALUE;
      if (stopUnconfirmed && task.isStopVoid()) {
        lifecycle.withdrawStop(task, now);
      }
    }
    if (!allFinishedRunsListed) {
      return;
    }
    for (Task task : List.copyOf(worker.tasks.values())) {
      boolean mustBeListed =
          (task.runState == Task.RunState.RUNNING || task.runState == Task.RunState.STOPPING)
              && sentAt > task.confirmedAt;
      if (mustBeListed && !listedTasks.contains(task.id)) {
        lifecycle.releaseWithoutEnd(task, "not_on_worker");
      }
    }
  }

  private void stopUnknownRun(Worker worker, RunningTask runningTask) {
    logger.atInfo().log(
        "event=stray_run task=%s attempt=%d worker=%s",
        runningTask.task(), runningTask.attempt(), worker.key);
    outbox.sendNow(
        new SchedulerCommand.StopTask(worker.key, runningTask.task(), runningTask.attempt()));
  }

  private void updateProgress(Task task, RunningTask runningTask, long now) {
    if (task.runState == Task.RunState.UNCERTAIN) {
      // The run may have begun long before.
      task.timer.invalidate();
    }
    if (task.runState == Task.RunState.SENT || task.runState == Task.RunState.UNCERTAIN) {
      task.timer.start(now);
      task.runState = Task.RunState.RUNNING;
      task.confirmedAt = now;
    }
    if (runningTask.percent() != task.percent) {
      task.percent = runningTask.percent();
      task.percentChangedAt = now;
      if (task.step.getLongRunning() && task.percent >= Task.FULL_PERCENT) {
        lifecycle.onAvailable(task);
      }
    }
    task.statusReceivedAt = now;
    task.reportedUsage = runningTask.usage();
    if (!task.step.getLongRunning() && !task.wasPaced) {
      task.worker.ifPresent(
          worker ->
              worker.speed.observe(
                  runningTask.percent(), now - task.assignedAt, task.expectedMilliseconds()));
    }
    lifecycle.onCheckpointListed(task, runningTask.checkpoint());
  }
}
