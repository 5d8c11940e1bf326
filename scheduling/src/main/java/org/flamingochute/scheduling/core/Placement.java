package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Team;

/** Gives the waiting tasks of all pools their workers, as far as room and caps reach. */
final class Placement {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final WorkerBook workers;
  private final JobBook jobs;
  private final TeamUsage usage;
  private final TaskLifecycle lifecycle;
  private final WorkerChoice choice;
  private final UrgencyOrder order = new UrgencyOrder();

  Placement(
      WorkerBook workers,
      JobBook jobs,
      TeamUsage usage,
      TaskLifecycle lifecycle,
      WorkerChoice choice) {
    this.workers = workers;
    this.jobs = jobs;
    this.usage = usage;
    this.lifecycle = lifecycle;
    this.choice = choice;
  }

  /** Places what can be placed now. */
  void run(FleetDeclaration declaration, long now, long timeOfDay) {
    Map<PoolId, List<Worker>> usable = usableWorkers();
    for (Map.Entry<PoolId, List<Job>> entry : openJobs().entrySet()) {
      List<Worker> pool = usable.getOrDefault(entry.getKey(), List.of());
      if (pool.isEmpty()) {
        continue;
      }
      order.sort(entry.getValue(), timeOfDay);
      for (Job job : entry.getValue()) {
        placeJob(job, pool, declaration, now, timeOfDay);
      }
    }
  }

  private Map<PoolId, List<Worker>> usableWorkers() {
    Map<PoolId, List<Worker>> usable = new HashMap<>();
    for (Worker worker : workers.all()) {
      if (worker.isUsable()) {
        usable.computeIfAbsent(worker.report.pool(), pool -> new ArrayList<>()).add(worker);
      }
    }
    return usable;
  }

  private Map<PoolId, List<Job>> openJobs() {
    Map<PoolId, List<Job>> open = new HashMap<>();
    for (Job job : jobs.all()) {
      if (job.isOpen()) {
        open.computeIfAbsent(job.pool, pool -> new ArrayList<>()).add(job);
      }
    }
    return open;
  }

  private void placeJob(
      Job job, List<Worker> pool, FleetDeclaration declaration, long now, long timeOfDay) {
    for (Occurrence occurrence : job.occurrences) {
      if (!job.isDue(occurrence.dueMilliseconds, timeOfDay)) {
        break;
      }
      for (int step = 0; step < occurrence.stepCount(); step++) {
        if (!occurrence.isStepDone(step) && occurrence.isReady(step)) {
          placeStep(occurrence.tasksOf(step), pool, capOf(job, declaration), now);
        }
      }
    }
  }

  private static ResourceVector capOf(Job job, FleetDeclaration declaration) {
    Optional<TeamId> team = job.team;
    return team.flatMap(declaration::team).map(Team::cap).orElse(ResourceVector.ZERO);
  }

  private void placeStep(Task[] tasks, List<Worker> pool, ResourceVector cap, long now) {
    if (tasks[0].step.getGang()) {
      placeGang(tasks, pool, cap, now);
      return;
    }
    StringBuilder placed = new StringBuilder();
    for (Task task : tasks) {
      if (!task.isWaiting() || task.notBefore > now) {
        continue;
      }
      if (!usage.allows(task.job.team, cap, Worker.demandOf(task.step))) {
        break;
      }
      Optional<Worker> worker = choice.choose(task, pool, now);
      if (worker.isEmpty()) {
        break;
      }
      lifecycle.assign(task, worker.get(), task.attempt + 1, now);
      appendPlaced(placed, task, worker.get());
    }
    logPlaced(tasks[0], placed);
  }

  private static void appendPlaced(StringBuilder placed, Task task, Worker worker) {
    if (!placed.isEmpty()) {
      placed.append(',');
    }
    placed.append(task.id.index()).append('/').append(task.attempt).append('@').append(worker.key);
  }

  private static void logPlaced(Task first, StringBuilder placed) {
    if (!placed.isEmpty()) {
      logger.atInfo().log(
          "event=tasks_placed job=%s occurrence=%d step=%d runs=%s",
          first.id.job(), first.id.occurrence(), first.id.step(), placed);
    }
  }

  /** Members of a gang start together or not at all, under the same run number. */
  private void placeGang(Task[] tasks, List<Worker> pool, ResourceVector cap, long now) {
    int attempt = 0;
    for (Task task : tasks) {
      if (!task.isWaiting() || task.notBefore > now) {
        return;
      }
      attempt = Math.max(attempt, task.attempt);
    }
    List<Task> assigned = new ArrayList<>();
    StringBuilder placed = new StringBuilder();
    for (Task task : tasks) {
      Optional<Worker> worker =
          usage.allows(task.job.team, cap, Worker.demandOf(task.step))
              ? choice.choose(task, pool, now)
              : Optional.empty();
      if (worker.isEmpty()) {
        assigned.forEach(lifecycle::undoReservation);
        return;
      }
      lifecycle.reserve(task, worker.get());
      assigned.add(task);
    }
    for (Task task : assigned) {
      Worker worker = task.worker.orElseThrow();
      lifecycle.undoReservation(task);
      lifecycle.assign(task, worker, attempt + 1, now);
      appendPlaced(placed, task, worker);
    }
    logPlaced(tasks[0], placed);
  }
}
