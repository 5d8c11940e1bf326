package org.flamingochute.scheduling.core;

import java.util.function.Supplier;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;

/**
 * Repeats starts of a former leader for runs that their workers do not list.
 *
 * <p>The declaration may have changed since the start was recorded, so it is repeated only if the
 * task might be placed on the worker now. Members of a gang resume from one checkpoint, so a start
 * of one of them is not repeated beside runs of the others.
 */
final class StartRepeater {
  private final TeamUsage teamUsage;
  private final TaskLifecycle lifecycle;
  private final Supplier<FleetDeclaration> declaration;

  StartRepeater(
      TeamUsage teamUsage, TaskLifecycle lifecycle, Supplier<FleetDeclaration> declaration) {
    this.teamUsage = teamUsage;
    this.lifecycle = lifecycle;
    this.declaration = declaration;
  }

  /** Repeats the start of an assigned task, if it may still run on its worker. */
  void repeatIfAllowed(Task task, Worker worker) {
    if (isWanted(task) && mayRunOn(task, worker) && isWithinCap(task)) {
      lifecycle.repeatStart(task);
    }
  }

  private static boolean isWanted(Task task) {
    return task.isRunning() && task.job.isOpen() && !task.step.getGang();
  }

  private static boolean mayRunOn(Task task, Worker worker) {
    return worker.isSchedulable()
        && worker.report.pool().equals(task.job.pool)
        && ResourceVector.ZERO.fitsIn(worker.freeCapacity());
  }

  private boolean isWithinCap(Task task) {
    ResourceVector cap = TeamUsage.capOf(task.job, declaration.get());
    return teamUsage.fitsCap(task.job.team, cap, ResourceVector.ZERO);
  }
}
