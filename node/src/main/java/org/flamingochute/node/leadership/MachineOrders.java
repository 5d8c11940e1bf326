package org.flamingochute.node.leadership;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import org.flamingochute.node.NodeClock;
import org.flamingochute.platform.wire.MachineClient;
import org.flamingochute.platform.wire.MachineList;
import org.flamingochute.scheduling.core.MachineOutcome;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.fleet.Machine;

/** Sends the scheduler's orders for machines during one term, and keeps its list of them new. */
final class MachineOrders {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time between lists; a machine that arrived is used this much later at most. */
  private static final long LIST_MILLISECONDS = 250;

  private static final long TIMEOUT_MILLISECONDS = 2_000;

  private final NodeClock clock;
  private final MachineClient client;
  private final LeadershipContext context;
  private final Scheduler scheduler;
  private final String holder;
  private long askedAt = Long.MIN_VALUE / 2;
  private boolean asking;

  /**
   * Creates the sender of one term.
   *
   * @param holder name of the instance that leads
   */
  MachineOrders(
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
    client
        .move(move, holder, context.epoch(), TIMEOUT_MILLISECONDS)
        .thenAccept(
            outcome -> {
              if (isOver(outcome)) {
                return;
              }
              scheduler.onMoveAnswered(move, outcome, clock.steady());
              context.changed();
            });
  }

  void maintain(SchedulerCommand.MaintainMachine order) {
    client
        .maintain(order, holder, context.epoch(), TIMEOUT_MILLISECONDS)
        .thenAccept(
            outcome -> {
              if (isOver(outcome)) {
                return;
              }
              scheduler.onMaintenanceAnswered(order, outcome, clock.steady());
              context.changed();
            });
  }

  private boolean isOver(MachineOutcome outcome) {
    if (outcome == MachineOutcome.FENCED) {
      context.fenced("machines");
    }
    return context.isOver();
  }

  /** Asks for the list of machines when the last one is old enough. */
  void askForMachines() {
    long now = clock.steady();
    if (asking || now - askedAt < LIST_MILLISECONDS) {
      return;
    }
    asking = true;
    askedAt = now;
    askForPage("", new ArrayList<>(), now);
  }

  private void askForPage(String page, List<Machine> found, long firstAskedAt) {
    client
        .list(page, TIMEOUT_MILLISECONDS)
        .thenAccept(list -> pageArrived(list, found, firstAskedAt));
  }

  private void pageArrived(MachineList list, List<Machine> found, long firstAskedAt) {
    switch (list) {
      case MachineList.Failed failed -> {
        asking = false;
        logger.atInfo().log("event=machines_not_listed detail=\"%s\"", failed.detail());
      }
      case MachineList.Page arrived -> {
        found.addAll(arrived.machines());
        if (!arrived.next().isEmpty()) {
          askForPage(arrived.next(), found, firstAskedAt);
          return;
        }
        asking = false;
        scheduler.onMachinesListed(found, firstAskedAt);
        context.changed();
      }
    }
  }
}
