package org.flamingochute.scheduling.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.scheduling.duration.DurationModel;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.schema.scheduling.FleetLoad;

/**
 * Predicts how long a job that is submitted now and sorted last waits for capacity in each pool.
 *
 * <p>The wait is the remaining work of the tasks that are ready to run, divided by the processor
 * capacity that long-running tasks leave. It is 0 while no task waits for capacity. The caller
 * writes the result.
 */
final class PoolWaits {
  private static final long COMPUTATION_INTERVAL_MILLISECONDS = 300;

  /**
   * Time after which an unchanged load is written again while any wait is above 0. Nodes use a load
   * for 1.5 s after it was written, and it may take 300 ms until the next append and 450 ms more
   * until a node has read it.
   */
  private static final long REPETITION_INTERVAL_MILLISECONDS = 600;

  /** Part of a wait by which it must change to be written before the repetition. */
  private static final long CHANGE_DIVISOR = 10;

  private final WorkerRegistry workers;
  private final JobRegistry jobs;
  private final TeamUsage teamUsage;
  private final DurationModel durations;
  private Map<PoolId, Long> waits = Map.of();
  private Map<PoolId, Long> writtenWaits = Map.of();
  private Optional<FleetLoad> unwrittenLoad = Optional.empty();
  private long computedAt = Long.MIN_VALUE / 2;
  private long writtenAt = Long.MIN_VALUE / 2;

  /** The work and the capacity of one pool. */
  private static final class PoolWork {
    private long capacityMillicores;

    /** Not an integer, since a caller's estimate may be any number. */
    private double millicoreMilliseconds;

    private boolean hasWaitingTask;
  }

  PoolWaits(
      WorkerRegistry workers, JobRegistry jobs, TeamUsage teamUsage, DurationModel durations) {
    this.workers = workers;
    this.jobs = jobs;
    this.teamUsage = teamUsage;
    this.durations = durations;
  }

  /** Computes the waits if that is due. To be called after tasks were placed. */
  void update(FleetDeclaration declaration, long now, long wallClockMilliseconds) {
    if (now - computedAt < COMPUTATION_INTERVAL_MILLISECONDS) {
      return;
    }
    computedAt = now;
    waits = computeWaits(declaration, now, wallClockMilliseconds);
    boolean isRepetitionDue =
        !waits.isEmpty() && now - writtenAt >= REPETITION_INTERVAL_MILLISECONDS;
    unwrittenLoad =
        isRepetitionDue || hasChanged()
            ? Optional.of(toRecord(wallClockMilliseconds))
            : Optional.empty();
  }

  /** Removes and returns the load that is to be written. */
  Optional<FleetLoad> take() {
    Optional<FleetLoad> taken = unwrittenLoad;
    if (taken.isPresent()) {
      unwrittenLoad = Optional.empty();
      writtenWaits = waits;
      writtenAt = computedAt;
    }
    return taken;
  }

  private boolean hasChanged() {
    if (!waits.keySet().equals(writtenWaits.keySet())) {
      return true;
    }
    for (Map.Entry<PoolId, Long> entry : waits.entrySet()) {
      long written = writtenWaits.get(entry.getKey());
      if (Math.abs(entry.getValue() - written) > written / CHANGE_DIVISOR) {
        return true;
      }
    }
    return false;
  }

  private FleetLoad toRecord(long wallClockMilliseconds) {
    FleetLoad.Builder load = FleetLoad.newBuilder().setObservedMilliseconds(wallClockMilliseconds);
    waits.forEach((pool, wait) -> load.putWaitMilliseconds(pool.value(), wait));
    return load.build();
  }

  /** Returns the waits above 0. A pool without capacity has none, since its wait is not known. */
  private Map<PoolId, Long> computeWaits(
      FleetDeclaration declaration, long now, long wallClockMilliseconds) {
    Map<PoolId, PoolWork> workByPool = new HashMap<>();
    for (Worker worker : workers.all()) {
      if (isCapacity(worker)) {
        workByPool.computeIfAbsent(worker.report.pool(), pool -> new PoolWork())
                .capacityMillicores +=
            worker.report.capacity().processorMillicores();
      }
    }
    for (Job job : jobs.all()) {
      PoolWork work = workByPool.get(job.pool);
      if (job.isOpen() && work != null) {
        addJob(work, job, declaration, now, wallClockMilliseconds);
      }
    }
    Map<PoolId, Long> computed = new HashMap<>();
    workByPool.forEach(
        (pool, work) -> {
          if (work.hasWaitingTask && work.capacityMillicores > 0) {
            computed.put(pool, (long) (work.millicoreMilliseconds / work.capacityMillicores));
          }
        });
    computed.values().removeIf(wait -> wait <= 0);
    return computed;
  }

  /**
   * Returns whether a worker counts as capacity. Workers that have not been reached yet count too:
   * otherwise a new leader would predict long waits from the first workers that respond to it.
   */
  private static boolean isCapacity(Worker worker) {
    return worker.listed
        && !worker.unreachable
        && !worker.cordoned
        && !worker.evacuated
        && !worker.report.draining();
  }

  private void addJob(
      PoolWork work, Job job, FleetDeclaration declaration, long now, long wallClockMilliseconds) {
    for (Occurrence occurrence : job.occurrences) {
      if (!job.isDue(occurrence.dueMilliseconds, wallClockMilliseconds) || occurrence.isDone()) {
        continue;
      }
      for (int step = 0; step < occurrence.stepCount(); step++) {
        if (!occurrence.isStepDone(step) && occurrence.isReady(step)) {
          addStep(work, job, occurrence.tasksOf(step), declaration, now);
        }
      }
    }
  }

  private void addStep(
      PoolWork work, Job job, Task[] tasks, FleetDeclaration declaration, long now) {
    final long millicores = Worker.reservationOf(tasks[0].step).processorMillicores();
    final boolean isLongRunning = tasks[0].step.getLongRunning();
    final long duration = durations.expectedMilliseconds(tasks[0].step, job.definition.getQueue());
    final boolean fitsCap =
        teamUsage.fitsCap(
            job.team, TeamUsage.capOf(job, declaration), Worker.demandOf(tasks[0].step));
    for (Task task : tasks) {
      if (task.isDone()) {
        continue;
      }
      if (isLongRunning) {
        work.capacityMillicores -= millicores;
      } else if (task.worker.filter(worker -> worker.evacuated).isPresent()) {
        // It uses capacity that does not count, and leaves none to the tasks that wait.
        continue;
      } else if (task.isAssigned()) {
        work.millicoreMilliseconds +=
            (double) millicores * Math.max(0, duration - (now - task.assignedAt));
      } else if (fitsCap && millicores > 0) {
        work.millicoreMilliseconds += (double) millicores * Math.max(0, duration);
        work.hasWaitingTask = true;
      }
    }
  }
}
