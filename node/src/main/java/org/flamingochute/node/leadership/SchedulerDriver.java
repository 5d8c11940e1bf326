package org.flamingochute.node.leadership;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.node.ClockReading;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.ScheduleWriter;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.StoreAppendOutcome;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.platform.wire.WaveCodec;
import org.flamingochute.platform.wire.WorkerClient;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerBatch;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.core.SchedulerSettings;
import org.flamingochute.scheduling.core.StartOutcome;
import org.flamingochute.scheduling.job.CompactProgress;
import org.flamingochute.scheduling.job.JobTable;
import org.flamingochute.scheduling.leadership.TermRenewal;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.FleetLoad;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.LeaderTerm;
import org.flamingochute.schema.scheduling.MachineCommands;
import org.flamingochute.schema.scheduling.WaveProgress;

/**
 * Runs the scheduler for one term of the leadership: triggers decisions after each change, records
 * them, and sends the resulting commands. Runs on one event loop.
 */
final class SchedulerDriver implements LeadershipContext {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Delay after a change before the next decision, which then covers all changes so far. */
  private static final long BATCHING_DELAY_MILLISECONDS = 2;

  /** Longest time between decisions, for deadlines that pass without a change. */
  private static final long TICK_INTERVAL_MILLISECONDS = 50;

  /** Time since the last append after which the term is renewed. */
  private static final long RENEWAL_INTERVAL_MILLISECONDS = 300;

  private static final long APPEND_TIMEOUT_MILLISECONDS = 1_500;
  private static final long REPORT_RETRY_DELAY_MILLISECONDS = 300;

  /**
   * Age of the view of jobs and cancellations from which no task is started. It is less than the 3
   * s after which a task of a cancelled job must not start, and more than a read that is lost once
   * takes until its repetition.
   */
  private static final long MAXIMUM_JOBS_AGE_MILLISECONDS = 2_500;

  private static final long DELETION_RETRY_DELAY_MILLISECONDS = 500;

  private final Eventloop loop;
  private final NodeClock clock;
  private final StoreClient store;
  private final WorkerClient workerClient;
  private final Optional<MachineCommandSender> machineCommandSender;
  private final JobTable jobs;
  private final SchedulerSettings settings;
  private final Scheduler scheduler;
  private final ScheduleWriter writer;
  private final Optional<JobStatusPublisher> jobStatusPublisher;
  private final LeaderTerm term;
  private final LongSupplier jobsAgeMilliseconds;
  private final Runnable termEndedCallback;

  private final TermRenewal termRenewal;
  private final Map<WorkerKey, WorkerSession> sessions = new HashMap<>();

  /** Newest load of the pools that has not been written to SCHEDULE. */
  private Optional<FleetLoad> unrecordedFleetLoad = Optional.empty();

  private boolean cancellationsRecent = true;
  private boolean decisionPending;
  private boolean stopped;
  private boolean releasing;
  private boolean releaseSent;
  private long lastAppendAt;
  private Optional<ScheduledRunnable> tick = Optional.empty();

  /**
   * Creates the driver of a term.
   *
   * @param claimedAt time at which the append that began the term was sent
   * @param jobsAgeMilliseconds returns the age of this node's view of jobs and cancellations
   */
  SchedulerDriver(
      LeadershipDependencies dependencies,
      LeaderTerm term,
      ClockReading claimedAt,
      Scheduler scheduler,
      LongSupplier jobsAgeMilliseconds,
      Runnable termEndedCallback) {
    this.loop = dependencies.loop();
    this.clock = dependencies.clock();
    this.store = dependencies.store();
    this.workerClient = dependencies.workerClient();
    this.jobs = dependencies.jobs();
    this.settings = dependencies.settings();
    this.term = term;
    this.scheduler = scheduler;
    this.jobsAgeMilliseconds = jobsAgeMilliseconds;
    this.termEndedCallback = termEndedCallback;
    this.machineCommandSender =
        dependencies
            .machineClient()
            .map(
                client ->
                    new MachineCommandSender(clock, client, this, scheduler, term.getInstance()));
    this.termRenewal =
        new TermRenewal(term, clock.steadyMilliseconds() + settings.inheritedLeaseMilliseconds());
    this.lastAppendAt = clock.steadyMilliseconds();
    this.writer =
        new ScheduleWriter(
            loop,
            clock,
            store,
            StoreTopic.SCHEDULE,
            term.getEpoch(),
            claimedAt,
            new ScheduleWriter.Confirmation(
                settings.startValidityMilliseconds(), this::nextTermRecord),
            () -> onFenced("store"));
    this.jobStatusPublisher =
        settings.features().jobStatusTopic()
            ? Optional.of(new JobStatusPublisher(loop, jobStatusWriter(claimedAt)))
            : Optional.empty();
  }

