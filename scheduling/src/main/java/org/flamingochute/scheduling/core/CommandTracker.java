package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.scheduling.worker.WorkerKey;

/** Tracks commands sent to workers until their outcome is certain. */
final class CommandTracker {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Time after a start command failed with an unknown outcome until the run is stopped, unless the
   * worker's status contains the run earlier.
   */
  private static final long UNCERTAIN_START_TIMEOUT_MILLISECONDS = 150;

  /** Time after which a stop command that was not confirmed is resent. */
  private static final long STOP_RETRY_DELAY_MILLISECONDS = 400;

  /** Age up to which a status still shows that a run is not available yet. */
  private static final long RECENT_STATUS_MILLISECONDS = 100;

  /**
   * Time after which a stop command is resent that may be sent directly after a status only; it
   * allows several of them while the status is recent.
   */
  private static final long STOP_RETRY_DELAY_AFTER_STATUS_MILLISECONDS = 40;

  /** Delay before a task that was refused for lack of capacity is placed again. */
  private static final long NO_ROOM_DELAY_MILLISECONDS = 50;

  private final WorkerRegistry workers;
  private final WorkerTracker workerTracker;
  private final TaskLifecycle lifecycle;

  CommandTracker(WorkerRegistry workers, WorkerTracker workerTracker, TaskLifecycle lifecycle) {
    this.workers = workers;
    this.workerTracker = workerTracker;
    this.lifecycle = lifecycle;
  }

  /** Returns whether a start that is to be sent is still current, and if so marks it as sent. */
  boolean beginStart(SchedulerCommand.StartTask start) {
    Optional<Task> found = findCurrentRun(start.worker(), start.task(), start.attempt());
    if (found.isEmpty()) {
      return false;
    }
    Task task = found.get();
    if (task.runState != Task.RunState.RECORDING) {
      return false;
    }
    // The worker's data centre is to be evacuated; the next pass withdraws the start.
    if (task.worker.filter(worker -> worker.evacuated).isPresent()) {
      return false;
    }
    task.runState = Task.RunState.SENT;
    task.confirmedAt = Long.MAX_VALUE;
    return true;
  }

  /** Handles a start that was marked as sent but was not written. */
  void onStartNotSent(SchedulerCommand.StartTask start) {
    findCurrentRun(start.worker(), start.task(), start.attempt())
        .filter(task -> task.runState == Task.RunState.SENT)
        .ifPresent(task -> task.runState = Task.RunState.RECORDING);
  }

  private Optional<Task> findCurrentRun(WorkerKey workerKey, TaskId id, int attempt) {
    // The run may have been transferred to a newer incarnation after the command was sent.
    return workers
        .find(workerKey.id())
        .map(found -> found.tasks.get(id))
        .filter(task -> task.attempt == attempt);
  }

  /** Handles a worker's response to a start command. */
  void onStartAnswered(
      SchedulerCommand.StartTask start,
      StartOutcome outcome,
      long now,
      long wallClockMilliseconds) {
    Optional<Task> found = findCurrentRun(start.worker(), start.task(), start.attempt());
    if (outcome != StartOutcome.STARTED) {
      logger.atInfo().log(
          "event=start_not_confirmed task=%s attempt=%d worker=%s outcome=%s current=%s",
          start.task(), start.attempt(), start.worker(), outcome, found.isPresent());
    }
    if (outcome == StartOutcome.STARTED_BY_LATER_INCARNATION) {
      workers
          .find(start.worker().id())
          .ifPresent(worker -> workerTracker.onStartedByLaterIncarnation(worker, now));
      found.ifPresent(task -> lifecycle.noteIncarnation(task, unknownIncarnation(start)));
    }
    if (found.isEmpty() || found.get().runState != Task.RunState.SENT) {
      return;
    }
    Task task = found.get();
    switch (outcome) {
      // A superseded start has run and ended, or was stopped before: the worker's next status
      // tells.
      case STARTED, STARTED_BY_LATER_INCARNATION, SUPERSEDED -> {
        if (outcome == StartOutcome.STARTED) {
          task.timer.start(now);
        }
        task.runState = Task.RunState.RUNNING;
        task.confirmedAt = now;
        task.startConfirmed = true;
      }
      case UNKNOWN -> {
        task.worker.ifPresent(worker -> worker.unreachable = true);
        task.runState = Task.RunState.UNCERTAIN;
        task.stopRequestedAt = now;
      }
      case NOT_RUN -> {
        task.worker.ifPresent(worker -> worker.unreachable = true);
        lifecycle.release(task, "not_run");
      }
      case GONE -> onWorkerReplaced(start.worker(), task);
      case MALFORMED ->
          lifecycle.onRunEnded(task, EndReason.FAILED, "", now, wallClockMilliseconds);
      case NO_ROOM -> {
        task.earliestStartAt = now + NO_ROOM_DELAY_MILLISECONDS;
        lifecycle.release(task, "no_room");
      }
      default -> lifecycle.release(task, outcome.name().toLowerCase(Locale.ROOT));
    }
  }

