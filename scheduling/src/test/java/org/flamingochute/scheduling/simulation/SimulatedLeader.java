package org.flamingochute.scheduling.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.flamingochute.scheduling.core.MachineOutcome;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.core.StartOutcome;
import org.flamingochute.scheduling.worker.WorkerKey;

/**
 * A leader: its scheduler, its appends to the store and its calls to workers.
 *
 * <p>A leader that has been replaced goes on until the store or a worker refuses it. While it is
 * paused it does nothing, and handles the responses that have arrived afterwards.
 */
final class SimulatedLeader {
  final Scheduler scheduler;
  final long epoch;
  private final SimulatedNetwork network;
  private final SimulatedReports reports;
  private final SimulatedExecution execution;
  private final SimulatedWriter writer;
  private final SimulatedRenewals renewals;
  private final List<SchedulerCommand> commands = new ArrayList<>();
  private final Queue<Runnable> heldBack = new ArrayDeque<>();
  private boolean paused;
  private boolean ended;
  private long now;

  SimulatedLeader(
      Scheduler scheduler,
      long epoch,
      SimulatedNetwork network,
      SimulatedReports reports,
      SimulatedExecution execution,
      SimulatedStore store,
      long leaseMilliseconds) {
    this.scheduler = scheduler;
    this.epoch = epoch;
    this.network = network;
    this.reports = reports;
    this.execution = execution;
    this.writer = new SimulatedWriter(this, store);
    this.renewals = new SimulatedRenewals(this, network, execution, leaseMilliseconds);
  }

  void setPaused(boolean newPaused) {
    paused = newPaused;
  }

  boolean isPaused() {
    return paused;
  }

  /** Ends the leader's term, or its process. */
  void end() {
    ended = true;
  }

  boolean hasEnded() {
    return ended;
  }

  /** Cuts the leader off from the store, but not from the workers. */
  void cutFromStore() {
    writer.cut();
  }

  long now() {
    return now;
  }

  List<SchedulerCommand> commands() {
    return commands;
  }

  /** Handles a response, unless the leader has ended; later, if it is paused. */
  void receive(Runnable handling) {
    if (paused) {
      heldBack.add(handling);
    } else if (!ended) {
      handling.run();
    }
  }

  /** Lets the leader read its clock. */
  void tick(long newNow) {
    if (!paused) {
      now = newNow;
    }
  }

  /** Decides, records the decisions and executes the resulting commands. */
  void step() {
    if (ended || paused) {
      return;
    }
    while (!heldBack.isEmpty() && !ended) {
      heldBack.remove().run();
    }
    if (ended) {
      return;
    }
    scheduler.decide(now, now);
    scheduler.takeImmediateCommands().forEach(this::execute);
    writer.record(now);
  }

  /** Renews the leases of all workers, unless the store has been unavailable for too long. */
  void renewAll() {
    if (!ended && !paused && writer.canRenewLeases(now)) {
      renewals.renewAll();
    }
  }

  /** Renews the lease of one worker, on which runs have ended. */
  void renewAfterEnds(SimulatedWorker worker) {
    if (!ended && !paused && worker.reachable && writer.canRenewLeases(now)) {
      renewals.renew(worker.key().id());
    }
  }

  void execute(SchedulerCommand command) {
    if (ended) {
      return;
    }
    commands.add(command);
    switch (command) {
      case SchedulerCommand.StartTask start -> start(start);
      case SchedulerCommand.StopTask stop -> stop(stop);
      case SchedulerCommand.AcknowledgeFinishedRuns ends ->
          renewals.acknowledge(ends.worker(), ends.number());
      case SchedulerCommand.PaceTask pace -> {
        execution.pace(pace);
        scheduler.onPaceAnswered(pace, true, now);
      }
      case SchedulerCommand.MoveMachine move -> scheduler.onMoveAnswered(move, move(move), now);
      case SchedulerCommand.MaintainMachine maintenance ->
          scheduler.onMaintenanceAnswered(maintenance, MachineOutcome.DONE, now);
      case SchedulerCommand.ReportWave report -> {}
    }
  }

  private MachineOutcome move(SchedulerCommand.MoveMachine move) {
    return scheduler.beginMachineCommand(move.machine(), now)
        ? execution.move(move, scheduler)
        : MachineOutcome.THROTTLED;
  }

  private void start(SchedulerCommand.StartTask start) {
    if (!scheduler.beginStart(start)) {
      return;
    }
    if (!writer.canStartRuns(now)) {
      scheduler.onStartAnswered(start, StartOutcome.EXPIRED, now, now);
      return;
    }
    WorkerKey key = start.worker();
    scheduler.onStartSent(key, now);
    execution.beforeStart(key.id());
    long sentAt = now;
    network.<StartOutcome>callIncarnation(
        key,
        reports.addressOf(key.id()),
        execution.fateOfStart(key.id(), network),
        worker -> execution.start(worker, start, this, sentAt),
        result -> receive(() -> onStartResult(start, result)));
  }

  private void onStartResult(SchedulerCommand.StartTask start, CallResult<StartOutcome> result) {
    StartOutcome outcome =
        switch (result) {
          case CallResult.Answered<StartOutcome> answered -> answered.response();
          case CallResult.Gone<StartOutcome> gone -> StartOutcome.GONE;
          case CallResult.Refused<StartOutcome> refused -> StartOutcome.NOT_RUN;
          case CallResult.Unknown<StartOutcome> unknown -> StartOutcome.UNKNOWN;
        };
    if (outcome == StartOutcome.FENCED) {
      end();
      return;
    }
    scheduler.onStartAnswered(start, outcome, now, now);
  }

  private void stop(SchedulerCommand.StopTask stop) {
    network.<Boolean>callAnyIncarnation(
        stop.worker().id(),
        reports.addressOf(stop.worker().id()),
        worker -> worker.stop(stop, epoch),
        result -> receive(() -> onStopResult(stop, result)));
  }

  private void onStopResult(SchedulerCommand.StopTask stop, CallResult<Boolean> result) {
    if (result instanceof CallResult.Answered<Boolean> answered && !answered.response()) {
      end();
      return;
    }
    scheduler.onStopAnswered(stop, result instanceof CallResult.Answered<Boolean>, now);
  }
}