  /** Statuses cause no commands, so their writer never has to confirm the term. */
  private ScheduleWriter jobStatusWriter(ClockReading claimedAt) {
    return new ScheduleWriter(
        loop,
        clock,
        store,
        StoreTopic.JOB_STATUS,
        term.getEpoch(),
        claimedAt,
        new ScheduleWriter.Confirmation(Long.MAX_VALUE, this::nextTermRecord),
        () -> onFenced("job status"));
  }

  Scheduler scheduler() {
    return scheduler;
  }

  void start() {
    jobStatusPublisher.ifPresent(publisher -> publisher.start(jobs.jobs()));
    tick();
  }

  private void tick() {
    if (stopped) {
      return;
    }
    // Before the decision, so that an exception in it does not end the later ones.
    tick = Optional.of(loop.delay(TICK_INTERVAL_MILLISECONDS, this::tick));
    decide();
  }

  @Override
  public long epoch() {
    return term.getEpoch();
  }

  @Override
  public long leaseMilliseconds() {
    return settings.leaseMilliseconds();
  }

  @Override
  public boolean canRenewLeases() {
    return !stopped
        && !releaseSent
        && writer.millisecondsSinceConfirmation() < settings.renewalWithoutStoreMilliseconds();
  }

  @Override
  public boolean canStartRuns() {
    return !stopped
        && !releaseSent
        && writer.millisecondsSinceConfirmation() < settings.startValidityMilliseconds();
  }

  @Override
  public boolean canCommandMachines() {
    return !stopped
        && !releaseSent
        && writer.millisecondsSinceConfirmation() < Scheduler.MACHINE_COMMAND_VALIDITY_MILLISECONDS;
  }

  @Override
  public boolean isTermOver() {
    return stopped;
  }

  @Override
  public void onChanged() {
    if (stopped || decisionPending) {
      return;
    }
    decisionPending = true;
    loop.delay(
        BATCHING_DELAY_MILLISECONDS,
        () -> {
          decisionPending = false;
          decide();
        });
  }

  @Override
  public void onFenced(String by) {
    if (stopped) {
      return;
    }
    logger.atInfo().log("event=leadership_lost epoch=%d by=\"%s\"", epoch(), by);
    stop();
    termEndedCallback.run();
  }

  private void stop() {
    stopped = true;
    writer.stop();
    jobStatusPublisher.ifPresent(JobStatusPublisher::stop);
    tick.ifPresent(ScheduledRunnable::cancel);
    sessions.values().forEach(WorkerSession::stop);
    sessions.clear();
  }

  /**
   * Makes no further decisions, and releases the leadership once an append in progress has
   * succeeded, so that a successor need not wait for the renewal timeout. Then the term ends.
   */
  void release() {
    releasing = true;
    if (!writer.isBusy()) {
      appendRelease();
    }
  }

  private void appendRelease() {
    // A successor that reads the release takes all leases for those granted before it.
    releaseSent = true;
    LeaderTerm released = termRenewal.next(clock.steadyMilliseconds()).setReleased(true).build();
    writer.append(
        List.of(new KeyedValue(ScheduleKeys.LEADER_TERM, released.toByteArray())),
        () -> {
          logger.atInfo().log("event=leadership_released epoch=%d", epoch());
          stop();
          termEndedCallback.run();
        });
  }

  private void decide() {
    if (stopped || releasing) {
      return;
    }
    scheduler.setMachineCommandsAllowed(canCommandMachines());
    scheduler.setPlacementAllowed(areCancellationsRecent());
    scheduler.decide(clock.steadyMilliseconds(), clock.wallClockMilliseconds());
    updateSessions();
    scheduler.takeImmediateCommands().forEach(this::execute);
    publishFleetLoad();
    record();
    machineCommandSender.ifPresent(MachineCommandSender::requestMachines);
  }

