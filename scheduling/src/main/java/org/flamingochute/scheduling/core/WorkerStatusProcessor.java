package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.scheduling.worker.FinishedTask;
import org.flamingochute.scheduling.worker.RunningTask;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerStatus;

/**
 * Applies the status that workers return with each lease renewal: finished, running and missing
 * runs.
 *
 * <p>A missing run has certainly ended only if the status was requested after the worker had the
 * run, and only if the status contains all finished runs. A confirmed stop is not enough for a run
 * whose start was not answered: the start may be executed by an incarnation that knows nothing of
 * the stop. Such a run has ended if it is missing once its start can no longer be executed.
 */
final class WorkerStatusProcessor {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Most finished runs in one status; a status with fewer contains all of them. */
  private static final int MAXIMUM_LISTED_FINISHED_RUNS = 500;

  private final WorkerRegistry workers;
  private final WorkerTracker workerTracker;
  private final TaskLifecycle lifecycle;
  private final Outbox outbox;

  WorkerStatusProcessor(
      WorkerRegistry workers, WorkerTracker workerTracker, TaskLifecycle lifecycle, Outbox outbox) {
    this.workers = workers;
    this.workerTracker = workerTracker;
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
      workerTracker.onIncarnationObserved(worker, status.startedMilliseconds(), now);
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
  }

  private void applyFinishedRuns(
      Worker worker, List<FinishedTask> finished, long now, long wallClockMilliseconds) {
    boolean anyApplied = false;
    for (FinishedTask finishedRun : finished) {
      if (finishedRun.number() <= worker.lastAppliedFinishedNumber) {
        continue;
      }
      worker.lastAppliedFinishedNumber = finishedRun.number();
      anyApplied = true;
      Task task = worker.tasks.get(finishedRun.task());
      if (task == null || task.attempt != finishedRun.attempt()) {
        logger.atInfo().log(
            "event=stale_end task=%s attempt=%d worker=%s reason=%s",
            finishedRun.task(), finishedRun.attempt(), worker.key, finishedRun.reason());
        continue;
      }
      lifecycle.onRunEnded(
          task, finishedRun.reason(), finishedRun.checkpoint(), now, wallClockMilliseconds);
    }
    if (anyApplied) {
      outbox.sendAfterRecording(
          new SchedulerCommand.AcknowledgeFinishedRuns(
              worker.key, worker.lastAppliedFinishedNumber));
    }
  }

  private void applyRunningTasks(
      Worker worker,
      List<RunningTask> running,
      long sentAt,
      boolean allFinishedRunsListed,
      long now) {
    Set<TaskId> listedTasks = new HashSet<>();
    for (RunningTask runningTask : running) {
      Task task = worker.tasks.get(runningTask.task());
      if (task == null || task.attempt != runningTask.attempt()) {
        stopUnknownRun(worker, runningTask);
        continue;
      }
      listedTasks.add(runningTask.task());
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
              && sentAt > task.confirmedAt
              && sentAt > task.startExecutableUntil;
      if (mustBeListed && !listedTasks.contains(task.id)) {
        lifecycle.release(task, "not_on_worker");
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
    // Its start was executed, and it was written once.
    task.startExecutableUntil = Long.MIN_VALUE;
    if (task.runState == Task.RunState.SENT || task.runState == Task.RunState.UNCERTAIN) {
      task.runState = Task.RunState.RUNNING;
      task.confirmedAt = now;
    }
    if (runningTask.percent() != task.percent) {
      task.percent = runningTask.percent();
      task.percentChangedAt = now;
    }
    task.statusReceivedAt = now;
    task.reportedUsage = runningTask.usage();
    if (!task.step.getLongRunning()) {
      task.worker.ifPresent(
          worker ->
              worker.speed.observe(
                  runningTask.percent(),
                  now - task.assignedAt,
                  task.step.getEstimateMilliseconds()));
    }
    lifecycle.onCheckpointListed(task, runningTask.checkpoint());
  }
}
