package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.scheduling.worker.WorkerKey;

/** Follows orders to workers until it is certain what became of them. */
final class RunOrders {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Time for which a start without an answer may still show up in a listing before it is stopped.
   */
  private static final long UNCERTAIN_START_MILLISECONDS = 150;

  /** Pause before an order to stop is repeated. */
  private static final long STOP_RETRY_MILLISECONDS = 400;

  /** Pause before a task that a worker had no room for is placed again. */
  private static final long NO_ROOM_DELAY_MILLISECONDS = 50;

  private final WorkerBook workers;
  private final WorkerRoster roster;
  private final TaskLifecycle lifecycle;

  RunOrders(WorkerBook workers, WorkerRoster roster, TaskLifecycle lifecycle) {
    this.workers = workers;
    this.roster = roster;
    this.lifecycle = lifecycle;
  }

  /** Tells whether a recorded start is still wanted, and notes that it is sent now. */
  boolean beginStart(SchedulerCommand.StartTask start) {
    Optional<Task> found = current(start.worker(), start.task(), start.attempt());
    if (found.isEmpty() || found.get().order != Task.Order.RECORDING) {
      return false;
    }
    found.get().order = Task.Order.SENT;
    found.get().orderedAt = Long.MAX_VALUE;
    return true;
  }

  private Optional<Task> current(WorkerKey worker, TaskId id, int attempt) {
    return workers
        .find(worker)
        .map(found -> found.tasks.get(id))
        .filter(task -> task.attempt == attempt);
  }

  /** Takes a worker's answer to an order to start. */
  void startAnswered(
      SchedulerCommand.StartTask start, StartOutcome outcome, long now, long timeOfDay) {
    Optional<Task> found = current(start.worker(), start.task(), start.attempt());
    if (outcome != StartOutcome.STARTED) {
      logger.atInfo().log(
          "event=start_not_confirmed task=%s attempt=%d worker=%s outcome=%s current=%s",
          start.task(), start.attempt(), start.worker(), outcome, found.isPresent());
    }
    if (found.isEmpty() || found.get().order != Task.Order.SENT) {
      return;
    }
    Task task = found.get();
    switch (outcome) {
      case STARTED -> {
        task.order = Task.Order.RUNNING;
        task.orderedAt = now;
      }
      case UNKNOWN -> {
        task.worker.ifPresent(worker -> worker.unreachable = true);
        task.order = Task.Order.UNCERTAIN;
        task.stopAskedAt = now;
      }
      case NOT_RUN -> {
        task.worker.ifPresent(worker -> worker.unreachable = true);
        lifecycle.release(task, "not_run");
      }
      case GONE -> roster.incarnationOver(task.worker.orElseThrow(), "worker_replaced");
      case MALFORMED -> lifecycle.ended(task, EndReason.FAILED, "", now, timeOfDay);
      case NO_ROOM -> {
        task.notBefore = now + NO_ROOM_DELAY_MILLISECONDS;
        lifecycle.release(task, "no_room");
      }
      default -> lifecycle.release(task, outcome.name().toLowerCase(Locale.ROOT));
    }
  }

  /** Takes a worker's answer to an order to stop. */
  void stopAnswered(SchedulerCommand.StopTask stop, boolean carriedOut, long now) {
    Optional<Task> found = current(stop.worker(), stop.task(), stop.attempt());
    if (carriedOut && found.isPresent() && found.get().order == Task.Order.STOPPING) {
      found.get().orderedAt = now;
    }
  }

  /** Takes a worker's answer to an order to pace a run. */
  void paceAnswered(SchedulerCommand.PaceTask order, boolean carriedOut, long now) {
    if (!carriedOut) {
      // The pacer orders again what is not at the worker's pace.
      current(order.worker(), order.task(), order.attempt())
          .ifPresent(task -> task.pacePercent = Task.UNKNOWN_PACE);
    }
    logger.atInfo().log(
        "event=pace_answered task=%s percent=%d carried_out=%s",
        order.task(), order.percent(), carriedOut);
  }

  /** Stops starts whose outcome stays unknown, and repeats orders to stop. */
  void review(long now) {
    for (Worker worker : workers.all()) {
      for (Task task : List.copyOf(worker.tasks.values())) {
        boolean uncertain =
            task.order == Task.Order.UNCERTAIN
                && now - task.stopAskedAt >= UNCERTAIN_START_MILLISECONDS;
        boolean unanswered =
            task.order == Task.Order.STOPPING
                && task.orderedAt == Long.MAX_VALUE
                && now - task.stopAskedAt >= STOP_RETRY_MILLISECONDS;
        if (uncertain) {
          lifecycle.stop(task, now);
        } else if (unanswered) {
          lifecycle.stopAgain(task, now);
        }
      }
    }
  }
}
