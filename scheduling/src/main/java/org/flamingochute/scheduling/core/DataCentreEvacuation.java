package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.Machine;

/**
 * Starts no tasks in data centres that operators want to evacuate, and moves long-running tasks out
 * of them.
 *
 * <p>Starts that have not been sent are withdrawn. Tasks that are running go on; a long-running one
 * is stopped once another worker of the pool has room for it, one of each step at a time and only
 * while its step tolerates one more unavailable task.
 */
final class DataCentreEvacuation {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final WorkerRegistry workers;
  private final TaskLifecycle lifecycle;
  private Set<DataCentreId> dataCentres = Set.of();

  DataCentreEvacuation(WorkerRegistry workers, TaskLifecycle lifecycle) {
    this.workers = workers;
    this.lifecycle = lifecycle;
  }

  /** Sets the data centres to evacuate, and withdraws at once what was not sent to them. */
  void replace(Set<DataCentreId> requested) {
    // A start that was refused since the last pass is not tried again once its request has ended.
    withdrawUnsentStarts();
    dataCentres = Set.copyOf(requested);
    markWorkers();
    withdrawUnsentStarts();
  }

  /** Applies the requests to workers and starts that are new since the last pass. */
  void advance(long now) {
    if (dataCentres.isEmpty()) {
      return;
    }
    markWorkers();
    withdrawUnsentStarts();
    moveLongRunningTasks(now);
  }

  /** Returns whether any data centre is to be evacuated. */
  boolean isRequested() {
    return !dataCentres.isEmpty();
  }

  /** Returns whether a machine is in a data centre that is to be evacuated. */
  boolean includes(Machine machine) {
    if (dataCentres.isEmpty()) {
      return false;
    }
    return machine.dataCentre().filter(dataCentres::contains).isPresent()
        || machine.worker().flatMap(workers::find).filter(worker -> worker.evacuated).isPresent();
  }

  private void markWorkers() {
    for (Worker worker : workers.all()) {
      worker.evacuated = dataCentres.contains(worker.report.dataCentre());
    }
  }

  private void withdrawUnsentStarts() {
    for (Worker worker : workers.all()) {
      if (worker.evacuated) {
        List.copyOf(worker.tasks.values()).forEach(this::withdrawIfUnsent);
      }
    }
  }

  /** The members of a gang start together, so the unsent starts of all members are withdrawn. */
  private void withdrawIfUnsent(Task task) {
    if (!isUnsent(task)) {
      return;
    }
    lifecycle.withdrawStart(task);
    if (task.step.getGang()) {
      for (Task member : task.occurrence.tasksOf(task.id.step())) {
        if (isUnsent(member)) {
          lifecycle.withdrawStart(member);
        }
      }
    }
  }

  private static boolean isUnsent(Task task) {
    return task.isAssigned() && task.runState == Task.RunState.RECORDING;
  }

  private void moveLongRunningTasks(long now) {
    Set<Worker> receivers = new HashSet<>();
    for (Task[] step : longRunningSteps()) {
      Optional<Task> candidate = nextToMove(step);
      if (candidate.isEmpty() || !WorkerEvacuator.canStop(candidate.get())) {
        continue;
      }
      Task task = candidate.get();
      Optional<Worker> receiver = findRoom(task, receivers);
      if (receiver.isPresent()) {
        receivers.add(receiver.get());
        logger.atInfo().log(
            "event=task_evacuated task=%s attempt=%d worker=%s room_on=%s",
            task.id,
            task.attempt,
            task.workerKey.map(Object::toString).orElse("-"),
            receiver.get().key);
        lifecycle.stopRun(task, now);
      }
    }
  }

  /** Returns the steps of the long-running tasks in the data centres to evacuate. */
  private List<Task[]> longRunningSteps() {
    Set<Task[]> found = Collections.newSetFromMap(new IdentityHashMap<>());
    List<Task[]> steps = new ArrayList<>();
    for (Worker worker : workers.all()) {
      if (!worker.evacuated) {
        continue;
      }
      for (Task task : worker.tasks.values()) {
        Task[] step = task.occurrence.tasksOf(task.id.step());
        if (isMovable(task) && found.add(step)) {
          steps.add(step);
        }
      }
    }
    return steps;
  }

  /**
   * Returns the task of a step that is to be moved next: one that is not available yet, if there is
   * one. Empty while another task of the step is on its way, which needs the room first.
   */
  private static Optional<Task> nextToMove(Task[] step) {
    Task next = null;
    for (Task task : step) {
      boolean onItsWay =
          task.isWaiting() || task.isAssigned() && task.runState == Task.RunState.STOPPING;
      if (onItsWay) {
        return Optional.empty();
      }
      boolean isBetter = next == null || next.isAvailable() && !task.isAvailable();
      if (isMovable(task) && isBetter) {
        next = task;
      }
    }
    return Optional.ofNullable(next);
  }

  /** Returns whether a task is a long-running one that a stop can reach. */
  private static boolean isMovable(Task task) {
    return task.step.getLongRunning()
        && task.isRunning()
        && task.worker
            .filter(worker -> worker.evacuated && worker.leaseConfirmed && !worker.unreachable)
            .isPresent();
  }

  private Optional<Worker> findRoom(Task task, Set<Worker> taken) {
    ResourceVector reservation = Worker.reservationOf(task.step);
    for (Worker worker : workers.all()) {
      boolean hasRoom =
          worker.isSchedulable()
              && worker.report.pool().equals(task.job.pool)
              && reservation.fitsIn(worker.freeCapacity())
              && WorkerSelector.mayRun(task, worker);
      if (hasRoom && !taken.contains(worker)) {
        return Optional.of(worker);
      }
    }
    return Optional.empty();
  }
}