  /** Returns whether every cancellation is known that was stored some time ago. */
  boolean areCancellationsRecent() {
    boolean isRecent = jobsAgeMilliseconds.getAsLong() < MAXIMUM_JOBS_AGE_MILLISECONDS;
    if (isRecent != cancellationsRecent) {
      cancellationsRecent = isRecent;
      logger.atInfo().log(
          isRecent ? "event=placement_resumed" : "event=placement_paused cause=jobs_not_read");
    }
    return isRecent;
  }

  /**
   * Passes a new load of the pools to both topics: small instances read only the statuses, the
   * others only SCHEDULE.
   */
  private void publishFleetLoad() {
    Optional<FleetLoad> load = scheduler.takeFleetLoad();
    if (load.isPresent()) {
      unrecordedFleetLoad = load;
      jobStatusPublisher.ifPresent(publisher -> publisher.publish(load.get()));
    }
  }

  private void updateSessions() {
    Set<WorkerKey> neededWorkers = new HashSet<>();
    for (WorkerReport report : scheduler.workersToRenew()) {
      neededWorkers.add(report.key());
      WorkerSession session = sessions.get(report.key());
      if (session == null) {
        session = new WorkerSession(loop, clock, workerClient, this, scheduler, report);
        sessions.put(report.key(), session);
        session.start();
      } else {
        session.update(report);
      }
    }
    sessions
        .entrySet()
        .removeIf(
            entry -> {
              boolean isUnneeded = !neededWorkers.contains(entry.getKey());
              if (isUnneeded) {
                entry.getValue().stop();
              }
              return isUnneeded;
            });
  }

  private void record() {
    if (writer.isBusy()) {
      return;
    }
    SchedulerBatch batch = scheduler.takeBatch();
    batch.immediateCommands().forEach(this::execute);
    deleteDefinitions(batch.expiredJobs());
    long now = clock.steadyMilliseconds();
    boolean renewalDue = now - lastAppendAt >= RENEWAL_INTERVAL_MILLISECONDS;
    if (!batch.hasRecords()
        && !renewalDue
        && !termRenewal.mustRecordLeaseExpiry(clock.steadyMilliseconds())) {
      batch.commandsAfterRecording().forEach(this::execute);
      return;
    }
    lastAppendAt = now;
    writer.appendBeforeCommands(recordsOf(batch), () -> onRecorded(batch));
  }

  private List<KeyedValue> recordsOf(SchedulerBatch batch) {
    List<KeyedValue> records = new ArrayList<>();
    for (Map.Entry<JobId, JobProgress> entry : batch.records().entrySet()) {
      records.add(
          new KeyedValue(
              ScheduleKeys.progress(entry.getKey()), stored(entry.getValue()).toByteArray()));
    }
    for (JobId job : batch.deletedJobs()) {
      records.add(KeyedValue.tombstone(ScheduleKeys.progress(job)));
    }
    for (Map.Entry<Long, WaveProgress> entry : batch.waves().entrySet()) {
      records.add(
          new KeyedValue(ScheduleKeys.wave(entry.getKey()), entry.getValue().toByteArray()));
    }
    if (batch.poolHistory().isPresent()) {
      records.add(
          new KeyedValue(ScheduleKeys.POOL_HISTORY, batch.poolHistory().get().toByteArray()));
    }
    batch
        .machineCommands()
        .ifPresent(
            machines ->
                records.add(
                    new KeyedValue(
                        ScheduleKeys.MACHINE_COMMANDS, toRecord(machines).toByteArray())));
    if (records.isEmpty() || termRenewal.mustRecordLeaseExpiry(clock.steadyMilliseconds())) {
      records.add(nextTermRecord());
    }
    unrecordedFleetLoad.ifPresent(
        load -> records.add(new KeyedValue(ScheduleKeys.FLEET_LOAD, load.toByteArray())));
    unrecordedFleetLoad = Optional.empty();
    return records;
  }

  private JobProgress stored(JobProgress progress) {
    return settings.features().compactRecords() ? CompactProgress.compact(progress) : progress;
  }

  private MachineCommands toRecord(List<MachineId> machines) {
    MachineCommands.Builder record = MachineCommands.newBuilder().setEpoch(epoch());
    machines.forEach(machine -> record.addMachines(machine.value()));
    return record.build();
  }

  private KeyedValue nextTermRecord() {
    LeaderTerm renewed = termRenewal.next(clock.steadyMilliseconds()).build();
    return new KeyedValue(ScheduleKeys.LEADER_TERM, renewed.toByteArray());
  }

