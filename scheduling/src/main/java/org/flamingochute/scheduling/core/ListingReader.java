package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.scheduling.worker.FinishedTask;
import org.flamingochute.scheduling.worker.RunningTask;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerListing;

/**
 * Applies what workers list: ends, and runs that go on or are missing.
 *
 * <p>A run that is missing proves its end only in a listing that was asked for after the worker had
 * the run, and only when the listing shows all ends.
 */
final class ListingReader {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Ends that one listing shows at most; with fewer, all were shown. */
  private static final int LISTED_ENDS = 500;

  private final WorkerBook workers;
  private final WorkerRoster roster;
  private final TaskLifecycle lifecycle;
  private final Outbox outbox;

  ListingReader(WorkerBook workers, WorkerRoster roster, TaskLifecycle lifecycle, Outbox outbox) {
    this.workers = workers;
    this.roster = roster;
    this.lifecycle = lifecycle;
    this.outbox = outbox;
  }

  /**
   * Takes a worker's answer to a renewal of its lease.
   *
   * @param sentAt time at which the renewal was sent
   */
  void leaseRenewed(WorkerKey key, WorkerListing listing, long sentAt, long now, long timeOfDay) {
    Optional<Worker> found = workers.find(key);
    if (found.isEmpty()) {
      return;
    }
    Worker worker = found.get();
    boolean sameIncarnation =
        listing.bornMilliseconds() == 0
            || key.bornMilliseconds() == 0
            || listing.bornMilliseconds() == key.bornMilliseconds();
    if (!sameIncarnation) {
      roster.incarnationOver(worker, "worker_started_again");
      return;
    }
    if (!worker.held || worker.unreachable) {
      logger.atInfo().log(
          "event=worker_reached worker=%s running=%d finished=%d",
          key, listing.running().size(), listing.finished().size());
    }
    worker.held = true;
    worker.unreachable = false;
    applyEnds(worker, listing.finished(), now, timeOfDay);
    boolean endsComplete = listing.finished().size() < LISTED_ENDS;
    applyRunning(worker, listing.running(), sentAt, endsComplete, now);
  }

  private void applyEnds(Worker worker, List<FinishedTask> finished, long now, long timeOfDay) {
    boolean advanced = false;
    for (FinishedTask end : finished) {
      if (end.number() <= worker.appliedEnds) {
        continue;
      }
      worker.appliedEnds = end.number();
      advanced = true;
      Task task = worker.tasks.get(end.task());
      if (task == null || task.attempt != end.attempt()) {
        logger.atInfo().log(
            "event=stale_end task=%s attempt=%d worker=%s reason=%s",
            end.task(), end.attempt(), worker.key, end.reason());
        continue;
      }
      lifecycle.ended(task, end.reason(), end.checkpoint(), now, timeOfDay);
    }
    if (advanced) {
      outbox.afterRecording(new SchedulerCommand.AcknowledgeEnds(worker.key, worker.appliedEnds));
    }
  }

  private void applyRunning(
      Worker worker, List<RunningTask> running, long sentAt, boolean endsComplete, long now) {
    Set<TaskId> seen = new HashSet<>();
    for (RunningTask run : running) {
      Task task = worker.tasks.get(run.task());
      if (task == null || task.attempt != run.attempt()) {
        stopStray(worker, run);
        continue;
      }
      seen.add(run.task());
      observe(task, run, now);
    }
    if (!endsComplete) {
      return;
    }
    for (Task task : List.copyOf(worker.tasks.values())) {
      boolean mustBeListed =
          (task.order == Task.Order.RUNNING || task.order == Task.Order.STOPPING)
              && sentAt > task.orderedAt;
      if (mustBeListed && !seen.contains(task.id)) {
        lifecycle.release(task, "not_on_worker");
      }
    }
  }

  private void stopStray(Worker worker, RunningTask run) {
    logger.atInfo().log(
        "event=stray_run task=%s attempt=%d worker=%s", run.task(), run.attempt(), worker.key);
    outbox.now(new SchedulerCommand.StopTask(worker.key, run.task(), run.attempt()));
  }

  private static void observe(Task task, RunningTask run, long now) {
    if (task.order == Task.Order.SENT || task.order == Task.Order.UNCERTAIN) {
      task.order = Task.Order.RUNNING;
      task.orderedAt = now;
    }
    if (run.percent() != task.percent) {
      task.percent = run.percent();
      task.percentChangedAt = now;
    }
    task.listedAt = now;
    task.usage = run.usage();
    if (!task.step.getLongRunning()) {
      task.worker.ifPresent(
          worker ->
              worker.speed.observe(
                  run.percent(), now - task.assignedAt, task.step.getEstimateMilliseconds()));
    }
    if (!run.checkpoint().isEmpty()) {
      task.checkpoint = run.checkpoint();
    }
  }
}
