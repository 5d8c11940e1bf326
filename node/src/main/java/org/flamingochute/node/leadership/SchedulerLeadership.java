package org.flamingochute.node.leadership;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.node.ClockReading;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.LoadShedding;
import org.flamingochute.node.LogText;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.node.store.TopicListener;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.scheduling.core.PredecessorState;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.WaveRequest;
import org.flamingochute.scheduling.job.CompactProgress;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.scheduling.leadership.LeaderCandidate;
import org.flamingochute.scheduling.leadership.LeaderEpoch;
import org.flamingochute.scheduling.leadership.LeaderMonitor;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.FleetLoad;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.JobStatus;
import org.flamingochute.schema.scheduling.LeaderTerm;
import org.flamingochute.schema.scheduling.MachineCommands;
import org.flamingochute.schema.scheduling.PoolHistory;
import org.flamingochute.schema.scheduling.WaveProgress;

/**
 * Manages this instance's part in leader election; only the leader schedules. It follows the
 * leader's records, claims the leadership when the leader stops renewing its term, and releases it
 * when this instance stops. Used on one event loop.
 */
public final class SchedulerLeadership implements TopicListener, FleetState.Listener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long CHECK_INTERVAL_MILLISECONDS = 50;

  /** Delay after a failed claim, within which the records that made it fail are read. */
  private static final long CLAIM_RETRY_DELAY_MILLISECONDS = 300;

  private final LeadershipDependencies dependencies;
  private final FleetState state;
  private final LeaderMonitor monitor;
  private final LeaderCandidate candidate;
  private final CancellationExpiry cancellationExpiry;
  private final Map<Long, WaveProgress> waveProgress = new HashMap<>();
  private Optional<PoolHistory> poolHistory = Optional.empty();
  private Optional<MachineCommands> machineCommands = Optional.empty();
  private Optional<LoadShedding> loadShedding = Optional.empty();
  private Optional<StoreFollower> scheduleFollower = Optional.empty();
  private Optional<StoreFollower> intakeFollower = Optional.empty();
  private Optional<LeadershipClaim> claim = Optional.empty();
  private Optional<SchedulerDriver> driver = Optional.empty();
  private Consumer<Boolean> leadershipCallback = holding -> {};

  /** Time since which a standby node has seen no record of the leader; until the first load. */
  private OptionalLong leaderSilentSince = OptionalLong.empty();

  private long nextClaimAt;
  private boolean resigned;
  private boolean ready;

  /**
   * Creates a candidate.
   *
   * @param incarnation number that distinguishes this process from others of the same instance
   */
  public SchedulerLeadership(
      LeadershipDependencies dependencies, FleetState state, long incarnation) {
    this.dependencies = dependencies;
    this.state = state;
    this.candidate = new LeaderCandidate(dependencies.instance(), incarnation);
    this.monitor = new LeaderMonitor(dependencies.claimDelayMilliseconds(), candidate);
    this.cancellationExpiry =
        new CancellationExpiry(
            dependencies.clock(),
            dependencies.store(),
            state.undefinedCancellations(),
            dependencies.settings().statusRetentionMilliseconds());
  }

  /** Sets the receiver of the load of the pools that the leader writes. */
  public void setLoadShedding(Optional<LoadShedding> receiver) {
    loadShedding = receiver;
  }

  /**
   * Returns the listener for the topic of job statuses, which also contains the load of the pools.
   *
   * @param follower returns the follower of that topic
   */
  public TopicListener jobStatusListener(Supplier<StoreFollower> follower) {
    return new TopicListener() {
      @Override
      public void onSnapshot(List<StoreRecord> records) {
        records.forEach(this::onRecord);
        loadShedding.ifPresent(LoadShedding::forgetLoad);
      }

      @Override
      public void onRecord(StoreRecord record) {
        try {
          applyJobStatus(record, follower.get());
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
          logUnreadable(record, e);
        }
      }
    };
  }

  private void applyJobStatus(StoreRecord record, StoreFollower follower)
      throws InvalidProtocolBufferException {
    if (record.key().equals(ScheduleKeys.FLEET_LOAD)) {
      applyFleetLoad(record, follower);
      return;
    }
    Optional<JobId> job = ScheduleKeys.statusJobOf(record.key());
    if (job.isEmpty()) {
      return;
    }
    if (record.isTombstone()) {
      state.jobs().deleteWithoutDefinition(job.get());
    } else {
      state.jobs().updateStatus(job.get(), JobStatus.parseFrom(record.value()));
    }
  }

  /**
   * Prepares the first load of the schedule topic by a standby node: the leader seems to have
   * appended nothing since the given time, so that a claim need not wait for as long again.
   */
  public void onActivated(long silentSince) {
    leaderSilentSince = OptionalLong.of(silentSince);
  }

  /** Records that the store responded to a standby node, which reads no records of the leader. */
  public void onStoreReached(long now) {
    monitor.onReadSucceeded(now);
  }

  /**
   * Starts to follow the leadership.
   *
   * @param schedule follower of the schedule topic
   * @param intake follower of the intake topic, which holds submitted jobs
   * @param callback receives whether this node leads, at each change
   */
  public void start(StoreFollower schedule, StoreFollower intake, Consumer<Boolean> callback) {
    leadershipCallback = callback;
    scheduleFollower = Optional.of(schedule);
    intakeFollower = Optional.of(intake);
    checkLeadership();
  }

  /** Marks all data that a scheduler needs, except the schedule topic, as read; allows claims. */
  public void setReady() {
    ready = true;
  }

  /** Returns whether this node is the leader. */
  public boolean isLeader() {
    return driver.isPresent();
  }

  /** Releases the leadership, and makes no further claims. */
  public void resign() {
    resigned = true;
    claim.ifPresent(LeadershipClaim::abandon);
    driver.ifPresent(SchedulerDriver::release);
  }

  private void checkLeadership() {
    dependencies.loop().delay(CHECK_INTERVAL_MILLISECONDS, this::checkLeadership);
    if (isLeader()) {
      cancellationExpiry.deleteExpired(intakeFollower.orElseThrow());
    }
    boolean isEligible = ready && !resigned && claim.isEmpty() && driver.isEmpty();
    if (isEligible
        && scheduleFollower.orElseThrow().isLoaded()
        && (canClaim() || isHeldByThisInstance())) {
      claimLeadership();
    }
  }

  private boolean canClaim() {
    long now = dependencies.clock().steadyMilliseconds();
    return now >= nextClaimAt && monitor.canClaim(now);
  }

  /**
   * Returns whether the newest term is held by this process, through a claim that was not answered,
   * or by an earlier process of this instance, which has ended. Then a claim need not wait.
   */
  private boolean isHeldByThisInstance() {
    return candidate.isOfInstance(monitor.newestTerm())
        && dependencies.clock().steadyMilliseconds() >= nextClaimAt;
  }

  private void claimLeadership() {
    final long predecessorEpoch = monitor.newestTerm().getEpoch();
    LeaderTerm term =
        LeaderTerm.newBuilder()
            .setEpoch(
                LeaderEpoch.next(
                    monitor.newestTerm().getEpoch(), candidate.holderName().hashCode()))
            .setInstance(candidate.holderName())
            .setRenewal(1)
            .setEarlierLeases(monitor.predecessor() == PredecessorState.UNKNOWN)
            .build();
    LeadershipClaim newClaim =
        new LeadershipClaim(
            dependencies,
            monitor,
            intakeFollower.orElseThrow(),
            term,
            claimListener(predecessorEpoch));
    claim = Optional.of(newClaim);
    newClaim.start(scheduleFollower.orElseThrow().nextOffset());
  }

  private LeadershipClaim.Listener claimListener(long predecessorEpoch) {
    return new LeadershipClaim.Listener() {
      @Override
      public void onWon(LeaderTerm term, ClockReading claimedAt) {
        claim = Optional.empty();
        becomeLeader(term, claimedAt, predecessorEpoch);
      }

      @Override
      public void onLost() {
        claim = Optional.empty();
        nextClaimAt = dependencies.clock().steadyMilliseconds() + CLAIM_RETRY_DELAY_MILLISECONDS;
      }
    };
  }

  private void becomeLeader(LeaderTerm term, ClockReading claimedAt, long predecessorEpoch) {
    Optional<FleetDeclaration> declaration = state.declaration();
    if (declaration.isEmpty()) {
      return;
    }
    long now = dependencies.clock().steadyMilliseconds();
    final long wallClockMilliseconds = dependencies.clock().wallClockMilliseconds();
    PredecessorState predecessor = monitor.predecessor();
    Scheduler scheduler =
        new Scheduler(
            dependencies.settings(),
            declaration.get(),
            predecessor,
            monitor.predecessorLastRecordAt(),
            now);
    scheduler.onEvacuationsChanged(state.evacuatedDataCentres());
    poolHistory.ifPresent(scheduler::restorePoolHistory);
    // The record of an earlier term lacks the commands of the terms after it.
    machineCommands
        .filter(commands -> commands.getEpoch() == predecessorEpoch)
        .ifPresent(commands -> scheduler.restoreMachineCommands(machinesOf(commands)));
    state.workers().forEach(report -> scheduler.onWorkerListed(report, now));
    state.unlistedWorkers().forEach(scheduler::restoreUnlistedWorker);
    for (StoredJob job : state.jobs().jobsByAcceptance()) {
      scheduler.onJobStored(job, now, wallClockMilliseconds);
    }
    state.waves().forEach(request -> scheduler.onWaveRequested(request, progressOf(request)));
    monitor.observe(term, now);
    SchedulerDriver newDriver =
        new SchedulerDriver(
            dependencies,
            term,
            claimedAt,
            scheduler,
            intakeFollower.orElseThrow()::ageMilliseconds,
            this::onTermEnded);
    driver = Optional.of(newDriver);
    logger.atInfo().log(
        "event=leadership_taken epoch=%d jobs=%d predecessor=%s",
        term.getEpoch(), state.jobs().jobs().size(), predecessor);
    leadershipCallback.accept(true);
    newDriver.start();
  }

  private static List<MachineId> machinesOf(MachineCommands commands) {
    return commands.getMachinesList().stream().map(MachineId::new).toList();
  }

  private void onTermEnded() {
    driver = Optional.empty();
    leadershipCallback.accept(false);
    // Progress that was read while this node led has not been applied.
    scheduleFollower.orElseThrow().reload();
  }

  private WaveProgress progressOf(WaveRequest request) {
    return waveProgress.getOrDefault(request.number(), WaveProgress.getDefaultInstance());
  }

  @Override
  public void onSnapshot(List<StoreRecord> records) {
    records.forEach(this::onRecord);
    leaderSilentSince.ifPresent(monitor::onLeaderSilentSince);
    leaderSilentSince = OptionalLong.empty();
    // It is not known when the records were written.
    loadShedding.ifPresent(LoadShedding::forgetLoad);
  }

  @Override
  public void onRecord(StoreRecord record) {
    long now = dependencies.clock().steadyMilliseconds();
    try {
      apply(record, now);
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      logUnreadable(record, e);
    }
  }

  private static void logUnreadable(StoreRecord record, Exception error) {
    logger.atWarning().log(
        "event=record_unreadable key=%s offset=%d detail=\"%s\"",
        LogText.of(record.key()), record.offset(), LogText.of(error.getMessage()));
  }

  private void apply(StoreRecord record, long now) throws InvalidProtocolBufferException {
    if (record.key().equals(ScheduleKeys.LEADER_TERM)) {
      LeaderTerm term = LeaderTerm.parseFrom(record.value());
      if (term.getReleased() || term.getEpoch() != monitor.newestTerm().getEpoch()) {
        loadShedding.ifPresent(LoadShedding::forgetLoad);
      }
      monitor.observe(term, now);
      endTermIfReplaced(term);
      return;
    }
    monitor.onLeaderRecord(now);
    Optional<Long> wave = ScheduleKeys.waveOf(record.key());
    if (wave.isPresent()) {
      waveProgress.put(wave.get(), WaveProgress.parseFrom(record.value()));
      return;
    }
    if (record.key().equals(ScheduleKeys.POOL_HISTORY)) {
      poolHistory = Optional.of(PoolHistory.parseFrom(record.value()));
      return;
    }
    if (record.key().equals(ScheduleKeys.MACHINE_COMMANDS)) {
      applyMachineCommands(record);
      return;
    }
    if (record.key().equals(ScheduleKeys.FLEET_LOAD)) {
      applyFleetLoad(record, scheduleFollower.orElseThrow());
      return;
    }
    Optional<JobId> job = ScheduleKeys.progressedJobOf(record.key());
    // The leader has already applied its own records, and possibly newer ones.
    if (job.isEmpty() || driver.isPresent()) {
      return;
    }
    if (record.isTombstone()) {
      state.jobs().delete(job.get());
    } else {
      applyProgress(job.get(), record);
    }
  }

  /** Applies the progress of a job; one that cannot be read does not count as no progress. */
  private void applyProgress(JobId job, StoreRecord record) throws InvalidProtocolBufferException {
    try {
      JobProgress progress = JobProgress.parseFrom(record.value());
      CompactProgress.validate(progress);
      state.jobs().updateProgress(job, progress);
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      state.jobs().setProgressUnreadable(job);
      throw e;
    }
  }

  /**
   * Applies the machines that a leader may have commanded. A record that cannot be read replaces
   * the former one too, so that a successor waits with all machines.
   */
  private void applyMachineCommands(StoreRecord record) throws InvalidProtocolBufferException {
    machineCommands = Optional.empty();
    if (!record.isTombstone()) {
      MachineCommands commands = MachineCommands.parseFrom(record.value());
      // Refuses names that would make a later takeover fail.
      machinesOf(commands);
      machineCommands = Optional.of(commands);
    }
  }

  /**
   * Applies the load of the pools. It was written after the newest read that did not contain it was
   * sent, which also holds if this process was paused or has read a backlog.
   */
  private void applyFleetLoad(StoreRecord record, StoreFollower follower)
      throws InvalidProtocolBufferException {
    if (loadShedding.isEmpty()) {
      return;
    }
    // A load that cannot be parsed replaces the former one too.
    loadShedding.get().forgetLoad();
    Optional<ClockReading> writtenAfter = follower.confirmedAt();
    if (writtenAfter.isPresent() && !record.isTombstone()) {
      long age = writtenAfter.get().elapsedMillisecondsUntil(dependencies.clock().read());
      loadShedding.get().onLoadRead(FleetLoad.parseFrom(record.value()), age);
    }
  }

  private void endTermIfReplaced(LeaderTerm term) {
    if (driver.isEmpty()) {
      return;
    }
    boolean heldByOther = term.getEpoch() == driver.get().epoch() && !candidate.isLeaderOf(term);
    if (heldByOther || term.getEpoch() > driver.get().epoch()) {
      driver.get().onFenced("term of " + term.getInstance());
    }
  }

  @Override
  public void onCaughtUp() {
    monitor.onReadSucceeded(dependencies.clock().steadyMilliseconds());
  }

  /** Applies a change to the scheduler if this instance leads. */
  private void updateScheduler(Consumer<Scheduler> change) {
    driver.ifPresent(
        activeDriver -> {
          change.accept(activeDriver.scheduler());
          activeDriver.onChanged();
        });
  }

  @Override
  public void onDeclarationChanged(FleetDeclaration declaration) {
    updateScheduler(scheduler -> scheduler.onDeclarationChanged(declaration));
  }

  @Override
  public void onEvacuationsChanged(Set<DataCentreId> dataCentres) {
    updateScheduler(scheduler -> scheduler.onEvacuationsChanged(dataCentres));
  }

  @Override
  public void onWaveRequested(WaveRequest request) {
    updateScheduler(scheduler -> scheduler.onWaveRequested(request, progressOf(request)));
  }

  @Override
  public void onWorkerListed(WorkerReport report) {
    long now = dependencies.clock().steadyMilliseconds();
    updateScheduler(scheduler -> scheduler.onWorkerListed(report, now));
  }

  /** Leaves the change to the next decision, as cold workers report it again and again. */
  @Override
  public void onColdTimeChanged(WorkerReport report) {
    long now = dependencies.clock().steadyMilliseconds();
    driver.ifPresent(activeDriver -> activeDriver.scheduler().onWorkerListed(report, now));
  }

  @Override
  public void onWorkerUnlisted(InstanceId worker) {
    updateScheduler(scheduler -> scheduler.onWorkerUnlisted(worker));
  }

  @Override
  public void onJobStored(StoredJob job) {
    NodeClock clock = dependencies.clock();
    updateScheduler(
        scheduler ->
            scheduler.onJobStored(job, clock.steadyMilliseconds(), clock.wallClockMilliseconds()));
  }

  @Override
  public void onJobCancelled(JobId job) {
    NodeClock clock = dependencies.clock();
    updateScheduler(
        scheduler ->
            scheduler.onJobCancelled(
                job, clock.steadyMilliseconds(), clock.wallClockMilliseconds()));
  }
}
