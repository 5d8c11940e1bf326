package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.scheduling.duration.DurationModel;
import org.flamingochute.scheduling.duration.EstimatedDurations;
import org.flamingochute.scheduling.duration.LearnedDurations;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Machine;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.fleet.WaveRequest;
import org.flamingochute.scheduling.interference.InterferenceModel;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.scheduling.worker.WorkerStatus;
import org.flamingochute.schema.scheduling.FleetLoad;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.PoolHistory;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.TaskCopy;
import org.flamingochute.schema.scheduling.TaskProgress;
import org.flamingochute.schema.scheduling.WaveProgress;

/**
 * Decides which task runs on which worker, and which machines are moved and maintained.
 *
 * <p>It performs no input or output: events are passed in through its methods, and its decisions
 * are returned as a {@link SchedulerBatch}. A start command is sent only after its record is
 * durable, and a finished run is acknowledged only after it is recorded. So a successor finds every
 * run that may exist in the records, and the end of every run either in the records or still on its
 * worker. Times named {@code now} are milliseconds of a steady clock, {@code wallClockMilliseconds}
 * are milliseconds since 1970. Not thread-safe; used by one thread.
 */
public final class Scheduler {
  /** Time since the last successful append from which no machine may be moved or maintained. */
  public static final long MACHINE_COMMAND_VALIDITY_MILLISECONDS = 600;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final SchedulerSettings settings;

  private final MachineCommandFence machineCommandFence;

  private final WorkerRegistry workers = new WorkerRegistry();
  private final JobRegistry jobs = new JobRegistry();
  private final MachineInventory machines = new MachineInventory();
  private final TeamUsage teamUsage = new TeamUsage();
  private final TeamRates teamRates = new TeamRates();
  private final WorkerSuspensions suspensions = new WorkerSuspensions();
  private final Outbox outbox = new Outbox();
  private final DurationModel durations;
  private final TaskLifecycle lifecycle;
  private final WorkerTracker workerTracker;
  private final WorkerStatusProcessor statusProcessor;
  private final CommandTracker commandTracker;
  private final TaskPlacer taskPlacer;
  private final CopyStarter copyStarter;
  private final PassedOverTaskLog passedOverTaskLog;
  private final WaveController waveController;
  private final PoolPlanner poolPlanner;
  private final ProgressMonitor progressMonitor;
  private final FillerPacer fillerPacer;
  private final InterferenceModel interferenceModel = new InterferenceModel();
  private final InterferenceObserver interferenceObserver;
  private final WorkerEvacuator workerEvacuator;
  private final PoolWaits poolWaits;
  private final DataCentreEvacuation dataCentreEvacuation;
  private FleetDeclaration declaration;
  private boolean machineCommandsAllowed = true;
  private boolean placementAllowed = true;

