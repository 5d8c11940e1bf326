package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.TaskProgress;

/**
 * Tracks the workers, and for each one the time until which tasks may still run on it.
 *
 * <p>The tasks of a worker that does not respond stay assigned to it until they have certainly
 * ended: its lease has expired, it has restarted, or another worker is listed or responds at its
 * address.
 */
final class WorkerTracker {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final WorkerRegistry workers;
  private final TaskLifecycle lifecycle;
  private final SchedulerSettings settings;

  /** Time at which all leases that a previous leader may have granted have certainly expired. */
  private final long inheritedLeasesExpireAt;

  WorkerTracker(
      WorkerRegistry workers,
      TaskLifecycle lifecycle,
      SchedulerSettings settings,
      long inheritedLeasesExpireAt) {
    this.workers = workers;
    this.lifecycle = lifecycle;
    this.settings = settings;
    this.inheritedLeasesExpireAt = inheritedLeasesExpireAt;
  }

  /** Returns the worker that a recorded run was assigned to; it may no longer be listed. */
  Worker findOrAddWorker(TaskProgress recorded, PoolId pool) {
    WorkerKey key =
        new WorkerKey(new InstanceId(recorded.getWorker()), recorded.getWorkerBornMilliseconds());
    Optional<Worker> knownWorker = workers.find(key);
    if (knownWorker.isPresent()) {
      return knownWorker.get();
    }
    WorkerReport unlisted =
        new WorkerReport(
            key, pool, "", new DataCentreId("unknown"), ResourceVector.ZERO, List.of(), true);
    Worker worker = new Worker(unlisted, inheritedLeasesExpireAt);
    worker.listed = false;
    workers.add(worker);
    return worker;
  }

  /** Restores a worker that is no longer listed but may still run tasks, from its last report. */
  void restoreUnlistedWorker(WorkerReport report) {
    if (workers.newest(report.key().id()).isPresent() || isAddressTaken(report)) {
      return;
    }
    Worker worker = new Worker(report, inheritedLeasesExpireAt);
    worker.listed = false;
    workers.add(worker);
  }

  private boolean isAddressTaken(WorkerReport report) {
    for (Worker worker : workers.all()) {
      if (worker.listed && worker.report.address().equals(report.address())) {
        return true;
      }
    }
    return false;
  }

  /** Ends other workers at the same address: a new worker there proves that they have ended. */
  private void endReplacedWorkers(WorkerReport report) {
    for (Worker otherWorker : List.copyOf(workers.all())) {
      boolean sharesAddress =
          otherWorker.report.address().equals(report.address())
              && !otherWorker.key.equals(report.key());
      if (sharesAddress) {
        endIncarnation(otherWorker, "address_reused");
      }
    }
  }

  /** Applies the report of a listed worker. */
  void onWorkerListed(WorkerReport report) {
    Optional<Worker> newest = workers.newest(report.key().id());
    if (newest.isPresent() && !newest.get().key.equals(report.key())) {
      if (report.key().startedMilliseconds() < newest.get().key.startedMilliseconds()) {
        return;
      }
      endIncarnation(newest.get(), "worker_started_again");
    }
    Optional<Worker> knownWorker = workers.find(report.key());
    if (knownWorker.isPresent()) {
      if (!knownWorker.get().report.draining() && report.draining()) {
        logger.atInfo().log("event=worker_draining worker=%s", report.key());
      }
      knownWorker.get().report = report;
      knownWorker.get().listed = true;
      return;
    }
    endReplacedWorkers(report);
    workers.add(new Worker(report, inheritedLeasesExpireAt));
    logger.atInfo().log(
        "event=worker_listed worker=%s pool=%s draining=%s",
        report.key(), report.pool(), report.draining());
  }

  /** Marks a worker as no longer listed in the store. */
  void onWorkerUnlisted(InstanceId id) {
    workers
        .newest(id)
        .ifPresent(
            worker -> {
              worker.listed = false;
              logger.atInfo().log(
                  "event=worker_unlisted worker=%s tasks=%d", worker.key, worker.tasks.size());
            });
  }

  /** Removes an incarnation of a worker and releases its tasks, none of which runs any more. */
  void endIncarnation(Worker worker, String cause) {
    for (Task task : List.copyOf(worker.tasks.values())) {
      lifecycle.release(task, cause);
    }
    workers.remove(worker);
  }

  /** Returns the workers whose leases must be renewed. */
  List<WorkerReport> workersToRenew() {
    List<WorkerReport> reports = new ArrayList<>();
    for (Worker worker : workers.all()) {
      boolean needsLease = worker.listed || !worker.tasks.isEmpty();
      if (needsLease && !worker.report.address().isEmpty()) {
        reports.add(worker.report);
      }
    }
    return reports;
  }

  /** Returns whether calls to a worker fail, so that its lease must not be extended. */
  boolean isUnreachable(WorkerKey key) {
    return workers.find(key).map(worker -> worker.unreachable).orElse(true);
  }

  /** Records that a lease renewal, or a start command that carries a deadline, was sent. */
  void onLeaseSent(WorkerKey key, long now) {
    workers
        .find(key)
        .ifPresent(
            worker ->
                worker.leaseExpiresAt =
                    Math.max(worker.leaseExpiresAt, now + settings.leaseExpiryMilliseconds()));
  }

  /**
   * Handles a failed lease renewal.
   *
   * @param gone true when another incarnation answered at the worker's address
   */
  void onRenewalFailed(WorkerKey key, boolean gone, String cause) {
    Optional<Worker> found = workers.find(key);
    if (found.isEmpty()) {
      return;
    }
    if (gone) {
      endIncarnation(found.get(), "worker_replaced");
      return;
    }
    if (!found.get().unreachable) {
      logger.atInfo().log("event=worker_unreachable worker=%s cause=%s", key, cause);
    }
    found.get().unreachable = true;
  }

  /**
   * Releases the tasks of workers whose leases have certainly expired, and removes unlisted ones.
   */
  void expireLeases(long now) {
    for (Worker worker : List.copyOf(workers.all())) {
      if (worker.leaseExpiresAt > now) {
        continue;
      }
      for (Task task : List.copyOf(worker.tasks.values())) {
        lifecycle.release(task, "lease_expired");
      }
      if (!worker.listed) {
        workers.remove(worker);
      }
    }
  }
}
