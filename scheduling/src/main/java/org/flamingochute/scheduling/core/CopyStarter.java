package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.scheduling.duration.DurationModel;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.speculation.CopyPolicy;
import org.flamingochute.scheduling.speculation.RunObservation;
import org.flamingochute.schema.scheduling.QueuedStep;

/**
 * Starts copies of slow runs on capacity that no waiting task needs.
 *
 * <p>A copy runs on another worker than the first run, one that is neither slow, cold nor
 * suspended, and counts against its team's cap. The number of copies in a pool is limited.
 */
final class CopyStarter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time between two checks; workers report progress every 100 ms. */
  private static final long INTERVAL_MILLISECONDS = 50;

  /**
   * Number of candidates of a pool that got no copy, for want of a worker or because of their
   * team's cap, after which the others wait for the next check.
   */
  private static final int MAXIMUM_FAILED_TRIES = 8;

  private final WorkerRegistry workers;
  private final JobRegistry jobs;
  private final TeamUsage teamUsage;
  private final TaskLifecycle lifecycle;
  private final WorkerSelector workerSelector;
  private final DurationModel durations;
  private long nextCheckAt = Long.MIN_VALUE;

  private record Candidate(Task task, RunObservation run) {}

  /** The running tasks and slow runs of one pool. */
  private static final class PoolRuns {
    private int runningTasks;
    private int copies;
    private final List<Candidate> candidates = new ArrayList<>();
  }

  CopyStarter(
      WorkerRegistry workers,
      JobRegistry jobs,
      TeamUsage teamUsage,
      TaskLifecycle lifecycle,
      WorkerSelector workerSelector,
      DurationModel durations) {
    this.workers = workers;
    this.jobs = jobs;
    this.teamUsage = teamUsage;
    this.lifecycle = lifecycle;
    this.workerSelector = workerSelector;
    this.durations = durations;
  }

  /**
   * Returns whether tasks of a step may have copies. A step with a maximum of unavailable tasks may
   * not, since the runs of its tasks are stopped by another rule.
   */
  static boolean allowsCopies(QueuedStep step) {
    return step.getSpeculative()
        && !step.getLongRunning()
        && !step.getGang()
        && !step.getFiller()
        && step.getMaximumUnavailable() == 0;
  }

  /** Starts the copies that are due; to be called after waiting tasks have been placed. */
  void startCopies(FleetDeclaration declaration, long now, long wallClockMilliseconds) {
    if (now < nextCheckAt) {
      return;
    }
    nextCheckAt = now + INTERVAL_MILLISECONDS;
    Map<PoolId, PoolRuns> runsByPool = collectRuns(now);
    runsByPool.values().removeIf(runs -> runs.candidates.isEmpty());
    if (runsByPool.isEmpty()) {
      return;
    }
    runsByPool.keySet().removeAll(poolsWithWaitingTasks(declaration, wallClockMilliseconds));
    for (Map.Entry<PoolId, PoolRuns> entry : runsByPool.entrySet()) {
      startCopiesInPool(entry.getValue(), targetsIn(entry.getKey(), now), declaration, now);
    }
  }

  private Map<PoolId, PoolRuns> collectRuns(long now) {
    Map<PoolId, PoolRuns> runsByPool = new HashMap<>();
    for (Worker worker : workers.all()) {
      for (Task task : worker.tasks.values()) {
        if (task.step.getLongRunning()) {
          continue;
        }
        PoolRuns runs = runsByPool.computeIfAbsent(task.job.pool, pool -> new PoolRuns());
        if (task instanceof CopyRun) {
          runs.copies++;
          continue;
        }
        runs.runningTasks++;
        if (mayHaveCopyNow(task, now)) {
          RunObservation run = observe(task, worker, now);
          if (CopyPolicy.qualifies(run)) {
            runs.candidates.add(new Candidate(task, run));
          }
        }
      }
    }
    return runsByPool;
  }

  private static boolean mayHaveCopyNow(Task task, long now) {
    return allowsCopies(task.step)
        && task.isRunning()
        && task.copy.isEmpty()
        && task.job.isOpen()
        && task.pacePercent == Task.FULL_PERCENT
        && task.earliestCopyAt <= now
        && toleratesFailure(task);
  }

  /** Returns whether the job goes on if the copy fails; a healthy first run must not be lost. */
  private static boolean toleratesFailure(Task task) {
    return task.failures + 1 < task.job.policy.getMaximumAttempts();
  }

  private RunObservation observe(Task task, Worker worker, long now) {
    return new RunObservation(
        task.statusReceivedAt - task.assignedAt,
        task.percent,
        durations.expectedMilliseconds(task.step, task.job.definition.getQueue()),
        worker.slow,
        worker.unreachable ? now - task.statusReceivedAt : 0);
  }

  /** Returns the pools in which a task that could run within its team's cap has no worker. */
  private Set<PoolId> poolsWithWaitingTasks(
      FleetDeclaration declaration, long wallClockMilliseconds) {
    Set<PoolId> pools = new HashSet<>();
    for (Job job : jobs.all()) {
      if (job.isOpen()
          && !pools.contains(job.pool)
          && hasWaitingTask(job, declaration, wallClockMilliseconds)) {
        pools.add(job.pool);
      }
    }
    return pools;
  }

  private boolean hasWaitingTask(
      Job job, FleetDeclaration declaration, long wallClockMilliseconds) {
    for (Occurrence occurrence : job.occurrences) {
      if (!job.isDue(occurrence.dueMilliseconds, wallClockMilliseconds)) {
        return false;
      }
      for (int step = 0; step < occurrence.stepCount(); step++) {
        if (occurrence.isStepDone(step) || !occurrence.isReady(step)) {
          continue;
        }
        for (Task task : occurrence.tasksOf(step)) {
          if (task.isWaiting() && fitsCap(task, declaration)) {
            return true;
          }
        }
      }
    }
    return false;
  }

  private boolean fitsCap(Task task, FleetDeclaration declaration) {
    return teamUsage.fitsCap(
        task.job.team, TeamUsage.capOf(task.job, declaration), Worker.demandOf(task.step));
  }

  private List<Worker> targetsIn(PoolId pool, long now) {
    List<Worker> targets = new ArrayList<>();
    for (Worker worker : workers.all()) {
      boolean isHealthy = worker.isSchedulable() && !ColdWorkers.countsAsSlow(worker, now);
      if (isHealthy && worker.report.pool().equals(pool) && !workerSelector.isSuspended(worker)) {
        targets.add(worker);
      }
    }
    return targets;
  }

  private void startCopiesInPool(
      PoolRuns runs, List<Worker> targets, FleetDeclaration declaration, long now) {
    int allowed = CopyPolicy.maximumCopies(runs.runningTasks) - runs.copies;
    if (allowed <= 0) {
      return;
    }
    runs.candidates.sort(
        Comparator.comparingLong((Candidate candidate) -> candidate.run().remainingMilliseconds())
            .reversed());
    int failedTries = 0;
    for (Candidate candidate : runs.candidates) {
      Task task = candidate.task();
      Optional<Worker> target =
          fitsCap(task, declaration) ? selectTarget(task, targets, now) : Optional.empty();
      if (target.isEmpty()) {
        failedTries++;
        if (failedTries == MAXIMUM_FAILED_TRIES) {
          return;
        }
        continue;
      }
      lifecycle.startCopy(task, target.get(), now);
      logStarted(candidate, target.get());
      allowed--;
      if (allowed == 0) {
        return;
      }
    }
  }

  /** Selects a worker other than that of the task's run, on which no run of it has failed. */
  private Optional<Worker> selectTarget(Task task, List<Worker> targets, long now) {
    List<Worker> others = new ArrayList<>(targets);
    others.removeIf(
        worker -> worker.tasks.containsKey(task.id) || task.failedOn.contains(worker.key.id()));
    return workerSelector.select(task, others, now);
  }

  private static void logStarted(Candidate candidate, Worker target) {
    Task task = candidate.task();
    logger.atInfo().log(
        "event=copy_started task=%s attempt=%d worker=%s first_worker=%s elapsed_ms=%d percent=%d"
            + " expected_ms=%d silent_ms=%d",
        task.id,
        task.highestCopyAttempt,
        target.key,
        task.worker.map(worker -> worker.key.toString()).orElse("-"),
        candidate.run().elapsedMilliseconds(),
        candidate.run().percent(),
        candidate.run().expectedMilliseconds(),
        candidate.run().silentMilliseconds());
  }
}
