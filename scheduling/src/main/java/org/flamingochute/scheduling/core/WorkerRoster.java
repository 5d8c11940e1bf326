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
 * Which workers there are, and until when something may run on each.
 *
 * <p>A worker keeps its tasks until it is certain that they have ended: its lease has expired, it
 * started again, or another worker answers at its address.
 */
final class WorkerRoster {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final WorkerBook workers;
  private final TaskLifecycle lifecycle;
  private final SchedulerSettings settings;

  /** Time at which everything that a predecessor may have held certainly ended. */
  private final long foreignLeasesEndAt;

  WorkerRoster(
      WorkerBook workers,
      TaskLifecycle lifecycle,
      SchedulerSettings settings,
      long foreignLeasesEndAt) {
    this.workers = workers;
    this.lifecycle = lifecycle;
    this.settings = settings;
    this.foreignLeasesEndAt = foreignLeasesEndAt;
  }

  /** Returns the worker that a recorded run was assigned to, which may be listed no more. */
  Worker workerOf(TaskProgress recorded, PoolId pool) {
    WorkerKey key =
        new WorkerKey(new InstanceId(recorded.getWorker()), recorded.getWorkerBornMilliseconds());
    Optional<Worker> known = workers.find(key);
    if (known.isPresent()) {
      return known.get();
    }
    WorkerReport unlisted =
        new WorkerReport(
            key, pool, "", new DataCentreId("unknown"), ResourceVector.ZERO, List.of(), true);
    Worker worker = new Worker(unlisted, foreignLeasesEndAt);
    worker.listed = false;
    workers.add(worker);
    return worker;
  }

  /** Takes the last report of a worker that is listed no more, but may still run tasks. */
  void workerRemembered(WorkerReport report) {
    if (workers.newest(report.key().id()).isPresent() || isAddressTaken(report)) {
      return;
    }
    Worker worker = new Worker(report, foreignLeasesEndAt);
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

  /** A worker at the address of another one proves that the other has ended. */
  private void endPredecessors(WorkerReport report) {
    for (Worker other : List.copyOf(workers.all())) {
      boolean replaced =
          other.report.address().equals(report.address()) && !other.key.equals(report.key());
      if (replaced) {
        incarnationOver(other, "address_reused");
      }
    }
  }

  /** Takes a worker's report about itself. */
  void workerListed(WorkerReport report) {
    Optional<Worker> newest = workers.newest(report.key().id());
    if (newest.isPresent() && !newest.get().key.equals(report.key())) {
      if (report.key().bornMilliseconds() < newest.get().key.bornMilliseconds()) {
        return;
      }
      incarnationOver(newest.get(), "worker_started_again");
    }
    Optional<Worker> known = workers.find(report.key());
    if (known.isPresent()) {
      if (!known.get().report.draining() && report.draining()) {
        logger.atInfo().log("event=worker_draining worker=%s", report.key());
      }
      known.get().report = report;
      known.get().listed = true;
      return;
    }
    endPredecessors(report);
    workers.add(new Worker(report, foreignLeasesEndAt));
    logger.atInfo().log(
        "event=worker_listed worker=%s pool=%s draining=%s",
        report.key(), report.pool(), report.draining());
  }

  /** Notes that the store lists a worker no more. */
  void workerUnlisted(InstanceId id) {
    workers
        .newest(id)
        .ifPresent(
            worker -> {
              worker.listed = false;
              logger.atInfo().log(
                  "event=worker_unlisted worker=%s tasks=%d", worker.key, worker.tasks.size());
            });
  }

  /** Ends an incarnation: nothing of it runs any more. */
  void incarnationOver(Worker worker, String cause) {
    for (Task task : List.copyOf(worker.tasks.values())) {
      lifecycle.release(task, cause);
    }
    workers.remove(worker);
  }

  /** Returns the workers whose leases are to be renewed. */
  List<WorkerReport> workersToHold() {
    List<WorkerReport> reports = new ArrayList<>();
    for (Worker worker : workers.all()) {
      boolean needed = worker.listed || !worker.tasks.isEmpty();
      if (needed && !worker.report.address().isEmpty()) {
        reports.add(worker.report);
      }
    }
    return reports;
  }

  /** Tells whether calls to a worker fail, so that its lease is not to be extended blindly. */
  boolean isUnreachable(WorkerKey key) {
    return workers.find(key).map(worker -> worker.unreachable).orElse(true);
  }

  /** Notes that a renewal of a worker's lease, or a start with its deadline, was sent. */
  void leaseSent(WorkerKey key, long now) {
    workers
        .find(key)
        .ifPresent(
            worker ->
                worker.leaseEndsAt =
                    Math.max(worker.leaseEndsAt, now + settings.lapseMilliseconds()));
  }

  /**
   * Notes that a renewal failed.
   *
   * @param gone true when another incarnation answered at the worker's address
   */
  void renewalFailed(WorkerKey key, boolean gone, String cause) {
    Optional<Worker> found = workers.find(key);
    if (found.isEmpty()) {
      return;
    }
    if (gone) {
      incarnationOver(found.get(), "worker_replaced");
      return;
    }
    if (!found.get().unreachable) {
      logger.atInfo().log("event=worker_unreachable worker=%s cause=%s", key, cause);
    }
    found.get().unreachable = true;
  }

  /** Releases the tasks of workers whose leases have certainly expired. */
  void expire(long now) {
    for (Worker worker : List.copyOf(workers.all())) {
      if (worker.leaseEndsAt > now) {
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