  private void onRecorded(SchedulerBatch batch) {
    batch.records().forEach(jobs::updateProgress);
    batch.deletedJobs().forEach(jobs::delete);
    jobStatusPublisher.ifPresent(
        publisher -> publisher.onRecorded(batch.records(), batch.deletedJobs()));
    batch.commandsAfterRecording().forEach(this::execute);
    if (releasing) {
      appendRelease();
    } else {
      record();
    }
  }

  /** Deletes the intake records of expired jobs, and repeats this until the store confirms it. */
  private void deleteDefinitions(List<JobId> expiredJobs) {
    if (expiredJobs.isEmpty() || stopped) {
      return;
    }
    List<KeyedValue> deletions = new ArrayList<>();
    for (JobId job : expiredJobs) {
      deletions.add(KeyedValue.tombstone(ScheduleKeys.job(job)));
      deletions.add(KeyedValue.tombstone(ScheduleKeys.cancellation(job)));
    }
    store
        .append(
            StoreTopic.INTAKE,
            deletions,
            Optional.empty(),
            OptionalLong.empty(),
            APPEND_TIMEOUT_MILLISECONDS)
        .thenAccept(result -> onDeletionResult(expiredJobs, result));
  }

  private void onDeletionResult(List<JobId> expiredJobs, StoreAppendOutcome result) {
    if (stopped) {
      return;
    }
    if (result instanceof StoreAppendOutcome.Appended) {
      expiredJobs.forEach(scheduler::onDefinitionDeleted);
      onChanged();
      return;
    }
    logger.atInfo().log(
        "event=deletion_repeated jobs=%d result=\"%s\"", expiredJobs.size(), result);
    loop.delay(DELETION_RETRY_DELAY_MILLISECONDS, () -> deleteDefinitions(expiredJobs));
  }

  /** Sends a command. An unexpected error in it must not drop the commands after it. */
  private void execute(SchedulerCommand command) {
    try {
      send(command);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "event=command_failed command=%s", command.getClass().getSimpleName());
      if (command instanceof SchedulerCommand.StartTask start) {
        scheduler.onStartAnswered(
            start, StartOutcome.UNKNOWN, clock.steadyMilliseconds(), clock.wallClockMilliseconds());
      }
    }
  }

  private void send(SchedulerCommand command) {
    switch (command) {
      case SchedulerCommand.StartTask start -> startTask(start);
      case SchedulerCommand.StopTask stop ->
          session(stop.worker()).ifPresent(session -> session.stopTask(stop));
      case SchedulerCommand.PaceTask pace ->
          session(pace.worker()).ifPresent(session -> session.paceTask(pace));
      case SchedulerCommand.AcknowledgeFinishedRuns ends ->
          session(ends.worker()).ifPresent(session -> session.acknowledge(ends.number()));
      case SchedulerCommand.MoveMachine move ->
          machineCommandSender.ifPresent(sender -> sender.move(move));
      case SchedulerCommand.MaintainMachine maintenance ->
          machineCommandSender.ifPresent(sender -> sender.maintain(maintenance));
      case SchedulerCommand.ReportWave report -> reportWave(report);
    }
  }

  private Optional<WorkerSession> session(WorkerKey worker) {
    return Optional.ofNullable(sessions.get(worker));
  }

  @Override
  public boolean beginStart(SchedulerCommand.StartTask start) {
    return scheduler.beginStart(start);
  }

  private void startTask(SchedulerCommand.StartTask start) {
    Optional<WorkerSession> session = session(start.worker());
    if (session.isPresent()) {
      session.get().startTask(start);
    } else if (scheduler.beginStart(start)) {
      scheduler.onStartAnswered(
          start, StartOutcome.NOT_RUN, clock.steadyMilliseconds(), clock.wallClockMilliseconds());
    }
  }

  private void reportWave(SchedulerCommand.ReportWave report) {
    KeyedValue record =
        new KeyedValue(
            ScheduleKeys.wave(report.wave()),
            WaveCodec.writeReport(report.wave(), report.completed()));
    store
        .append(
            StoreTopic.REPORTS,
            List.of(record),
            Optional.empty(),
            OptionalLong.empty(),
            APPEND_TIMEOUT_MILLISECONDS)
        .thenAccept(
            result -> {
              boolean stored = result instanceof StoreAppendOutcome.Appended;
              if (!stored && !stopped) {
                loop.delay(REPORT_RETRY_DELAY_MILLISECONDS, () -> reportWave(report));
              }
            });
  }
}