  /**
   * Creates a scheduler without jobs.
   *
   * @param settings durations and deadlines
   * @param declaration the operators' declaration
   * @param predecessor what is known about the previous leader
   * @param predecessorLastRecordAt time of the predecessor's last record; it sends no machine
   *     commands later than {@link #MACHINE_COMMAND_VALIDITY_MILLISECONDS} after it
   * @param leaderSince time at which this node became the leader
   */
  public Scheduler(
      SchedulerSettings settings,
      FleetDeclaration declaration,
      PredecessorState predecessor,
      long predecessorLastRecordAt,
      long leaderSince) {
    this.settings = settings;
    this.declaration = declaration;
    durations =
        settings.features().learnedDurations() ? new LearnedDurations() : new EstimatedDurations();
    final long inheritedLeasesExpireAt =
        leaderSince
            + (predecessor == PredecessorState.OVER
                ? settings.leaseExpiryMilliseconds()
                : settings.inheritedLeaseMilliseconds());
    final long machineCommandDistance =
        MACHINE_COMMAND_VALIDITY_MILLISECONDS + settings.fenceMilliseconds();
    machineCommandFence =
        new MachineCommandFence(
            predecessor == PredecessorState.OVER
                ? leaderSince
                : predecessorLastRecordAt + machineCommandDistance,
            machineCommandDistance,
            outbox);
    lifecycle = new TaskLifecycle(jobs, teamUsage, suspensions, outbox, settings);
    workerTracker = new WorkerTracker(workers, lifecycle, settings, inheritedLeasesExpireAt);
    statusProcessor = new WorkerStatusProcessor(workers, workerTracker, jobs, lifecycle, outbox);
    commandTracker = new CommandTracker(workers, workerTracker, lifecycle);
    WorkerSelector workerSelector =
        new WorkerSelector(suspensions, new InterferencePenalty(interferenceModel));
    CapacityShortage shortage = new CapacityShortage();
    taskPlacer = new TaskPlacer(workers, jobs, teamUsage, lifecycle, workerSelector, shortage);
    copyStarter = new CopyStarter(workers, jobs, teamUsage, lifecycle, workerSelector, durations);
    passedOverTaskLog = new PassedOverTaskLog(workers, jobs, teamUsage, workerSelector);
    workerEvacuator = new WorkerEvacuator(lifecycle);
    progressMonitor = new ProgressMonitor(workers, lifecycle, durations);
    dataCentreEvacuation = new DataCentreEvacuation(workers, lifecycle);
    fillerPacer = new FillerPacer(workers, outbox);
    interferenceObserver = new InterferenceObserver(workers, interferenceModel);
    poolWaits = new PoolWaits(workers, jobs, teamUsage, durations);
    MaintenanceOrder maintenanceOrder = new MaintenanceOrder(machines, workers);
    waveController =
        new WaveController(
            workers, machines, maintenanceOrder, workerEvacuator, machineCommandFence, outbox);
    poolPlanner =
        new PoolPlanner(
            workers,
            machines,
            jobs,
            dataCentreEvacuation,
            waveController,
            maintenanceOrder,
            machineCommandFence,
            shortage,
            outbox);
  }

  /** Applies a new declaration. */
  public void onDeclarationChanged(FleetDeclaration newestDeclaration) {
    declaration = newestDeclaration;
    for (Job job : jobs.all()) {
      job.apply(policyOf(job.definition));
    }
  }

  /** Sets all data centres that are to be evacuated; no more tasks are started in them. */
  public void onEvacuationsChanged(Set<DataCentreId> dataCentres) {
    dataCentreEvacuation.replace(dataCentres);
  }

  private QueuePolicy policyOf(QueuedJob job) {
    return declaration
        .queue(new QueueId(job.getQueue()))
        .map(Queue::policy)
        .orElse(job.getPolicy());
  }

  /**
   * Adds a job from the store, with its recorded progress; does nothing if the job is known
   * already. A job whose progress cannot be read is not added: its tasks may be running or done, so
   * none of them may be started.
   */
  public void onJobStored(StoredJob storedJob, long now, long wallClockMilliseconds) {
    if (jobs.isKnown(storedJob.id())) {
      return;
    }
    if (storedJob.isProgressUnreadable()) {
      logger.atWarning().log("event=job_not_scheduled job=%s", storedJob.id());
      return;
    }
    if (storedJob.definition().isEmpty()) {
      deleteOrphanedProgress(storedJob);
      return;
    }
    QueuedJob definition = storedJob.definition().get();
    Job job = new Job(storedJob.id(), definition, policyOf(definition), durations);
    JobProgress progress = storedJob.progress().orElse(JobProgress.getDefaultInstance());
    job.phase = progress.getPhase();
    job.endedMilliseconds = progress.getEndedMilliseconds();
    job.overTeamRate =
        teamRates.recordAndCheckExcess(
            job.team.flatMap(declaration::team), definition.getAcceptedMilliseconds());
    jobs.add(job);
    job.addDueOccurrences(wallClockMilliseconds);
    for (TaskProgress task : progress.getTasksList()) {
      restoreTask(job, task, now);
    }
    job.restoreGangFailures(progress);
    if (job.isOpen() && storedJob.isCancelled()) {
      lifecycle.cancelJob(job, now, wallClockMilliseconds);
    } else if (!job.isOpen() && job.hasAssignedTask()) {
      lifecycle.stopRunsOfEndedJob(job, now);
    } else if (!job.isOpen()) {
      jobs.close(job.id, job.endedMilliseconds + settings.statusRetentionMilliseconds());
    }
  }

