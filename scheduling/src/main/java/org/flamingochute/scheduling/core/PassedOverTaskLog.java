package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;

/**
 * Logs which task has been able to run for longest without being started although a worker has
 * capacity for it, and what keeps it back.
 *
 * <p>The tasks of a step are alike, so only the first waiting task of each step is looked at. At
 * most one line is written per interval.
 */
final class PassedOverTaskLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long INTERVAL_MILLISECONDS = 1_000;

  /** Age from which a task that could run is logged. */
  private static final long MINIMUM_AGE_MILLISECONDS = 3_000;

  private final WorkerRegistry workers;
  private final JobRegistry jobs;
  private final TeamUsage teamUsage;
  private final WorkerSelector workerSelector;
  private Map<StepKey, Long> runnableSince = new HashMap<>();
  private long nextCheckAt = Long.MIN_VALUE;

  private record StepKey(Occurrence occurrence, int step) {}

  private record PassedOver(Task task, String reason, WorkerCounts counts, long age) {}

  PassedOverTaskLog(
      WorkerRegistry workers,
      JobRegistry jobs,
      TeamUsage teamUsage,
      WorkerSelector workerSelector) {
    this.workers = workers;
    this.jobs = jobs;
    this.teamUsage = teamUsage;
    this.workerSelector = workerSelector;
  }

  /** Looks for tasks that are passed over, if the last time is long enough ago. */
  void update(FleetDeclaration declaration, long now, long wallClockMilliseconds) {
    if (now < nextCheckAt) {
      return;
    }
    nextCheckAt = now + INTERVAL_MILLISECONDS;
    Map<StepKey, Long> stillRunnable = new HashMap<>();
    Optional<PassedOver> oldest = Optional.empty();
    for (Job job : jobs.all()) {
      if (!job.isOpen()) {
        continue;
      }
      for (Occurrence occurrence : job.occurrences) {
        if (!job.isDue(occurrence.dueMilliseconds, wallClockMilliseconds)) {
          break;
        }
        for (int step = 0; step < occurrence.stepCount(); step++) {
          Optional<Task> task = firstKeptBack(occurrence, step, now);
          if (task.isEmpty()) {
            continue;
          }
          StepKey key = new StepKey(occurrence, step);
          long since = runnableSince.getOrDefault(key, now);
          stillRunnable.put(key, since);
          boolean isOldest = oldest.isEmpty() || now - since > oldest.get().age();
          if (now - since >= MINIMUM_AGE_MILLISECONDS && isOldest) {
            Optional<PassedOver> explained = explain(task.get(), declaration, now - since, now);
            oldest = explained.isPresent() ? explained : oldest;
          }
        }
      }
    }
    runnableSince = stillRunnable;
    oldest.ifPresent(PassedOverTaskLog::log);
  }

  /** Returns the first task of a ready step that waits, or whose start is not recorded yet. */
  private static Optional<Task> firstKeptBack(Occurrence occurrence, int step, long now) {
    if (occurrence.isStepDone(step) || !occurrence.isReady(step)) {
      return Optional.empty();
    }
    for (Task task : occurrence.tasksOf(step)) {
      boolean isUnrecorded = task.isAssigned() && task.runState == Task.RunState.RECORDING;
      if (isUnrecorded || task.isWaiting() && task.earliestStartAt <= now) {
        return Optional.of(task);
      }
    }
    return Optional.empty();
  }

  /** Returns what keeps a task back, or empty if no worker has capacity for it. */
  private Optional<PassedOver> explain(
      Task task, FleetDeclaration declaration, long age, long now) {
    WorkerCounts counts = countWorkers(task, now);
    if (task.isAssigned()) {
      return Optional.of(new PassedOver(task, "record_not_stored", counts, age));
    }
    if (counts.withCapacity == 0) {
      return Optional.empty();
    }
    ResourceVector cap = TeamUsage.capOf(task.job, declaration);
    boolean fitsCap = teamUsage.fitsCap(task.job.team, cap, Worker.demandOf(task.step));
    String reason = fitsCap ? reasonOfWorkers(task, counts) : "organisation_cap";
    return Optional.of(new PassedOver(task, reason, counts, age));
  }

  private static String reasonOfWorkers(Task task, WorkerCounts counts) {
    if (counts.withCapacity == counts.notSchedulable) {
      return "workers_not_schedulable";
    }
    if (counts.withCapacity == counts.notSchedulable + counts.notAllowed) {
      return "step_rules";
    }
    if (counts.withCapacity == counts.notSchedulable + counts.notAllowed + counts.suspended) {
      return "workers_suspended";
    }
    return task.step.getGang() ? "gang_incomplete" : "order_in_queue";
  }

  private WorkerCounts countWorkers(Task task, long now) {
    WorkerCounts counts = new WorkerCounts();
    ResourceVector reservation = Worker.reservationOf(task.step);
    for (Worker worker : List.copyOf(workers.all())) {
      if (!worker.report.pool().equals(task.job.pool)) {
        continue;
      }
      counts.all++;
      if (!reservation.fitsIn(worker.freeCapacity())) {
        continue;
      }
      counts.withCapacity++;
      if (!worker.isSchedulable()) {
        counts.notSchedulable++;
      } else if (!WorkerSelector.mayRun(task, worker)) {
        counts.notAllowed++;
      } else if (workerSelector.isSuspended(worker)) {
        counts.suspended++;
      }
    }
    return counts;
  }

  private static final class WorkerCounts {
    private int all;
    private int withCapacity;
    private int notSchedulable;
    private int notAllowed;
    private int suspended;
  }

  private static void log(PassedOver passedOver) {
    WorkerCounts counts = passedOver.counts();
    logger.atInfo().log(
        "event=task_passed_over task=%s queue=%s waiting_ms=%d reason=%s workers=%d"
            + " with_capacity=%d not_schedulable=%d not_allowed=%d suspended=%d",
        passedOver.task().id,
        passedOver.task().job.definition.getQueue(),
        passedOver.age(),
        passedOver.reason(),
        counts.all,
        counts.withCapacity,
        counts.notSchedulable,
        counts.notAllowed,
        counts.suspended);
  }
}
