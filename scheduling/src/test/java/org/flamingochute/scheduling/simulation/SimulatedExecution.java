package org.flamingochute.scheduling.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.scheduling.core.MachineOutcome;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.core.StartOutcome;
import org.flamingochute.scheduling.worker.FinishedTask;

/** Executes the commands of leaders on the workers, and checks each one. */
final class SimulatedExecution {
  private static final long DEFAULT_DURATION_MILLISECONDS = 100;

  private final SimulatedFleet fleet;
  private final SimulatedRuns runs;
  private final long leaseMilliseconds;
  private final Map<TaskId, Long> durations = new HashMap<>();
  private final Map<TaskId, Long> firstRunFactors = new HashMap<>();
  private final Set<JobId> failingJobs = new HashSet<>();

  SimulatedExecution(SimulatedFleet fleet, SimulatedRuns runs, long leaseMilliseconds) {
    this.fleet = fleet;
    this.runs = runs;
    this.leaseMilliseconds = leaseMilliseconds;
  }

  long now() {
    return fleet.now();
  }

  void setDuration(TaskId task, long milliseconds) {
    durations.put(task, milliseconds);
  }

  void slowDownFirstRun(TaskId task, long factor) {
    firstRunFactors.put(task, factor);
  }

  void failRunsOf(JobId job) {
    failingJobs.add(job);
  }

  /** Applies faults that occur between the sending of a start and its arrival. */
  void beforeStart(InstanceId id) {
    fleet
        .findWorker(id)
        .filter(worker -> worker.restartsBeforeNextStart)
        .ifPresent(
            worker -> {
              worker.restartsBeforeNextStart = false;
              fleet.restart(worker);
            });
  }

  /** Returns the fate of the next start that is sent to a worker. */
  CallFate fateOfStart(InstanceId id, SimulatedNetwork network) {
    return fleet
        .findWorker(id)
        .flatMap(SimulatedWorker::takeFateOfNextStart)
        .orElseGet(network::nextFate);
  }

  StartOutcome start(
      SimulatedWorker worker, SchedulerCommand.StartTask start, SimulatedLeader leader, long at) {
    SimulatedWorker.Run run =
        new SimulatedWorker.Run(
            start.task(),
            start.attempt(),
            durations.getOrDefault(start.task(), DEFAULT_DURATION_MILLISECONDS));
    run.fails = failingJobs.contains(start.task().job());
    run.slowdownFactor = start.attempt() == 1 ? firstRunFactors.getOrDefault(start.task(), 1L) : 1;
    run.longRunning = runs.isLongRunning(start.task());
    run.step = runs.stepOf(start.task());
    long deadline = worker.leaseDeadline(start.worker(), at + leaseMilliseconds, now());
    boolean isNew = !worker.has(start.task(), start.attempt());
    StartOutcome outcome = worker.start(start, leader.epoch, deadline, now(), run);
    if (outcome == StartOutcome.STARTED && isNew) {
      boolean isLate = at < now();
      runs.onStarted(start, worker, fleet.isLeading(leader) && !isLate, now());
    }
    if (outcome == StartOutcome.STARTED && !worker.key().equals(start.worker())) {
      return StartOutcome.STARTED_BY_LATER_INCARNATION;
    }
    return outcome;
  }

  /** Checks the ends that a worker forgets with an acknowledgement. */
  void recordAcknowledged(SimulatedWorker worker, long last) {
    for (FinishedTask end : worker.finishedUpTo(last)) {
      runs.onAcknowledged(worker, end);
    }
  }

  void pace(SchedulerCommand.PaceTask pace) {
    fleet.findWorker(pace.worker().id()).ifPresent(worker -> worker.pace(pace));
  }

  MachineOutcome move(SchedulerCommand.MoveMachine move, Scheduler scheduler) {
    return fleet.move(move, scheduler) ? MachineOutcome.DONE : MachineOutcome.BUSY;
  }
}
