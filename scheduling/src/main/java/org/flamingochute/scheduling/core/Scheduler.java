package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.decision.placement.WorkerHealth;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.fleet.WaveOrder;
import org.flamingochute.scheduling.job.JobEntry;
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.scheduling.worker.FinishedTask;
import org.flamingochute.scheduling.worker.RunningTask;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerListing;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.PoolHistory;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.TaskProgress;
import org.flamingochute.schema.scheduling.WaveProgress;

/**
 * Decides which task runs where, and what happens to machines.
 *
 * <p>It does no input or output: what happens outside comes in through its methods, and what it
 * decides comes out as a {@link SchedulerBatch}. A start is sent only after its record is durable,
 * and an end is acknowledged only after it is recorded. So a successor finds every run that may
 * exist in the records, and every end either there or still on its worker. Times named {@code now}
 * are milliseconds of a steady clock, {@code timeOfDay} milliseconds since 1970. Used by one
 * thread.
 */
public final class Scheduler {
  /** Longest time since a successful append at which machines may be moved and maintained. */
  public static final long ORDER_VALIDITY_MILLISECONDS = 600;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Time for which a start without an answer may still show up in a listing before it is stopped.
   */
  private static final long UNCERTAIN_START_MILLISECONDS = 150;

  /** Pause before an order to stop is repeated. */
  private static final long STOP_RETRY_MILLISECONDS = 400;

  /** Pause before a task that a worker had no room for is placed again. */
  private static final long NO_ROOM_DELAY_MILLISECONDS = 50;

  /** Ends that one listing shows at most; with fewer, all were shown. */
  private static final int LISTED_ENDS = 500;

  private final SchedulerSettings settings;

  /** Time from which machines may be moved and maintained. */
  private final long machineOrdersFrom;

  /** Time at which everything that a predecessor may have held certainly ended. */
  private final long foreignLeasesEndAt;

  private final WorkerBook workers = new WorkerBook();
  private final JobBook jobs = new JobBook();
  private final MachineBook machines = new MachineBook();
  private final TeamUsage usage = new TeamUsage();
  private final TeamRates rates = new TeamRates();
  private final WorkerHealth health = new WorkerHealth();
  private final Outbox outbox = new Outbox();
  private final TaskLifecycle lifecycle;
  private final Placement placement;
  private final WaveConductor waves;
  private final PoolPlanner pools;
  private final ProgressWatch progress;
  private final FillerPacer pacer;
  private final Evacuation evacuation;
  private FleetDeclaration declaration;
  private boolean machineOrdersAllowed = true;

  /**
   * Creates a scheduler without jobs.
   *
   * @param settings times that it keeps
   * @param declaration what operators declare
   * @param predecessor what is known of the scheduler before
   * @param heardAt time of the predecessor's last sign; it gives no order for a machine more than
   *     {@link #ORDER_VALIDITY_MILLISECONDS} after it
   * @param beganAt time at which it became the leader
   */
  public Scheduler(
      SchedulerSettings settings,
      FleetDeclaration declaration,
      Predecessor predecessor,
      long heardAt,
      long beganAt) {
    this.settings = settings;
    this.declaration = declaration;
    foreignLeasesEndAt =
        beganAt
            + (predecessor == Predecessor.OVER
                ? settings.lapseMilliseconds()
                : settings.foreignLeaseMilliseconds());
    machineOrdersFrom =
        predecessor == Predecessor.OVER
            ? beganAt
            : heardAt + ORDER_VALIDITY_MILLISECONDS + settings.fenceMilliseconds();
    lifecycle = new TaskLifecycle(jobs, usage, health, outbox, settings);
    placement = new Placement(workers, jobs, usage, lifecycle, new WorkerChoice(health));
    evacuation = new Evacuation(lifecycle);
    progress = new ProgressWatch(workers, lifecycle);
    pacer = new FillerPacer(workers, outbox);
    waves = new WaveConductor(workers, machines, evacuation, outbox);
    pools = new PoolPlanner(workers, machines, jobs, waves, outbox);
  }

