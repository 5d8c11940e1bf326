package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;

/**
 * Tracks the workers, and for each one the time until which tasks may still run on it.
 *
 * <p>The tasks of a worker that does not respond stay assigned to it until they have certainly
 * ended: its lease has expired, a later incarnation or a worker with another id responds at its
 * address, or it does not list them.
 *
 * <p>A call that carries a deadline is executed by the incarnation that it was prepared for, or by
 * none, so no incarnation has a longer lease than was sent to it.
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

  /**
   * Returns the worker that a recorded run was assigned to; it may no longer be listed.
   *
   * <p>If the record and the store name different incarnations, the newer one has replaced the
   * other, and its first status ends the runs of the other one.
   */
  Worker findOrAddWorker(WorkerKey key, PoolId pool, long now) {
    Optional<Worker> known = workers.find(key.id());
    if (known.isEmpty()) {
      return addUnlisted(
          new WorkerReport(
              key, pool, "", new DataCentreId("unknown"), ResourceVector.ZERO, List.of(), true));
    }
    Worker worker = known.get();
    if (worker.key.startedMilliseconds() < key.startedMilliseconds()) {
      return replaceIncarnation(worker, worker.report.ofIncarnation(key), false, now);
    }
    return worker;
  }

  private Worker addUnlisted(WorkerReport report) {
    Worker worker = new Worker(report, inheritedLeasesExpireAt);
    worker.listed = false;
    workers.add(worker);
    return worker;
  }

  /** Restores a worker that is no longer listed but may still run tasks, from its last report. */
  void restoreUnlistedWorker(WorkerReport report) {
    if (workers.find(report.key().id()).isEmpty()) {
      addUnlisted(report);
    }
  }

  /**
   * Applies the report of a listed worker.
   *
   * <p>A report says nothing about other workers, even at the same address: reports outlive their
   * workers, may reach the store late, and may be written by others. That a worker has ended is
   * known from the responses at its address.
   */
  void onWorkerListed(WorkerReport report, long now) {
    Optional<Worker> known = workers.find(report.key().id());
    if (known.isEmpty()) {
      workers.add(new Worker(report, inheritedLeasesExpireAt));
      logger.atInfo().log(
          "event=worker_listed worker=%s pool=%s draining=%s",
          report.key(), report.pool(), report.draining());
      return;
    }
    Worker worker = known.get();
    if (report.key().startedMilliseconds() < worker.key.startedMilliseconds()) {
      logger.atInfo().log(
          "event=worker_report_outdated worker=%s newest=%s", report.key(), worker.key);
      return;
    }
    if (!report.key().equals(worker.key)) {
      replaceIncarnation(worker, report, true, now);
      return;
    }
    if (!worker.report.draining() && report.draining()) {
      logger.atInfo().log("event=worker_draining worker=%s", report.key());
    }
    worker.report = report;
    worker.listed = true;
  }

  /**
   * Handles a response from another incarnation of a worker, which may not be listed yet.
   *
   * <p>A renewal with a deadline should not have reached that incarnation, which may have taken the
   * deadline for one on its own clock: then the longest lease is counted. One renewal or read of
   * the status is under way at a time, so the call was a renewal if none was sent after it.
   *
   * @param startedMilliseconds start time of the incarnation that responded
   * @param sentAt time at which the call was sent
   * @return the incarnation that responded
   */
  Worker onIncarnationObserved(Worker worker, long startedMilliseconds, long sentAt, long now) {
    WorkerKey key = new WorkerKey(worker.key.id(), startedMilliseconds);
    Worker observed = replaceIncarnation(worker, worker.report.ofIncarnation(key), false, now);
    if (worker.renewalSentAt >= sentAt) {
      extendLeaseToLongest(observed, now);
    }
    return observed;
  }

  /**
   * Replaces an incarnation of a worker by another one. The runs of the former one stay assigned
   * until the other one responds, since a report in the store proves nothing.
   */
  private Worker replaceIncarnation(Worker former, WorkerReport report, boolean listed, long now) {
    logger.atInfo().log(
        "event=worker_started_again worker=%s former=%s listed=%s tasks=%d",
        report.key(), former.key, listed, former.tasks.size());
    Worker successor = new Worker(report, former.leaseExpiresAt);
    successor.listed = listed;
    workers.remove(former);
    workers.add(successor);
    for (Task task : List.copyOf(former.tasks.values())) {
      lifecycle.transferToIncarnation(task, successor, now);
    }
    return successor;
  }

  /**
   * Handles a start that was executed by a later incarnation, which took its deadline for one on
   * its own clock. No start should reach one.
   */
  void onStartedByLaterIncarnation(Worker worker, long now) {
    extendLeaseToLongest(worker, now);
  }

  private void extendLeaseToLongest(Worker worker, long now) {
    worker.extendLease(now + settings.longestLeaseExpiryMilliseconds());
  }

  /** Marks a worker as no longer listed in the store. */
  void onWorkerUnlisted(InstanceId id) {
    workers
        .find(id)
        .ifPresent(
            worker -> {
              worker.listed = false;
              logger.atInfo().log(
                  "event=worker_unlisted worker=%s tasks=%d", worker.key, worker.tasks.size());
            });
  }

  /** Removes a worker that has ended and releases its tasks, none of which runs any more. */
  void endWorker(Worker worker) {
    for (Task task : List.copyOf(worker.tasks.values())) {
      lifecycle.releaseFromReplacedWorker(task);
    }
    workers.remove(worker);
  }

  /**
   * Returns the workers whose leases must be renewed. A listed worker of a pool that is not
   * declared receives no tasks, and is not called unless it has some.
   */
  List<WorkerReport> workersToRenew(FleetDeclaration declaration) {
    List<WorkerReport> reports = new ArrayList<>();
    for (Worker worker : workers.all()) {
      boolean isUsable = worker.listed && declaration.pool(worker.report.pool()).isPresent();
      boolean needsLease = isUsable || !worker.tasks.isEmpty();
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

  /** Records that a lease renewal with a deadline was sent. */
  void onLeaseSent(WorkerKey key, long now) {
    workers
        .find(key)
        .ifPresent(worker -> worker.onRenewalSent(now, settings.leaseExpiryMilliseconds()));
  }

  /** Records that a start was sent, whose deadline extends the lease. */
  void onStartSent(WorkerKey key, long now) {
    workers
        .find(key)
        .ifPresent(worker -> worker.extendLease(now + settings.leaseExpiryMilliseconds()));
  }

  /**
   * Handles a failed lease renewal.
   *
   * @param gone true when a worker with another id answered at the worker's address
   */
  void onRenewalFailed(WorkerKey key, boolean gone, String cause) {
    Optional<Worker> found = workers.find(key);
    if (found.isEmpty()) {
      return;
    }
    if (gone) {
      endWorker(found.get());
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
        // A start that was not sent is not covered by the lease; its own deadline is to come.
        if (task.runState != Task.RunState.RECORDING) {
          lifecycle.releaseWithoutEnd(task, "lease_expired");
        }
      }
      if (!worker.listed && worker.tasks.isEmpty()) {
        workers.remove(worker);
      }
    }
  }
}