  private static WorkerKey unknownIncarnation(SchedulerCommand.StartTask start) {
    return new WorkerKey(start.worker().id(), 0);
  }

  /**
   * Handles a refusal by a process that took the address which a start was sent to. It proves the
   * end of the incarnation at that address only; a later one may have another address.
   */
  private void onWorkerReplaced(WorkerKey replaced, Task task) {
    Optional<Worker> ended = workers.find(replaced);
    if (ended.isPresent()) {
      workerTracker.endWorker(ended.get());
    } else {
      lifecycle.releaseFromReplacedWorker(task);
    }
  }

  /** Handles a worker's response to a stop command. */
  void onStopAnswered(SchedulerCommand.StopTask stop, boolean carriedOut, long now) {
    // An incarnation that has been replaced says nothing for the one that the run is with now.
    workers
        .find(stop.worker())
        .flatMap(worker -> findCurrentRun(stop.worker(), stop.task(), stop.attempt()))
        .filter(task -> carriedOut && task.runState == Task.RunState.STOPPING)
        .ifPresent(task -> task.confirmedAt = now);
  }

  /** Handles a worker's response to a pace command. */
  void onPaceAnswered(SchedulerCommand.PaceTask pace, boolean carriedOut, long now) {
    if (!carriedOut) {
      // The pacer resends the pace to runs whose pace differs from the worker's.
      findCurrentRun(pace.worker(), pace.task(), pace.attempt())
          .ifPresent(task -> task.pacePercent = Task.UNKNOWN_PACE);
    }
    logger.atInfo().log(
        "event=pace_answered task=%s percent=%d carried_out=%s",
        pace.task(), pace.percent(), carriedOut);
  }

  /**
   * Stops runs whose start outcome stays unknown, and resends unconfirmed stop commands. Neither
   * makes more tasks of a step unavailable than its maximum.
   */
  void retryUnanswered(long now) {
    for (Worker worker : workers.all()) {
      for (Task task : List.copyOf(worker.tasks.values())) {
        boolean startTimedOut =
            task.runState == Task.RunState.UNCERTAIN
                && now - task.stopRequestedAt >= UNCERTAIN_START_TIMEOUT_MILLISECONDS;
        boolean stopUnconfirmed =
            task.runState == Task.RunState.STOPPING && task.confirmedAt == Long.MAX_VALUE;
        if (startTimedOut && maySendStop(task, worker, now, 0)) {
          lifecycle.stopUncertainRun(task, now);
        } else if (stopUnconfirmed
            && maySendStop(task, worker, now, STOP_RETRY_DELAY_MILLISECONDS)) {
          lifecycle.resendStop(task, now);
        }
      }
    }
  }

  /**
   * Returns whether a stop, if it is executed at once, makes no more tasks of the step unavailable
   * than its maximum, and the last stop is long enough ago: the step tolerates one more, or the run
   * is not available yet, which only a status shows that has just arrived. The maximum does not
   * apply to a worker that is draining, nor after the job has ended.
   *
   * @param delay least time since the last stop if the step tolerates one more unavailable task
   */
  private static boolean maySendStop(Task task, Worker worker, long now, long delay) {
    long sinceLastStop = now - task.stopRequestedAt;
    if (worker.report.draining() || !task.job.isOpen() || WorkerEvacuator.canStop(task)) {
      return sinceLastStop >= delay;
    }
    return task.percent < Task.FULL_PERCENT
        && now - worker.statusReceivedAt <= RECENT_STATUS_MILLISECONDS
        && sinceLastStop >= STOP_RETRY_DELAY_AFTER_STATUS_MILLISECONDS;
  }
}
