package org.flamingochute.scheduling.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.scheduling.worker.FinishedTask;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.scheduling.worker.WorkerStatus;

/**
 * Renews the leases of simulated workers for the scheduler, and acknowledges their finished runs.
 */
final class SimulatedRenewals {
  private final SimulatedStore store;
  private final SimulatedRuns runs;
  private final long leaseMilliseconds;
  private final Map<WorkerKey, Long> acknowledged = new HashMap<>();

  /** Reports at whose addresses other workers run. */
  private final List<WorkerReport> foreignWorkers = new ArrayList<>();

  SimulatedRenewals(SimulatedStore store, SimulatedRuns runs, long leaseMilliseconds) {
    this.store = store;
    this.runs = runs;
    this.leaseMilliseconds = leaseMilliseconds;
  }

  void addForeignWorker(WorkerReport report) {
    foreignWorkers.add(report);
  }

  Collection<WorkerReport> foreignWorkers() {
    return List.copyOf(foreignWorkers);
  }

  /** Acknowledges finished runs up to the given number with the next renewal. */
  void acknowledge(WorkerKey worker, long number) {
    acknowledged.merge(worker, number, Math::max);
  }

  /** Forgets the numbers of a leader that has been replaced. */
  void forgetAcknowledgements() {
    acknowledged.clear();
  }

  /** The owner of each address answers that it is not the worker that the renewal names. */
  void renewForeignWorkers(Scheduler scheduler) {
    for (WorkerReport report : foreignWorkers) {
      if (scheduler.workersToRenew().contains(report)) {
        scheduler.onRenewalFailed(report.key(), true, "another worker");
      }
    }
  }

  /** Renews the lease of a worker, if the scheduler asks for it, and applies its status. */
  void renew(SimulatedWorker worker, Scheduler scheduler, long epoch, long now) {
    Optional<WorkerKey> addressee = incarnationKnownTo(scheduler, worker);
    if (addressee.isEmpty()) {
      return;
    }
    WorkerKey key = addressee.get();
    boolean extending = !scheduler.isUnreachable(key);
    if (extending) {
      scheduler.onLeaseSent(key, now);
    }
    if (!worker.reachable) {
      scheduler.onRenewalFailed(key, false, "no answer");
      return;
    }
    long last = acknowledged.getOrDefault(key, 0L);
    long deadline = extending ? worker.leaseDeadline(key, leaseMilliseconds, now) : 0;
    // Reads the finished runs before the acknowledgement removes them from the worker's list.
    Optional<WorkerStatus> before = worker.renew(epoch, 0, 0);
    before.ifPresent(status -> recordAcknowledged(status, last));
    worker
        .renew(epoch, deadline, last)
        .ifPresent(status -> scheduler.onLeaseRenewed(key, status, now, now, now));
  }

  /** Returns the incarnation of a worker that the scheduler renews, if any; it may have ended. */
  private static Optional<WorkerKey> incarnationKnownTo(
      Scheduler scheduler, SimulatedWorker worker) {
    for (WorkerReport report : scheduler.workersToRenew()) {
      if (report.key().id().equals(worker.key().id())) {
        return Optional.of(report.key());
      }
    }
    return Optional.empty();
  }

  private void recordAcknowledged(WorkerStatus status, long last) {
    for (FinishedTask end : status.finished()) {
      boolean isAcknowledgedSuccess = end.number() <= last && end.reason() == EndReason.DONE;
      if (isAcknowledgedSuccess && !isLongRunning(end.task())) {
        runs.onAcknowledged(end.task());
      }
    }
  }

  /** Returns whether a task is long-running, so that it is restarted however it ends. */
  private boolean isLongRunning(TaskId task) {
    return store
        .jobs()
        .find(task.job())
        .flatMap(StoredJob::definition)
        .map(job -> job.getSteps(task.step()).getLongRunning())
        .orElse(false);
  }
}
