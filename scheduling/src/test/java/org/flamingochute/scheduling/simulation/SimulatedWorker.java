package org.flamingochute.scheduling.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.core.StartOutcome;
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.scheduling.worker.FinishedTask;
import org.flamingochute.scheduling.worker.RunningTask;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.scheduling.worker.WorkerStatus;

/**
 * A worker that implements leases, fencing tokens and lists of finished runs like the platform's.
 */
final class SimulatedWorker {
  /** Longest lease that a worker accepts. */
  static final long MAXIMUM_LEASE_MILLISECONDS = 10_000;

  final String name;
  String address;
  final PoolId pool;
  final ResourceVector capacity;
  final List<String> labels;
  boolean listed = true;
  boolean reachable = true;
  boolean draining;
  boolean failsAllRuns;
  boolean stallsRuns;
  long slowdownFactor = 1;
  boolean losesNextStartResponse;
  boolean restartsBeforeNextStart;
  long nextStartDelayMilliseconds;
  long startedAt;
  long leaseExpiresAt;
  private long highestFencingToken;
  private long nextFinishedNumber = 1;
  private final Map<TaskId, Run> runs = new LinkedHashMap<>();
  private final Map<TaskId, Integer> highestEndedAttempts = new LinkedHashMap<>();
  private final List<FinishedTask> finished = new ArrayList<>();

  /** One run. */
  static final class Run {
    final TaskId task;
    final int attempt;
    final long durationMilliseconds;
    long workedMilliseconds;

    Run(TaskId task, int attempt, long durationMilliseconds) {
      this.task = task;
      this.attempt = attempt;
      this.durationMilliseconds = durationMilliseconds;
    }
  }

  SimulatedWorker(
      String name, PoolId pool, ResourceVector capacity, List<String> labels, long startedAt) {
    this.name = name;
    this.address = name;
    this.pool = pool;
    this.capacity = capacity;
    this.labels = labels;
    this.startedAt = startedAt;
  }

  WorkerReport report() {
    return new WorkerReport(
        new WorkerKey(new InstanceId(name), startedAt),
        pool,
        address,
        new DataCentreId("a"),
        capacity,
        labels,
        draining);
  }

  WorkerKey key() {
    return report().key();
  }

  /**
   * Returns the end of the lease that this worker derives from a command to the given incarnation.
   * A deadline on the clock of a former incarnation is far in the future of a new one.
   */
  long leaseDeadline(WorkerKey addressee, long leaseMilliseconds, long now) {
    boolean isSameClock = key().equals(addressee);
    return now + (isSameClock ? leaseMilliseconds : MAXIMUM_LEASE_MILLISECONDS);
  }

  Iterable<Run> runs() {
    return runs.values();
  }

  /** Restarts the worker, which loses all its state. */
  void restart(long now) {
    runs.clear();
    finished.clear();
    highestEndedAttempts.clear();
    highestFencingToken = 0;
    nextFinishedNumber = 1;
    startedAt = now;
    leaseExpiresAt = 0;
  }

  Optional<WorkerStatus> renew(long fencingToken, long deadline, long acknowledged) {
    if (fencingToken < highestFencingToken) {
      return Optional.empty();
    }
    highestFencingToken = fencingToken;
    leaseExpiresAt = Math.max(leaseExpiresAt, deadline);
    finished.removeIf(end -> end.number() <= acknowledged);
    List<RunningTask> running = new ArrayList<>();
    for (Run run : runs.values()) {
      long percent = Math.min(100, 100 * run.workedMilliseconds / run.durationMilliseconds);
      running.add(new RunningTask(run.task, run.attempt, "", (int) percent, 0));
    }
    return Optional.of(new WorkerStatus(startedAt, 1, running, finished));
  }

  StartOutcome start(SchedulerCommand.StartTask start, long fencingToken, long deadline, Run run) {
    if (fencingToken < highestFencingToken) {
      return StartOutcome.FENCED;
    }
    highestFencingToken = fencingToken;
    leaseExpiresAt = Math.max(leaseExpiresAt, deadline);
    Run known = runs.get(start.task());
    if (known != null && known.attempt == start.attempt()) {
      return StartOutcome.STARTED;
    }
    if (highestEndedAttempts.getOrDefault(start.task(), 0) >= start.attempt()) {
      return StartOutcome.SUPERSEDED;
    }
    runs.put(start.task(), run);
    return StartOutcome.STARTED;
  }

  boolean stop(SchedulerCommand.StopTask stop, long fencingToken) {
    if (fencingToken < highestFencingToken) {
      return false;
    }
    highestFencingToken = fencingToken;
    highestEndedAttempts.merge(stop.task(), stop.attempt(), Math::max);
    Run run = runs.get(stop.task());
    if (run != null && run.attempt <= stop.attempt()) {
      endRun(run, EndReason.STOPPED);
    }
    return true;
  }

  /** Advances the runs by the given time; returns those that ended. */
  List<FinishedTask> advance(long now, long milliseconds) {
    int before = finished.size();
    if (!runs.isEmpty() && now > leaseExpiresAt) {
      List.copyOf(runs.values()).forEach(run -> endRun(run, EndReason.LAPSED));
    }
    for (Run run : List.copyOf(runs.values())) {
      if (failsAllRuns) {
        endRun(run, EndReason.FAILED);
        continue;
      }
      run.workedMilliseconds += stallsRuns ? 0 : milliseconds / slowdownFactor;
      if (run.workedMilliseconds >= run.durationMilliseconds) {
        endRun(run, EndReason.DONE);
      }
    }
    return List.copyOf(finished.subList(before, finished.size()));
  }

  private void endRun(Run run, EndReason reason) {
    runs.remove(run.task);
    highestEndedAttempts.merge(run.task, run.attempt, Math::max);
    finished.add(new FinishedTask(nextFinishedNumber++, run.task, run.attempt, reason, ""));
  }
}
