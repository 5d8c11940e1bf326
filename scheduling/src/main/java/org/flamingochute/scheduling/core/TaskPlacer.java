package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;

/** Assigns the waiting tasks of all pools to workers, within free capacity and team caps. */
final class TaskPlacer {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final WorkerRegistry workers;
  private final JobRegistry jobs;
  private final TeamUsage teamUsage;
  private final TaskLifecycle lifecycle;
  private final WorkerSelector workerSelector;
  private final CapacityShortage shortage;
  private final UrgencyOrder urgencyOrder = new UrgencyOrder();

  TaskPlacer(
      WorkerRegistry workers,
      JobRegistry jobs,
      TeamUsage teamUsage,
      TaskLifecycle lifecycle,
      WorkerSelector workerSelector,
      CapacityShortage shortage) {
    this.workers = workers;
    this.jobs = jobs;
    this.teamUsage = teamUsage;
    this.lifecycle = lifecycle;
    this.workerSelector = workerSelector;
    this.shortage = shortage;
  }

  /** Places all tasks that can be placed now. */
  void placeTasks(FleetDeclaration declaration, long now, long wallClockMilliseconds) {
    Map<PoolId, List<Worker>> schedulable = schedulableWorkersByPool();
    shortage.beginPass();
    for (Map.Entry<PoolId, List<Job>> entry : openJobsByPool().entrySet()) {
      PoolRoom room = new PoolRoom(schedulable.getOrDefault(entry.getKey(), List.of()));
      if (room.workers().isEmpty()) {
        continue;
      }
      urgencyOrder.sortByUrgency(entry.getValue(), wallClockMilliseconds);
      for (Job job : entry.getValue()) {
        placeJob(job, room, declaration, now, wallClockMilliseconds);
      }
    }
    shortage.endPass(now);
  }

  private Map<PoolId, List<Worker>> schedulableWorkersByPool() {
    Map<PoolId, List<Worker>> schedulable = new HashMap<>();
    for (Worker worker : workers.all()) {
      if (worker.isSchedulable()) {
        schedulable.computeIfAbsent(worker.report.pool(), pool -> new ArrayList<>()).add(worker);
      }
    }
    return schedulable;
  }

  private Map<PoolId, List<Job>> openJobsByPool() {
    Map<PoolId, List<Job>> open = new HashMap<>();
    for (Job job : jobs.all()) {
      if (job.isOpen()) {
        open.computeIfAbsent(job.pool, pool -> new ArrayList<>()).add(job);
      }
    }
    return open;
  }

  private void placeJob(
      Job job, PoolRoom room, FleetDeclaration declaration, long now, long wallClockMilliseconds) {
    for (Occurrence occurrence : job.occurrences) {
      if (!job.isDue(occurrence.dueMilliseconds, wallClockMilliseconds)) {
        break;
      }
      for (int step = 0; step < occurrence.stepCount(); step++) {
        if (!occurrence.isStepDone(step) && occurrence.isReady(step)) {
          placeStep(occurrence.tasksOf(step), room, TeamUsage.capOf(job, declaration), now);
        }
      }
    }
  }

  private void placeStep(Task[] tasks, PoolRoom room, ResourceVector cap, long now) {
    if (tasks[0].step.getGang()) {
      placeGang(tasks, room.workers(), cap, now);
      return;
    }
    ResourceVector reservation = Worker.reservationOf(tasks[0].step);
    StringBuilder placedRuns = new StringBuilder();
    for (Task task : tasks) {
      if (!task.isWaiting() || task.earliestStartAt > now) {
        continue;
      }
      if (!teamUsage.fitsCap(task.job.team, cap, Worker.demandOf(task.step))) {
        break;
      }
      Optional<Worker> worker =
          room.isKnownToExceed(reservation)
              ? Optional.empty()
              : workerSelector.select(task, room.workers(), now);
      if (worker.isEmpty()) {
        room.onNotPlaced(reservation);
        addNotPlaced(tasks, task, room.workers(), now);
        break;
      }
      lifecycle.assign(task, worker.get(), task.nextAttempt(), now);
      appendPlaced(placedRuns, task, worker.get());
    }
    logPlaced(tasks[0], placedRuns);
  }

  /** Adds the waiting tasks of a step, from the first one that no worker had room for. */
  private void addNotPlaced(Task[] tasks, Task first, List<Worker> poolWorkers, long now) {
    int count = 0;
    for (int index = first.id.index(); index < tasks.length; index++) {
      if (tasks[index].isWaiting() && tasks[index].earliestStartAt <= now) {
        count++;
      }
    }
    ResourceVector capacity = poolWorkers.getFirst().report.capacity();
    shortage.add(first.job.pool, first.step, count, poolWorkers.size(), capacity);
  }

  private static void appendPlaced(StringBuilder placedRuns, Task task, Worker worker) {
    if (!placedRuns.isEmpty()) {
      placedRuns.append(',');
    }
    placedRuns
        .append(task.id.index())
        .append('/')
        .append(task.attempt)
        .append('@')
        .append(worker.key);
  }

  private static void logPlaced(Task first, StringBuilder placedRuns) {
    if (!placedRuns.isEmpty()) {
      logger.atInfo().log(
          "event=tasks_placed job=%s occurrence=%d step=%d runs=%s",
          first.id.job(), first.id.occurrence(), first.id.step(), placedRuns);
    }
  }

  /** Places all members of a gang with the same attempt number, or none of them. */
  private void placeGang(Task[] tasks, List<Worker> poolWorkers, ResourceVector cap, long now) {
    int attempt = 1;
    for (Task task : tasks) {
      if (!task.isWaiting() || task.earliestStartAt > now) {
        return;
      }
      attempt = Math.max(attempt, task.nextAttempt());
    }
    List<Task> reservedTasks = new ArrayList<>();
    StringBuilder placedRuns = new StringBuilder();
    for (Task task : tasks) {
      Optional<Worker> worker =
          teamUsage.fitsCap(task.job.team, cap, Worker.demandOf(task.step))
              ? workerSelector.select(task, poolWorkers, now)
              : Optional.empty();
      if (worker.isEmpty()) {
        reservedTasks.forEach(lifecycle::cancelReservation);
        return;
      }
      lifecycle.reserve(task, worker.get());
      reservedTasks.add(task);
    }
    for (Task task : reservedTasks) {
      Worker worker = task.worker.orElseThrow();
      lifecycle.cancelReservation(task);
      lifecycle.assign(task, worker, attempt, now);
      appendPlaced(placedRuns, task, worker);
    }
    logPlaced(tasks[0], placedRuns);
  }
}