  /** Puts a new declaration in force. */
  public void declare(FleetDeclaration newest) {
    declaration = newest;
    for (Job job : jobs.all()) {
      job.apply(policyOf(job.definition));
    }
  }

  private QueuePolicy policyOf(QueuedJob job) {
    return declaration
        .queue(new QueueId(job.getQueue()))
        .map(Queue::policy)
        .orElse(job.getPolicy());
  }

  /** Takes what the store says of a job; nothing happens when the job is known already. */
  public void jobStored(JobEntry entry, long now, long timeOfDay) {
    if (entry.definition().isEmpty() || jobs.isKnown(entry.id())) {
      return;
    }
    QueuedJob definition = entry.definition().get();
    Job job = new Job(entry.id(), definition, policyOf(definition));
    JobProgress progress = entry.progress().orElse(JobProgress.getDefaultInstance());
    job.phase = progress.getPhase();
    job.endedMilliseconds = progress.getEndedMilliseconds();
    job.excess =
        rates.isExcess(job.team.flatMap(declaration::team), definition.getAcceptedMilliseconds());
    jobs.add(job);
    job.addDueOccurrences(timeOfDay);
    for (TaskProgress task : progress.getTasksList()) {
      restore(job, task, now);
    }
    if (!job.isOpen() && !job.hasAssignedTask()) {
      jobs.close(job.id, job.endedMilliseconds + settings.statusRetentionMilliseconds());
    } else if (entry.isCancelled()) {
      lifecycle.cancel(job, now, timeOfDay);
    }
  }

  private void restore(Job job, TaskProgress recorded, long now) {
    // The clock of the entry that recorded it may have been ahead of this one's.
    while (job.occurrences.size() <= recorded.getOccurrence()) {
      if (!job.addNextOccurrence()) {
        return;
      }
    }
    Optional<Task> found =
        job.find(recorded.getOccurrence(), recorded.getStep(), recorded.getIndex());
    if (found.isEmpty()) {
      return;
    }
    Task task = found.get();
    task.attempt = recorded.getAttempt();
    task.failures = recorded.getFailures();
    task.checkpoint = recorded.getCheckpoint();
    task.phase = recorded.getPhase();
    switch (recorded.getPhase()) {
      case DONE -> task.occurrence.taskDone(task.id.step());
      case ASSIGNED -> lifecycle.inherit(task, workerOf(recorded, job.pool), now);
      default -> task.phase = TaskProgress.Phase.WAITING;
    }
  }

