package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.placement.WorkerHealth;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.fleet.WaveOrder;
import org.flamingochute.scheduling.job.JobEntry;
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

  private final SchedulerSettings settings;

  /** Time from which machines may be moved and maintained. */
  private final long machineOrdersFrom;

  private final WorkerBook workers = new WorkerBook();
  private final JobBook jobs = new JobBook();
  private final MachineBook machines = new MachineBook();
  private final TeamUsage usage = new TeamUsage();
  private final TeamRates rates = new TeamRates();
  private final WorkerHealth health = new WorkerHealth();
  private final Outbox outbox = new Outbox();
  private final TaskLifecycle lifecycle;
  private final WorkerRoster roster;
  private final ListingReader listings;
  private final RunOrders orders;
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
    long foreignLeasesEndAt =
        beganAt
            + (predecessor == Predecessor.OVER
                ? settings.lapseMilliseconds()
                : settings.foreignLeaseMilliseconds());
    machineOrdersFrom =
        predecessor == Predecessor.OVER
            ? beganAt
            : heardAt + ORDER_VALIDITY_MILLISECONDS + settings.fenceMilliseconds();
    lifecycle = new TaskLifecycle(jobs, usage, health, outbox, settings);
    roster = new WorkerRoster(workers, lifecycle, settings, foreignLeasesEndAt);
    listings = new ListingReader(workers, roster, lifecycle, outbox);
    orders = new RunOrders(workers, roster, lifecycle);
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
      case ASSIGNED -> lifecycle.inherit(task, roster.workerOf(recorded, job.pool), now);
      default -> task.phase = TaskProgress.Phase.WAITING;
    }
  }

  /** Withdraws a job at its caller's request. */
  public void jobCancelled(JobId id, long now, long timeOfDay) {
    jobs.find(id).ifPresent(job -> lifecycle.cancel(job, now, timeOfDay));
  }

  /** Takes the last report of a worker that is listed no more, but may still run tasks. */
  public void workerRemembered(WorkerReport report) {
    roster.workerRemembered(report);
  }

  /** Takes a worker's report about itself. */
  public void workerListed(WorkerReport report) {
    roster.workerListed(report);
  }

  /** Notes that the store lists a worker no more. */
  public void workerUnlisted(InstanceId id) {
    roster.workerUnlisted(id);
  }

  /** Returns the workers whose leases are to be renewed. */
  public List<WorkerReport> workersToHold() {
    return roster.workersToHold();
  }

  /** Tells whether calls to a worker fail, so that its lease is not to be extended blindly. */
  public boolean isUnreachable(WorkerKey key) {
    return roster.isUnreachable(key);
  }

  /** Notes that a renewal of a worker's lease, or a start with its deadline, was sent. */
  public void leaseSent(WorkerKey key, long now) {
    roster.leaseSent(key, now);
  }

  /**
   * Takes a worker's answer to a renewal of its lease.
   *
   * @param sentAt time at which the renewal was sent
   */
  public void leaseRenewed(
      WorkerKey key, WorkerListing listing, long sentAt, long now, long timeOfDay) {
    listings.leaseRenewed(key, listing, sentAt, now, timeOfDay);
  }

  /**
   * Notes that a renewal failed.
   *
   * @param gone true when another incarnation answered at the worker's address
   */
  public void renewalFailed(WorkerKey key, boolean gone, String cause) {
    roster.renewalFailed(key, gone, cause);
  }

  /** Tells whether a recorded start is still wanted, and notes that it is sent now. */
  public boolean beginStart(SchedulerCommand.StartTask start) {
    return orders.beginStart(start);
  }

  /** Takes a worker's answer to an order to start. */
  public void startAnswered(
      SchedulerCommand.StartTask start, StartOutcome outcome, long now, long timeOfDay) {
    orders.startAnswered(start, outcome, now, timeOfDay);
  }

  /** Takes a worker's answer to an order to stop. */
  public void stopAnswered(SchedulerCommand.StopTask stop, boolean carriedOut, long now) {
    orders.stopAnswered(stop, carriedOut, now);
  }

  /** Takes a worker's answer to an order to pace a run. */
  public void paceAnswered(SchedulerCommand.PaceTask order, boolean carriedOut, long now) {
    orders.paceAnswered(order, carriedOut, now);
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

  /** Allows or forbids orders for machines, by the age of the last successful append. */
  public void allowMachineOrders(boolean allowed) {
    machineOrdersAllowed = allowed;
  }

  /** Makes every decision that is due. */
  public void decide(long now, long timeOfDay) {
    roster.expire(now);
    orders.review(now);
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
}
