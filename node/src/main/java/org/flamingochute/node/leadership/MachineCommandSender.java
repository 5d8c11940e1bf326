package org.flamingochute.node.leadership;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.wire.MachineClient;
import org.flamingochute.platform.wire.MachineListOutcome;
import org.flamingochute.scheduling.core.MachineOutcome;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.fleet.Machine;

/**
 * Sends machine commands during one term, and refreshes the scheduler's list of machines.
 *
 * <p>A command may have waited for its record, so whether the term is recent enough, and whether
 * the machine is still recorded, is checked again when it is sent.
 */
final class MachineCommandSender {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time between list requests, by which the use of an arrived machine may be delayed. */
  private static final long LIST_INTERVAL_MILLISECONDS = 250;

  private static final long TIMEOUT_MILLISECONDS = 2_000;

  private final NodeClock clock;
  private final MachineClient client;
  private final LeadershipContext context;
  private final Scheduler scheduler;
  private final String holder;
  private long requestedAt = Long.MIN_VALUE / 2;
  private boolean listPending;

  /**
   * Creates a sender for one term.
   *
   * @param holder holder name of the term
   */
  MachineCommandSender(
      NodeClock clock,
      MachineClient client,
      LeadershipContext context,
      Scheduler scheduler,
      String holder) {
    this.clock = clock;
    this.client = client;
    this.context = context;
    this.scheduler = scheduler;
    this.holder = holder;
  }

  void move(SchedulerCommand.MoveMachine move) {
    if (!mayCommand(move.machine())) {
      onMoveAnswered(move, MachineOutcome.THROTTLED);
      return;
    }
    client
        .move(move, holder, context.epoch(), TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> onMoveAnswered(move, outcome));
  }

  private boolean mayCommand(MachineId machine) {
    return context.canCommandMachines()
        && scheduler.beginMachineCommand(machine, clock.steadyMilliseconds());
  }

  private void onMoveAnswered(SchedulerCommand.MoveMachine move, MachineOutcome outcome) {
    if (checkTermOver(outcome)) {
      return;
    }
    scheduler.onMoveAnswered(move, outcome, clock.steadyMilliseconds());
    context.onChanged();
  }

  void maintain(SchedulerCommand.MaintainMachine command) {
    if (!mayCommand(command.machine())) {
      onMaintenanceAnswered(command, MachineOutcome.THROTTLED);
      return;
    }
    client
        .maintain(command, holder, context.epoch(), TIMEOUT_MILLISECONDS)
        .thenAccept(outcome -> onMaintenanceAnswered(command, outcome));
  }

  private void onMaintenanceAnswered(
      SchedulerCommand.MaintainMachine command, MachineOutcome outcome) {
    if (checkTermOver(outcome)) {
      return;
    }
    scheduler.onMaintenanceAnswered(command, outcome, clock.steadyMilliseconds());
    context.onChanged();
  }

  private boolean checkTermOver(MachineOutcome outcome) {
    if (outcome == MachineOutcome.FENCED) {
      context.onFenced("machines");
    }
    return context.isTermOver();
  }

  /** Requests the list of machines if the last request is old enough. */
  void requestMachines() {
    long now = clock.steadyMilliseconds();
    if (listPending || now - requestedAt < LIST_INTERVAL_MILLISECONDS) {
      return;
    }
    listPending = true;
    requestedAt = now;
    requestPage("", new ArrayList<>(), now);
  }

  private void requestPage(String pageToken, List<Machine> machines, long firstRequestedAt) {
    client
        .list(pageToken, TIMEOUT_MILLISECONDS)
        .thenAccept(list -> onPageResult(list, machines, firstRequestedAt));
  }

  private void onPageResult(
      MachineListOutcome list, List<Machine> machines, long firstRequestedAt) {
    switch (list) {
      case MachineListOutcome.Failed failed -> {
        listPending = false;
        logger.atInfo().log("event=machines_not_listed detail=\"%s\"", failed.detail());
      }
      case MachineListOutcome.Page nextPage -> {
        machines.addAll(nextPage.machines());
        if (!nextPage.nextPageToken().isEmpty()) {
          requestPage(nextPage.nextPageToken(), machines, firstRequestedAt);
          return;
        }
        listPending = false;
        scheduler.onMachinesListed(machines, firstRequestedAt);
        context.onChanged();
      }
    }
  }
}
