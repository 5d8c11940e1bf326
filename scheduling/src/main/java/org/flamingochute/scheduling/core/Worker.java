package org.flamingochute.scheduling.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.QueuedStep;

/** The scheduler's state of one incarnation of a worker. */
final class Worker {
  /** Before all times, and far enough from them that differences do not overflow. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  final WorkerKey key;

  /** Newest report; retained after the store no longer lists the worker. */
  WorkerReport report;

  /** True while the store lists the worker. */
  boolean listed = true;

  /** True once the worker has acknowledged a lease from this scheduler. */
  boolean leaseConfirmed;

  /** True while calls to the worker fail. */
  boolean unreachable;

  /** True while no tasks are placed here because its machine is about to be maintained or moved. */
  boolean cordoned;

  /** True while operators want the worker's data centre to be evacuated, so no task starts here. */
  boolean evacuated;

  /** Speed of the worker's tasks relative to their estimates. */
  final WorkerSpeed speed = new WorkerSpeed();

  /** True when its tasks progress much slower than those on the pool's other workers. */
  boolean slow;

  /** Time at which all its tasks have certainly ended, unless the lease is renewed. */
  long leaseExpiresAt;

  /** Time at which the last renewal with a deadline was sent to this incarnation. */
  long renewalSentAt = NEVER;

  /** Time at which the newest status arrived. */
  long statusReceivedAt = NEVER;

  /** Number of the last finished run that was applied. */
  long lastAppliedFinishedNumber;

  /** Number of the last finished run that is or will be acknowledged. */
  long lastAcknowledgedFinishedNumber;

  /** Tasks that may have a run on this worker. */
  final Map<TaskId, Task> tasks = new LinkedHashMap<>();

  /** Images of the tasks with a tail latency target. */
  final ImageCounts servingImages = new ImageCounts();

  /** Images of the fillers, tasks that use idle capacity. */
  final ImageCounts fillerImages = new ImageCounts();

  /** Ends that were applied and must not be acknowledged yet. */
  final HeldEnds heldEnds = new HeldEnds();

  private ResourceVector usedCapacity = ResourceVector.ZERO;

  Worker(WorkerReport report, long leaseExpiresAt) {
    this.key = report.key();
    this.report = report;
    this.leaseExpiresAt = leaseExpiresAt;
  }

  void onRenewalSent(long now, long leaseExpiryMilliseconds) {
    renewalSentAt = now;
    extendLease(now + leaseExpiryMilliseconds);
  }

  /** Counts the lease as in force until the given time at least. */
  void extendLease(long expiresAt) {
    leaseExpiresAt = Math.max(leaseExpiresAt, expiresAt);
  }

  void add(Task task) {
    if (tasks.put(task.id, task) == null) {
      usedCapacity = usedCapacity.plus(reservationOf(task.step));
      if (task.step.getTailTargetMilliseconds() > 0) {
        servingImages.add(task.step.getImage());
      }
      if (task.step.getFiller()) {
        fillerImages.add(task.step.getImage());
      }
    }
  }

  void remove(Task task) {
    if (tasks.remove(task.id, task)) {
      usedCapacity = usedCapacity.minus(reservationOf(task.step));
      if (task.step.getTailTargetMilliseconds() > 0) {
        servingImages.remove(task.step.getImage());
      }
      if (task.step.getFiller()) {
        fillerImages.remove(task.step.getImage());
      }
    }
  }

  /** Returns the capacity reserved by the tasks on this worker. */
  ResourceVector usedCapacity() {
    return usedCapacity;
  }

  /** Returns the capacity that is not reserved. */
  ResourceVector freeCapacity() {
    return report.capacity().minus(usedCapacity);
  }

  /** Returns whether a reservation fits into the capacity that is not reserved. */
  boolean hasRoomFor(ResourceVector reservation) {
    ResourceVector capacity = report.capacity();
    return usedCapacity.processorMillicores() + reservation.processorMillicores()
            <= capacity.processorMillicores()
        && usedCapacity.memoryMebibytes() + reservation.memoryMebibytes()
            <= capacity.memoryMebibytes()
        && usedCapacity.accelerators() + reservation.accelerators() <= capacity.accelerators();
  }

  /**
   * Returns the worker capacity that one task of the step reserves; fillers reserve no processor
   * time.
   */
  static ResourceVector reservationOf(QueuedStep step) {
    long processors = step.getFiller() ? 0 : step.getProcessorMillicores();
    return new ResourceVector(processors, step.getMemoryMebibytes(), step.getAccelerators());
  }

  /** Returns the resources of one task of the step that count against its team's cap. */
  static ResourceVector demandOf(QueuedStep step) {
    return new ResourceVector(
        step.getProcessorMillicores(), step.getMemoryMebibytes(), step.getAccelerators());
  }

  /** Returns whether new tasks may be placed on this worker. */
  boolean isSchedulable() {
    return isUsable() && !evacuated;
  }

  /** Returns whether new tasks may be placed on this worker unless its data centre is evacuated. */
  boolean isUsable() {
    return listed && leaseConfirmed && !unreachable && !cordoned && !report.draining();
  }

  Optional<String> rack() {
    return report.rack();
  }

  /** Returns whether a task with a tail latency target is on this worker. */
  boolean hasServingTask() {
    return !servingImages.isEmpty();
  }

  /** Returns whether a filler, a task that uses idle capacity, is on this worker. */
  boolean hasFiller() {
    return !fillerImages.isEmpty();
  }
}