  /**
   * Deletes the progress of an ended job without a definition. It is left over from a job that a
   * predecessor was deleting, since progress is recorded after the definition and deleted after it.
   */
  private void deleteOrphanedProgress(StoredJob storedJob) {
    boolean ended =
        storedJob
            .progress()
            .map(progress -> progress.getPhase() != JobProgress.Phase.OPEN)
            .orElse(false);
    if (ended) {
      outbox.deleteProgress(storedJob.id());
    }
  }

  private void restoreTask(Job job, TaskProgress recorded, long now) {
    // The clock of the node that recorded it may have been ahead of this node's clock.
    while (job.occurrences.size() <= recorded.getOccurrence()) {
      if (!job.addNextOccurrence()) {
        return;
      }
    }
    Optional<Task> found =
        job.findTask(recorded.getOccurrence(), recorded.getStep(), recorded.getIndex());
    if (found.isEmpty()) {
      return;
    }
    Task task = found.get();
    task.attempt = recorded.getAttempt();
    task.failures = recorded.getFailures();
    lifecycle.setCheckpoint(task, recorded.getCheckpoint());
    task.phase = recorded.getPhase();
    switch (recorded.getPhase()) {
      case DONE -> task.occurrence.markTaskDone(task.id.step());
      case ASSIGNED -> {
        WorkerKey startedOn =
            new WorkerKey(
                new InstanceId(recorded.getWorker()), recorded.getWorkerBornMilliseconds());
        lifecycle.restoreAssignment(
            task, startedOn, workerTracker.findOrAddWorker(startedOn, job.pool, now), now);
      }
      default -> task.phase = TaskProgress.Phase.WAITING;
    }
    if (recorded.hasCopy()) {
      restoreCopy(task, recorded.getCopy(), now);
    }
  }

  private void restoreCopy(Task task, TaskCopy recorded, long now) {
    task.highestCopyAttempt = recorded.getAttempt();
    if (recorded.getWorker().isEmpty()) {
      return;
    }
    WorkerKey startedOn =
        new WorkerKey(new InstanceId(recorded.getWorker()), recorded.getWorkerBornMilliseconds());
    lifecycle.restoreCopy(
        task,
        recorded.getAttempt(),
        startedOn,
        workerTracker.findOrAddWorker(startedOn, task.job.pool, now),
        now);
  }

  /**
   * Handles the durable deletion of the definition of an expired job. Only then is its progress
   * deleted: a definition without progress would be a new job, and its tasks would run again.
   */
  public void onDefinitionDeleted(JobId id) {
    jobs.forget(id);
    outbox.deleteProgress(id);
  }

  /** Cancels a job at its caller's request. */
  public void onJobCancelled(JobId id, long now, long wallClockMilliseconds) {
    jobs.find(id).ifPresent(job -> lifecycle.cancelJob(job, now, wallClockMilliseconds));
  }

  /** Restores a worker that is no longer listed but may still run tasks, from its last report. */
  public void restoreUnlistedWorker(WorkerReport report) {
    workerTracker.restoreUnlistedWorker(report);
  }

  /** Applies the report of a listed worker. */
  public void onWorkerListed(WorkerReport report, long now) {
    workerTracker.onWorkerListed(report, now);
  }

  /** Marks a worker as no longer listed in the store. */
  public void onWorkerUnlisted(InstanceId id) {
    workerTracker.onWorkerUnlisted(id);
  }

  /** Returns the workers whose leases must be renewed. */
  public List<WorkerReport> workersToRenew() {
    return workerTracker.workersToRenew(declaration);
  }

  /** Returns whether calls to a worker fail, so that its lease must not be extended. */
  public boolean isUnreachable(WorkerKey key) {
    return workerTracker.isUnreachable(key);
  }

