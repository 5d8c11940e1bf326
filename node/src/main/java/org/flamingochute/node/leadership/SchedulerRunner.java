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
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.ScheduleWriter;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.StoreAppend;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.platform.wire.WaveCodec;
import org.flamingochute.platform.wire.WorkerClient;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerBatch;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.core.SchedulerSettings;
import org.flamingochute.scheduling.core.StartOutcome;
import org.flamingochute.scheduling.job.JobTable;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.LeaderTerm;
import org.flamingochute.schema.scheduling.WaveProgress;

/**
 * Carries out one term of the leadership: lets the scheduler decide after each change, records what
 * it decided, and sends its orders. Runs on one event loop.
 */
final class SchedulerRunner implements LeadershipContext {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Changes within this time are decided on together. */
  private static final long GATHER_MILLISECONDS = 2;

  /** Longest time between decisions, for what falls due without a change. */
  private static final long TICK_MILLISECONDS = 50;

  /** Time without an append after which the term is renewed. */
  private static final long RENEWAL_MILLISECONDS = 300;

  private static final long REPORT_TIMEOUT_MILLISECONDS = 1_500;
  private static final long REPORT_RETRY_MILLISECONDS = 300;

  private final Eventloop loop;
  private final NodeClock clock;
  private final StoreClient store;
  private final WorkerClient workerClient;
  private final Optional<MachineOrders> machineOrders;
  private final JobTable jobs;
  private final SchedulerSettings settings;
  private final Scheduler scheduler;
  private final ScheduleWriter writer;
  private final LeaderTerm term;
  private final Runnable whenOver;
  private final long earlierLeasesEndAt;
  private final Map<WorkerKey, WorkerSession> sessions = new HashMap<>();
  private boolean decisionPending;
  private boolean stopped;
  private boolean releasing;
  private long renewal;
  private long lastAppendAt;
  private Optional<ScheduledRunnable> tick = Optional.empty();

  SchedulerRunner(LeadershipParts parts, LeaderTerm term, Scheduler scheduler, Runnable over) {
    this.loop = parts.loop();
    this.clock = parts.clock();
    this.store = parts.store();
    this.workerClient = parts.workerClient();
    this.jobs = parts.jobs();
    this.settings = parts.settings();
    this.term = term;
    this.scheduler = scheduler;
    this.whenOver = over;
    this.machineOrders =
        parts
            .machineClient()
            .map(client -> new MachineOrders(clock, client, this, scheduler, term.getInstance()));
    this.renewal = term.getRenewal();
    this.earlierLeasesEndAt = clock.steady() + settings.inheritedLeaseMilliseconds();
    this.lastAppendAt = clock.steady();
    this.writer = new ScheduleWriter(loop, clock, store, term.getEpoch(), () -> fenced("store"));
  }

  Scheduler scheduler() {
    return scheduler;
  }

  void start() {
    tick();
  }

  private void tick() {
    if (stopped) {
      return;
    }
    decide();
    tick = Optional.of(loop.delay(TICK_MILLISECONDS, this::tick));
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
  public boolean mayHold() {
    return !stopped && writer.silenceMilliseconds() < settings.renewalWithoutStoreMilliseconds();
  }

  @Override
  public boolean isOver() {
    return stopped;
  }

  @Override
  public void changed() {
    if (stopped || decisionPending) {
      return;
    }
    decisionPending = true;
    loop.delay(
        GATHER_MILLISECONDS,
        () -> {
          decisionPending = false;
          decide();
        });
  }

  @Override
  public void fenced(String by) {
    if (stopped) {
      return;
    }
    logger.atInfo().log("event=leadership_lost epoch=%d by=\"%s\"", epoch(), by);
    end();
    whenOver.run();
  }

  private void end() {
    stopped = true;
    writer.stop();
    tick.ifPresent(ScheduledRunnable::cancel);
    sessions.values().forEach(WorkerSession::stop);
    sessions.clear();
  }

  /** Gives the leadership up, so that a successor need not wait, and ends. */
  void release() {
    releasing = true;
    if (!writer.isBusy()) {
      appendRelease();
    }
  }

  private void appendRelease() {
    LeaderTerm released = renewedTerm().setReleased(true).build();
    writer.append(
        List.of(new KeyedValue(ScheduleKeys.LEADER_TERM, released.toByteArray())),
        () -> {
          logger.atInfo().log("event=leadership_released epoch=%d", epoch());
          end();
          whenOver.run();
        });
  }

  private void decide() {
    if (stopped || releasing) {
      return;
    }
    scheduler.setMachineCommandsAllowed(
        writer.silenceMilliseconds() < Scheduler.MACHINE_COMMAND_VALIDITY_MILLISECONDS);
    scheduler.decide(clock.steady(), clock.wallClockMilliseconds());
    updateSessions();
    scheduler.takeImmediateCommands().forEach(this::carryOut);
    record();
    machineOrders.ifPresent(MachineOrders::askForMachines);
  }

  private void updateSessions() {
    Set<WorkerKey> wanted = new HashSet<>();
    for (WorkerReport report : scheduler.workersToRenew()) {
      wanted.add(report.key());
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
              boolean over = !wanted.contains(entry.getKey());
              if (over) {
                entry.getValue().stop();
              }
              return over;
            });
  }