  private Worker workerOf(TaskProgress recorded, PoolId pool) {
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

  /** Withdraws a job at its caller's request. */
  public void jobCancelled(JobId id, long now, long timeOfDay) {
    jobs.find(id).ifPresent(job -> lifecycle.cancel(job, now, timeOfDay));
  }

  /** Takes the last report of a worker that is listed no more, but may still run tasks. */
  public void workerRemembered(WorkerReport report) {
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
  public void workerListed(WorkerReport report) {
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
  public void workerUnlisted(InstanceId id) {
    workers
        .newest(id)
        .ifPresent(
            worker -> {
              worker.listed = false;
              logger.atInfo().log(
                  "event=worker_unlisted worker=%s tasks=%d", worker.key, worker.tasks.size());
            });
  }

  private void incarnationOver(Worker worker, String cause) {
    for (Task task : List.copyOf(worker.tasks.values())) {
      lifecycle.release(task, cause);
    }
    workers.remove(worker);
  }

  /** Returns the workers whose leases are to be renewed. */
  public List<WorkerReport> workersToHold() {
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
  public boolean isUnreachable(WorkerKey key) {
    return workers.find(key).map(worker -> worker.unreachable).orElse(true);
  }

  /** Notes that a renewal of a worker's lease, or a start with its deadline, was sent. */
  public void leaseSent(WorkerKey key, long now) {
    workers
        .find(key)
        .ifPresent(
            worker ->
                worker.leaseEndsAt =
                    Math.max(worker.leaseEndsAt, now + settings.lapseMilliseconds()));
  }

  /**
   * Takes a worker's answer to a renewal of its lease.
   *
   * @param sentAt time at which the renewal was sent
   */
  public void leaseRenewed(
      WorkerKey key, WorkerListing listing, long sentAt, long now, long timeOfDay) {
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
      incarnationOver(worker, "worker_started_again");
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

  /**
   * Notes that a renewal failed.
   *
   * @param gone true when another incarnation answered at the worker's address
   */
  public void renewalFailed(WorkerKey key, boolean gone, String cause) {
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

  /** Tells whether a recorded start is still wanted, and notes that it is sent now. */
  public boolean beginStart(SchedulerCommand.StartTask start) {
    Optional<Task> found = current(start.worker(), start.task(), start.attempt());
    if (found.isEmpty() || found.get().order != Task.Order.RECORDING) {
      return false;
    }
    found.get().order = Task.Order.SENT;
    found.get().orderedAt = Long.MAX_VALUE;
    return true;
  }

  private Optional<Task> current(WorkerKey worker, TaskId id, int attempt) {
    return workers
        .find(worker)
        .map(found -> found.tasks.get(id))
        .filter(task -> task.attempt == attempt);
  }

  /** Takes a worker's answer to an order to start. */
  public void startAnswered(
      SchedulerCommand.StartTask start, StartOutcome outcome, long now, long timeOfDay) {
    Optional<Task> found = current(start.worker(), start.task(), start.attempt());
    if (outcome != StartOutcome.STARTED) {
      logger.atInfo().log(
          "event=start_not_confirmed task=%s attempt=%d worker=%s outcome=%s current=%s",
          start.task(), start.attempt(), start.worker(), outcome, found.isPresent());
    }
    if (found.isEmpty() || found.get().order != Task.Order.SENT) {
      return;
    }
    Task task = found.get();
    switch (outcome) {
      case STARTED -> {
        task.order = Task.Order.RUNNING;
        task.orderedAt = now;
      }
      case UNKNOWN -> {
        task.worker.ifPresent(worker -> worker.unreachable = true);
        task.order = Task.Order.UNCERTAIN;
        task.stopAskedAt = now;
      }
      case NOT_RUN -> {
        task.worker.ifPresent(worker -> worker.unreachable = true);
        lifecycle.release(task, "not_run");
      }
      case GONE -> incarnationOver(task.worker.orElseThrow(), "worker_replaced");
      case MALFORMED -> lifecycle.ended(task, EndReason.FAILED, "", now, timeOfDay);
      case NO_ROOM -> {
        task.notBefore = now + NO_ROOM_DELAY_MILLISECONDS;
        lifecycle.release(task, "no_room");
      }
      default -> lifecycle.release(task, outcome.name().toLowerCase(Locale.ROOT));
    }
  }

  /** Takes a worker's answer to an order to stop. */
  public void stopAnswered(SchedulerCommand.StopTask stop, boolean carriedOut, long now) {
    Optional<Task> found = current(stop.worker(), stop.task(), stop.attempt());
    if (carriedOut && found.isPresent() && found.get().order == Task.Order.STOPPING) {
      found.get().orderedAt = now;
    }
  }

  /** Takes what an earlier scheduler learnt about pools. */
  public void poolHistoryStored(PoolHistory history) {
    pools.restore(history);
  }

  /** Takes the platform's list of machines. */
  public void machinesListed(List<Machine> listed, long askedAt) {
    machines.replace(listed, askedAt);
  }

  /** Takes a wave that operators ordered. */
  public void waveOrdered(WaveOrder order, WaveProgress progress) {
    waves.order(order, progress);
  }

  /** Takes the platform's answer to an order for upkeep. */
  public void upkeepAnswered(
      SchedulerCommand.MaintainMachine order, MachineOutcome outcome, long now) {
    waves.answered(order.wave(), order.machine(), outcome, now);
  }

  /** Takes the platform's answer to an order to move a machine. */
  public void moveAnswered(SchedulerCommand.MoveMachine order, MachineOutcome outcome, long now) {
    logger.atInfo().log(
        "event=move_answered machine=%s pool=%s outcome=%s",
        order.machine(), order.pool(), outcome);
    pools.answered(order.machine(), outcome);
  }

  /** Takes a worker's answer to an order to pace a run. */
  public void paceAnswered(SchedulerCommand.PaceTask order, boolean carriedOut, long now) {
    if (!carriedOut) {
      // The pacer orders again what is not at the worker's pace.
      current(order.worker(), order.task(), order.attempt())
          .ifPresent(task -> task.pacePercent = Task.UNKNOWN_PACE);
    }
    logger.atInfo().log(
        "event=pace_answered task=%s percent=%d carried_out=%s",
        order.task(), order.percent(), carriedOut);
  }

  /** Allows or forbids orders for machines, by the age of the last successful append. */
  public void allowMachineOrders(boolean allowed) {
    machineOrdersAllowed = allowed;
  }

  /** Makes every decision that is due. */
  public void decide(long now, long timeOfDay) {
    expire(now);
    reviewOrders(now);
    addDueOccurrences(timeOfDay);
    dropForgotten(timeOfDay);
    leaveDrainingWorkers(now);
    progress.advance(now);
    pacer.advance(now);
    uncordon();
    if (now >= machineOrdersFrom && machineOrdersAllowed) {
      waves.advance(now);
      pools.advance(declaration, now, timeOfDay);
    }
    placement.run(declaration, now, timeOfDay);
  }

  /** Machines that are to go down or to move cordon their workers again. */
  private void uncordon() {
    for (Worker worker : workers.all()) {
      worker.cordoned = false;
    }
  }

  private void expire(long now) {
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

  private void reviewOrders(long now) {
    for (Worker worker : workers.all()) {
      for (Task task : List.copyOf(worker.tasks.values())) {
        boolean uncertain =
            task.order == Task.Order.UNCERTAIN
                && now - task.stopAskedAt >= UNCERTAIN_START_MILLISECONDS;
        boolean unanswered =
            task.order == Task.Order.STOPPING
                && task.orderedAt == Long.MAX_VALUE
                && now - task.stopAskedAt >= STOP_RETRY_MILLISECONDS;
        if (uncertain) {
          lifecycle.stop(task, now);
        } else if (unanswered) {
          lifecycle.stopAgain(task, now);
        }
      }
    }
  }

  private void addDueOccurrences(long timeOfDay) {
    for (Job job : jobs.all()) {
      if (job.isOpen()) {
        job.addDueOccurrences(timeOfDay);
      }
    }
  }

  private void dropForgotten(long timeOfDay) {
    Optional<JobId> dropped = jobs.takeDropped(timeOfDay);
    while (dropped.isPresent()) {
      outbox.forget(dropped.get());
      dropped = jobs.takeDropped(timeOfDay);
    }
  }

  /** Tasks that last start elsewhere while a leaving worker still runs the others. */
  private void leaveDrainingWorkers(long now) {
    for (Worker worker : workers.all()) {
      if (!worker.report.draining() || !worker.held) {
        continue;
      }
      for (Task task : List.copyOf(worker.tasks.values())) {
        if (task.step.getLongRunning() && task.order == Task.Order.RUNNING) {
          lifecycle.stop(task, now);
        }
      }
    }
  }

  /** Returns the commands that need no record. */
  public List<SchedulerCommand> takeImmediate() {
    return outbox.takeImmediate();
  }

  /** Returns everything that was decided since the last batch. */
  public SchedulerBatch takeBatch() {
    return outbox.take();
  }

  /** Returns the machine that a worker runs on, for the log. */
  public Optional<MachineId> machineOf(InstanceId worker) {
    return machines.of(worker).map(Machine::id);
  }
}