  /** Records that a lease renewal with a deadline was sent. */
  public void onLeaseSent(WorkerKey key, long now) {
    workerTracker.onLeaseSent(key, now);
  }

  /** Records that a start was sent, whose deadline extends the lease. */
  public void onStartSent(WorkerKey key, long now) {
    workerTracker.onStartSent(key, now);
  }

  /**
   * Applies a worker's response to a lease renewal.
   *
   * @param sentAt time at which the renewal was sent
   */
  public void onLeaseRenewed(
      WorkerKey key, WorkerStatus status, long sentAt, long now, long wallClockMilliseconds) {
    statusProcessor.onLeaseRenewed(key, status, sentAt, now, wallClockMilliseconds);
  }

  /**
   * Handles a failed lease renewal.
   *
   * @param gone true when a worker with another id answered at the worker's address
   */
  public void onRenewalFailed(WorkerKey key, boolean gone, String cause) {
    workerTracker.onRenewalFailed(key, gone, cause);
  }

  /**
   * Returns whether a recorded start is still current, and if so marks it as sent. To be called
   * directly before the start is written: from then on the run may exist.
   */
  public boolean beginStart(SchedulerCommand.StartTask start) {
    return commandTracker.beginStart(start);
  }

  /** Handles a start that was not written after all, and is about to be sent again. */
  public void onStartNotSent(SchedulerCommand.StartTask start) {
    commandTracker.onStartNotSent(start);
  }

  /** Handles a worker's response to a start command. */
  public void onStartAnswered(
      SchedulerCommand.StartTask start,
      StartOutcome outcome,
      long now,
      long wallClockMilliseconds) {
    commandTracker.onStartAnswered(start, outcome, now, wallClockMilliseconds);
  }

  /** Handles a worker's response to a stop command. */
  public void onStopAnswered(SchedulerCommand.StopTask stop, boolean carriedOut, long now) {
    commandTracker.onStopAnswered(stop, carriedOut, now);
  }

  /** Handles a worker's response to a pace command. */
  public void onPaceAnswered(SchedulerCommand.PaceTask command, boolean carriedOut, long now) {
    commandTracker.onPaceAnswered(command, carriedOut, now);
  }

  /** Restores the load history of pools that a previous leader recorded. */
  public void restorePoolHistory(PoolHistory history) {
    poolPlanner.restore(history);
  }

  /**
   * Restores the machines that the direct predecessor may have commanded lately. Without them this
   * leader waits with all machine commands until those of the predecessor are long enough ago.
   */
  public void restoreMachineCommands(List<MachineId> commandedMachines) {
    machineCommandFence.restore(commandedMachines);
  }

  /** Applies the platform's list of machines. */
  public void onMachinesListed(List<Machine> listed, long requestedAt) {
    machines.replace(listed, requestedAt);
  }

  /** Adds a maintenance wave that operators requested. */
  public void onWaveRequested(WaveRequest request, WaveProgress progress) {
    waveController.addWave(request, progress);
  }

  /**
   * Returns whether a command for a machine is still covered by the record of commanded machines.
   * To be called directly before the command is sent.
   */
  public boolean beginMachineCommand(MachineId machine, long now) {
    return machineCommandFence.trySend(machine, now);
  }

  /** Handles the platform's response to a maintenance command. */
  public void onMaintenanceAnswered(
      SchedulerCommand.MaintainMachine command, MachineOutcome outcome, long now) {
    waveController.onMaintenanceAnswered(command.wave(), command.machine(), outcome, now);
  }

  /** Handles the platform's response to a move command. */
  public void onMoveAnswered(
      SchedulerCommand.MoveMachine command, MachineOutcome outcome, long now) {
    logger.atInfo().log(
        "event=move_answered machine=%s pool=%s outcome=%s",
        command.machine(), command.pool(), outcome);
    poolPlanner.onMoveAnswered(command.machine(), outcome);
  }

  /**
   * Sets whether tasks may be placed: only while the view of the cancellations is recent. Tasks
   * that run are not affected.
   */
  public void setPlacementAllowed(boolean allowed) {
    placementAllowed = allowed;
  }