  private void record() {
    if (writer.isBusy()) {
      return;
    }
    SchedulerBatch batch = scheduler.takeBatch();
    batch.immediateCommands().forEach(this::carryOut);
    long now = clock.steady();
    boolean renewalDue = now - lastAppendAt >= RENEWAL_MILLISECONDS;
    if (!batch.hasRecords() && !renewalDue) {
      batch.commandsAfterRecording().forEach(this::carryOut);
      return;
    }
    lastAppendAt = now;
    writer.append(recordsOf(batch), () -> recorded(batch));
  }

  private LeaderTerm.Builder renewedTerm() {
    boolean earlierLeases = term.getEarlierLeases() && clock.steady() < earlierLeasesEndAt;
    return term.toBuilder().setRenewal(++renewal).setEarlierLeases(earlierLeases);
  }

  private List<KeyedValue> recordsOf(SchedulerBatch batch) {
    List<KeyedValue> records = new ArrayList<>();
    for (Map.Entry<JobId, JobProgress> entry : batch.records().entrySet()) {
      records.add(
          new KeyedValue(ScheduleKeys.progress(entry.getKey()), entry.getValue().toByteArray()));
    }
    for (JobId job : batch.deletedJobs()) {
      records.add(KeyedValue.drop(ScheduleKeys.progress(job)));
    }
    for (Map.Entry<Long, WaveProgress> entry : batch.waves().entrySet()) {
      records.add(
          new KeyedValue(ScheduleKeys.wave(entry.getKey()), entry.getValue().toByteArray()));
    }
    if (batch.poolHistory().isPresent()) {
      records.add(
          new KeyedValue(ScheduleKeys.POOL_HISTORY, batch.poolHistory().get().toByteArray()));
    }
    if (records.isEmpty()) {
      records.add(new KeyedValue(ScheduleKeys.LEADER_TERM, renewedTerm().build().toByteArray()));
    }
    return records;
  }

  private void recorded(SchedulerBatch batch) {
    batch.records().forEach(jobs::advance);
    batch.deletedJobs().forEach(this::forget);
    batch.commandsAfterRecording().forEach(this::carryOut);
    if (releasing) {
      appendRelease();
    } else {
      record();
    }
  }

  /** Drops the intake's records of a job whose progress was dropped. */
  private void forget(JobId job) {
    jobs.drop(job);
    List<KeyedValue> drops =
        List.of(
            KeyedValue.drop(ScheduleKeys.job(job)),
            KeyedValue.drop(ScheduleKeys.cancellation(job)));
    store.append(
        StoreTopic.INTAKE,
        drops,
        Optional.empty(),
        OptionalLong.empty(),
        REPORT_TIMEOUT_MILLISECONDS);
  }

  private void carryOut(SchedulerCommand command) {
    switch (command) {
      case SchedulerCommand.StartTask start -> startTask(start);
      case SchedulerCommand.StopTask stop ->
          session(stop.worker()).ifPresent(s -> s.stopTask(stop));
      case SchedulerCommand.PaceTask pace ->
          session(pace.worker()).ifPresent(s -> s.paceTask(pace));
      case SchedulerCommand.AcknowledgeFinishedRuns ends ->
          session(ends.worker()).ifPresent(s -> s.acknowledge(ends.number()));
      case SchedulerCommand.MoveMachine move -> machineOrders.ifPresent(m -> m.move(move));
      case SchedulerCommand.MaintainMachine upkeep ->
          machineOrders.ifPresent(m -> m.maintain(upkeep));
      case SchedulerCommand.ReportWave report -> reportWave(report);
    }
  }

  private Optional<WorkerSession> session(WorkerKey worker) {
    return Optional.ofNullable(sessions.get(worker));
  }

  private void startTask(SchedulerCommand.StartTask start) {
    if (!scheduler.beginStart(start)) {
      return;
    }
    Optional<WorkerSession> session = session(start.worker());
    if (session.isEmpty()) {
      scheduler.onStartAnswered(
          start, StartOutcome.NOT_RUN, clock.steady(), clock.wallClockMilliseconds());
      return;
    }
    session.get().startTask(start);
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
            REPORT_TIMEOUT_MILLISECONDS)
        .thenAccept(
            result -> {
              boolean stored = result instanceof StoreAppend.Appended;
              if (!stored && !stopped) {
                loop.delay(REPORT_RETRY_MILLISECONDS, () -> reportWave(report));
              }
            });
  }
}
