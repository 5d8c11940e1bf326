package org.flamingochute.scheduling.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.QueuedStep;

/** One incarnation of a worker, as the scheduler knows it. */
final class Worker {
  final WorkerKey key;

  /** Newest report; it keeps the last one when the store lists the worker no more. */
  WorkerReport report;

  /** True while the store lists it. */
  boolean listed = true;

  /** True when it answered a renewal of this scheduler's lease. */
  boolean held;

  /** True while calls to it fail. */
  boolean unreachable;

  /** True while it gets no new task because its machine is about to go down or to move. */
  boolean cordoned;

  /** How fast its tasks proceed. */
  final WorkerSpeed speed = new WorkerSpeed();

  /** True when its tasks proceed much slower than those of the pool's other workers. */
  boolean slow;

  /** Time at which everything on it has certainly ended, unless the lease is renewed. */
  long leaseEndsAt;

  /** Number of the last end that was applied. */
  long appliedEnds;

  /** Runs that may be on it, by task. */
  final Map<TaskId, Task> tasks = new LinkedHashMap<>();

  private ResourceVector used = ResourceVector.ZERO;

  Worker(WorkerReport report, long leaseEndsAt) {
    this.key = report.key();
    this.report = report;
    this.leaseEndsAt = leaseEndsAt;
  }

  void add(Task task) {
    if (tasks.put(task.id, task) == null) {
      used = used.plus(roomOf(task.step));
    }
  }

  void remove(Task task) {
    if (tasks.remove(task.id, task)) {
      used = used.minus(roomOf(task.step));
    }
  }

  /** Returns what the tasks on it take of its capacity. */
  ResourceVector used() {
    return used;
  }

  /** Returns what is left of its capacity. */
  ResourceVector free() {
    return report.capacity().minus(used);
  }

  /** Returns what a task of the step takes of a worker's capacity. */
  static ResourceVector roomOf(QueuedStep step) {
    long processors = step.getFiller() ? 0 : step.getProcessorMillicores();
    return new ResourceVector(processors, step.getMemoryMebibytes(), step.getAccelerators());
  }

  /** Returns what a task of the step counts against its team's cap. */
  static ResourceVector demandOf(QueuedStep step) {
    return new ResourceVector(
        step.getProcessorMillicores(), step.getMemoryMebibytes(), step.getAccelerators());
  }

  /** Tells whether new tasks may be placed on it. */
  boolean isUsable() {
    return listed && held && !unreachable && !cordoned && !report.draining();
  }

  Optional<String> rack() {
    return report.rack();
  }

  /** Tells whether a task with a tail target is on it. */
  boolean hasServingTask() {
    for (Task task : tasks.values()) {
      if (task.step.getTailTargetMilliseconds() > 0) {
        return true;
      }
    }
    return false;
  }

  /** Tells whether a task that fills unused capacity is on it. */
  boolean hasFiller() {
    for (Task task : tasks.values()) {
      if (task.step.getFiller()) {
        return true;
      }
    }
    return false;
  }
}