  /** Allows or forbids machine commands, depending on the age of the last successful append. */
  public void setMachineCommandsAllowed(boolean allowed) {
    machineCommandsAllowed = allowed;
  }

  /** Makes all decisions that are due. */
  public void decide(long now, long wallClockMilliseconds) {
    workerTracker.expireLeases(now);
    commandTracker.retryUnanswered(now);
    addDueOccurrences(wallClockMilliseconds);
    deleteExpiredJobs(wallClockMilliseconds);
    stopLongRunningTasksOnDrainingWorkers(now);
    dataCentreEvacuation.advance(now);
    progressMonitor.update(now);
    fillerPacer.updatePaces(now);
    if (settings.features().taskSeparation()) {
      interferenceObserver.update(now);
    }
    uncordonWorkers();
    commandMachines(now, wallClockMilliseconds);
    if (placementAllowed) {
      taskPlacer.placeTasks(declaration, now, wallClockMilliseconds);
    }
    if (placementAllowed && settings.features().speculativeCopies()) {
      copyStarter.startCopies(declaration, now, wallClockMilliseconds);
    }
    passedOverTaskLog.update(declaration, now, wallClockMilliseconds);
    durations.logChanges(now);
    if (settings.features().loadShedding()) {
      poolWaits.update(declaration, now, wallClockMilliseconds);
    }
  }

  private void commandMachines(long now, long wallClockMilliseconds) {
    // A machine that a predecessor has sent to maintenance may not be listed as down yet, so it
    // would not count against the limit of its wave.
    if (machineCommandsAllowed && machineCommandFence.allowsAll(now)) {
      waveController.advance(now);
    } else {
      waveController.cordonWithoutCommands(now);
    }
    if (machineCommandsAllowed && machineCommandFence.allowsSome(now)) {
      poolPlanner.advance(declaration, now, wallClockMilliseconds);
    } else {
      poolPlanner.cordonWithoutCommands(now);
    }
    machineCommandFence.update(now);
  }

  /**
   * Clears all cordons; machines to be maintained or moved are cordoned again in the same pass,
   * whether or not machine commands are allowed in it.
   */
  private void uncordonWorkers() {
    for (Worker worker : workers.all()) {
      worker.cordoned = false;
    }
  }

  private void addDueOccurrences(long wallClockMilliseconds) {
    for (Job job : jobs.all()) {
      if (job.isOpen()) {
        job.addDueOccurrences(wallClockMilliseconds);
      }
    }
  }

  private void deleteExpiredJobs(long wallClockMilliseconds) {
    Optional<JobId> expired = jobs.pollExpired(wallClockMilliseconds);
    while (expired.isPresent()) {
      outbox.expireJob(expired.get());
      expired = jobs.pollExpired(wallClockMilliseconds);
    }
  }

  /**
   * Stops long-running tasks on draining workers, to restart them elsewhere, without regard to the
   * maximum of unavailable tasks of their steps; other tasks run to their end.
   */
  private void stopLongRunningTasksOnDrainingWorkers(long now) {
    for (Worker worker : workers.all()) {
      if (!worker.report.draining() || !worker.leaseConfirmed) {
        continue;
      }
      for (Task task : List.copyOf(worker.tasks.values())) {
        if (task.step.getLongRunning() && task.runState == Task.RunState.RUNNING) {
          lifecycle.stopRun(task, now);
        }
      }
    }
  }

  /** Removes and returns the commands that need no record. */
  public List<SchedulerCommand> takeImmediateCommands() {
    return outbox.takeImmediateCommands();
  }

  /**
   * Removes and returns the load of the pools, if it is to be written. It is not part of a batch,
   * since a batch may be taken without an append.
   */
  public Optional<FleetLoad> takeFleetLoad() {
    return poolWaits.take();
  }

  /** Removes and returns everything that was decided since the last batch. */
  public SchedulerBatch takeBatch() {
    return outbox.takeBatch();
  }
}
