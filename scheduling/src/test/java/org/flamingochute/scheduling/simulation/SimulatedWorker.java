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
import org.flamingochute.scheduling.worker.WorkerListing;
import org.flamingochute.scheduling.worker.WorkerReport;

/** A worker that keeps leases, fencing tokens and lists of ends as the platform describes them. */
final class SimulatedWorker {
  final String name;
  final PoolId pool;
  final ResourceVector capacity;
  final List<String> labels;
  boolean listed = true;
  boolean reachable = true;
  boolean draining;
  boolean failsEverything;
  boolean stalls;
  long slowness = 1;
  boolean losesNextStartAnswer;
  long delaysNextStart;
  long born;
  long leaseEndsAt;
  private long token;
  private long nextEnd = 1;
  private final Map<TaskId, Run> runs = new LinkedHashMap<>();
  private final Map<TaskId, Integer> highestEnded = new LinkedHashMap<>();
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
      String name, PoolId pool, ResourceVector capacity, List<String> labels, long born) {
    this.name = name;
    this.pool = pool;
    this.capacity = capacity;
    this.labels = labels;
    this.born = born;
  }

  WorkerReport report() {
    return new WorkerReport(
        new WorkerKey(new InstanceId(name), born),
        pool,
        name,
        new DataCentreId("a"),
        capacity,
        labels,
        draining);
  }

  WorkerKey key() {
    return report().key();
  }

  Iterable<Run> runs() {
    return runs.values();
  }

  /** Starts again: nothing of before is known. */
  void restart(long now) {
    runs.clear();
    finished.clear();
    highestEnded.clear();
    token = 0;
    nextEnd = 1;
    born = now;
    leaseEndsAt = 0;
  }

  Optional<WorkerListing> renew(long fencingToken, long deadline, long acknowledged) {
    if (fencingToken < token) {
      return Optional.empty();
    }
    token = fencingToken;
    leaseEndsAt = Math.max(leaseEndsAt, deadline);
    finished.removeIf(end -> end.number() <= acknowledged);
    List<RunningTask> running = new ArrayList<>();
    for (Run run : runs.values()) {
      long percent = Math.min(100, 100 * run.workedMilliseconds / run.durationMilliseconds);
      running.add(new RunningTask(run.task, run.attempt, "", (int) percent, 0));
    }
    return Optional.of(new WorkerListing(born, 1, running, finished));
  }

  StartOutcome start(SchedulerCommand.StartTask start, long fencingToken, long deadline, Run run) {
    if (fencingToken < token) {
      return StartOutcome.FENCED;
    }
    token = fencingToken;
    leaseEndsAt = Math.max(leaseEndsAt, deadline);
    Run known = runs.get(start.task());
    if (known != null && known.attempt == start.attempt()) {
      return StartOutcome.STARTED;
    }
    if (highestEnded.getOrDefault(start.task(), 0) >= start.attempt()) {
      return StartOutcome.SUPERSEDED;
    }
    runs.put(start.task(), run);
    return StartOutcome.STARTED;
  }

  boolean stop(SchedulerCommand.StopTask stop, long fencingToken) {
    if (fencingToken < token) {
      return false;
    }
    token = fencingToken;
    highestEnded.merge(stop.task(), stop.attempt(), Math::max);
    Run run = runs.get(stop.task());
    if (run != null && run.attempt <= stop.attempt()) {
      end(run, EndReason.STOPPED);
    }
    return true;
  }

  /** Works for a while; returns the runs that ended. */
  List<FinishedTask> work(long now, long milliseconds) {
    int before = finished.size();
    if (!runs.isEmpty() && now > leaseEndsAt) {
      List.copyOf(runs.values()).forEach(run -> end(run, EndReason.LAPSED));
    }
    for (Run run : List.copyOf(runs.values())) {
      if (failsEverything) {
        end(run, EndReason.FAILED);
        continue;
      }
      run.workedMilliseconds += stalls ? 0 : milliseconds / slowness;
      if (run.workedMilliseconds >= run.durationMilliseconds) {
        end(run, EndReason.DONE);
      }
    }
    return List.copyOf(finished.subList(before, finished.size()));
  }

  private void end(Run run, EndReason reason) {
    runs.remove(run.task);
    highestEnded.merge(run.task, run.attempt, Math::max);
    finished.add(new FinishedTask(nextEnd++, run.task, run.attempt, reason, ""));
  }
}
