package org.flamingochute.node.leadership;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.node.store.TopicListener;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.scheduling.core.PredecessorState;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.WaveOrder;
import org.flamingochute.scheduling.job.JobEntry;
import org.flamingochute.scheduling.leadership.LeaderCandidate;
import org.flamingochute.scheduling.leadership.LeaderEpoch;
import org.flamingochute.scheduling.leadership.LeaderWatch;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.LeaderTerm;
import org.flamingochute.schema.scheduling.PoolHistory;
import org.flamingochute.schema.scheduling.WaveProgress;

/**
 * Decides whether this instance is the leader, which alone schedules: it follows the leader's
 * records, takes over when the leader is silent, and gives the leadership up when this instance
 * stops.. Used on one event loop.
 */
public final class SchedulerLeadership implements TopicListener, FleetState.Listener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long CHECK_MILLISECONDS = 50;

  /** Time in which the records that made a claim fail are read. */
  private static final long CLAIM_PAUSE_MILLISECONDS = 300;

  private final LeadershipParts parts;
  private final FleetState state;
  private final LeaderWatch watch;
  private final LeaderCandidate candidate;
  private final Map<Long, WaveProgress> waveProgress = new HashMap<>();
  private Optional<PoolHistory> poolHistory = Optional.empty();
  private Optional<StoreFollower> follower = Optional.empty();
  private Optional<StoreFollower> intake = Optional.empty();
  private Optional<LeadershipClaim> claim = Optional.empty();
  private Optional<SchedulerRunner> runner = Optional.empty();
  private Consumer<Boolean> whenHolding = holding -> {};
  private long nextClaimAt;
  private boolean leaving;
  private boolean ready;

  /**
   * Creates a follower of the leadership.
   *
   * @param incarnation number that tells this process from others of the same instance
   */
  public SchedulerLeadership(LeadershipParts parts, FleetState state, long incarnation) {
    this.parts = parts;
    this.state = state;
    this.candidate = new LeaderCandidate(parts.instance(), incarnation);
    this.watch = new LeaderWatch(parts.claimDelayMilliseconds(), candidate);
  }

  /**
   * Begins to watch.
   *
   * @param schedule reads the topic of the schedule
   * @param newJobs reads the topic of jobs that were handed in
   * @param holding learns whether this entry leads
   */
  public void start(StoreFollower schedule, StoreFollower newJobs, Consumer<Boolean> holding) {
    whenHolding = holding;
    follower = Optional.of(schedule);
    intake = Optional.of(newJobs);
    check();
  }

  /** Tells that everything else that a scheduler needs was read. */
  public void setReady() {
    ready = true;
  }

  /** Tells whether this entry schedules. */
  public boolean isHeld() {
    return runner.isPresent();
  }

  /** Gives the leadership up, and claims it no more. */
  public void leave() {
    leaving = true;
    claim.ifPresent(LeadershipClaim::abandon);
    runner.ifPresent(SchedulerRunner::release);
  }

  private void check() {
    parts.loop().delay(CHECK_MILLISECONDS, this::check);
    boolean may = ready && !leaving && claim.isEmpty() && runner.isEmpty();
    if (may && follower.orElseThrow().isLoaded() && (mayClaim() || isMine())) {
      makeClaim();
    }
  }

  private boolean mayClaim() {
    long now = parts.clock().steady();
    return now >= nextClaimAt && watch.mayClaim(now);
  }

  /**
   * The leadership may belong to this process, by a claim without an answer, or to an earlier
   * process of this instance, which has ended. Then a claim need not wait.
   */
  private boolean isMine() {
    return candidate.isOfInstance(watch.newest()) && parts.clock().steady() >= nextClaimAt;
  }

  private void makeClaim() {
    LeaderTerm term =
        LeaderTerm.newBuilder()
            .setEpoch(
                LeaderEpoch.next(watch.newest().getEpoch(), candidate.holderName().hashCode()))
            .setInstance(candidate.holderName())
            .setRenewal(1)
            .setEarlierLeases(watch.predecessor() == PredecessorState.UNKNOWN)
            .build();
    LeadershipClaim made =
        new LeadershipClaim(parts, watch, intake.orElseThrow(), term, claimListener());
    claim = Optional.of(made);
    made.make(follower.orElseThrow().next());
  }

  private LeadershipClaim.Listener claimListener() {
    return new LeadershipClaim.Listener() {
      @Override
      public void won(LeaderTerm term) {
        claim = Optional.empty();
        becomeLeader(term);
      }

      @Override
      public void lost() {
        claim = Optional.empty();
        nextClaimAt = parts.clock().steady() + CLAIM_PAUSE_MILLISECONDS;
      }
    };
  }

  private void becomeLeader(LeaderTerm term) {
    Optional<FleetDeclaration> declaration = state.declaration();
    if (declaration.isEmpty()) {
      return;
    }
    long now = parts.clock().steady();
    final long wallClockMilliseconds = parts.clock().wallClockMilliseconds();
    PredecessorState predecessor = watch.predecessor();
    Scheduler scheduler =
        new Scheduler(
            parts.settings(), declaration.get(), predecessor, watch.predecessorHeardAt(), now);
    poolHistory.ifPresent(scheduler::restorePoolHistory);
    state.workers().forEach(scheduler::onWorkerListed);
    state.unlistedWorkers().forEach(scheduler::restoreUnlistedWorker);
    for (JobEntry entry : state.jobs().entriesByAcceptance()) {
      scheduler.onJobStored(entry, now, wallClockMilliseconds);
    }
    state.waves().forEach(order -> scheduler.onWaveOrdered(order, progressOf(order)));
    watch.observe(term, now);
    SchedulerRunner started = new SchedulerRunner(parts, term, scheduler, this::leadershipOver);
    runner = Optional.of(started);
    logger.atInfo().log(
        "event=leadership_taken epoch=%d jobs=%d predecessor=%s",
        term.getEpoch(), state.jobs().entries().size(), predecessor);
    whenHolding.accept(true);
    started.start();
  }

  private void leadershipOver() {
    runner = Optional.empty();
    whenHolding.accept(false);
    follower.orElseThrow().reload();
  }

  private WaveProgress progressOf(WaveOrder order) {
    return waveProgress.getOrDefault(order.number(), WaveProgress.getDefaultInstance());
  }

  @Override
  public void snapshot(List<StoreRecord> records) {
    records.forEach(this::record);
  }

  @Override
  public void record(StoreRecord record) {
    long now = parts.clock().steady();
    try {
      apply(record, now);
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      logger.atWarning().log(
          "event=record_unreadable key=%s offset=%d detail=\"%s\"",
          record.key(), record.offset(), e.getMessage());
    }
  }

  private void apply(StoreRecord record, long now) throws InvalidProtocolBufferException {
    if (record.key().equals(ScheduleKeys.LEADER_TERM)) {
      LeaderTerm term = LeaderTerm.parseFrom(record.value());
      watch.observe(term, now);
      loseIfSucceeded(term);
      return;
    }
    watch.holderWrote(now);
    Optional<Long> wave = ScheduleKeys.waveOf(record.key());
    if (wave.isPresent()) {
      waveProgress.put(wave.get(), WaveProgress.parseFrom(record.value()));
      return;
    }
    if (record.key().equals(ScheduleKeys.POOL_HISTORY)) {
      poolHistory = Optional.of(PoolHistory.parseFrom(record.value()));
      return;
    }
    Optional<JobId> job = ScheduleKeys.progressedJobOf(record.key());
    // The holder has applied its own records already, and newer ones perhaps.
    if (job.isEmpty() || runner.isPresent()) {
      return;
    }
    if (record.isDrop()) {
      state.jobs().drop(job.get());
    } else {
      state.jobs().advance(job.get(), JobProgress.parseFrom(record.value()));
    }
  }

  private void loseIfSucceeded(LeaderTerm term) {
    if (runner.isEmpty()) {
      return;
    }
    boolean other = term.getEpoch() == runner.get().epoch() && !candidate.holds(term);
    if (other || term.getEpoch() > runner.get().epoch()) {
      runner.get().fenced("term of " + term.getInstance());
    }
  }

  @Override
  public void caughtUp() {
    watch.readSucceeded(parts.clock().steady());
  }

  /** Tells the scheduler of a change, while this instance leads. */
  private void tell(Consumer<Scheduler> change) {
    runner.ifPresent(
        held -> {
          change.accept(held.scheduler());
          held.changed();
        });
  }

  @Override
  public void declared(FleetDeclaration declaration) {
    tell(scheduler -> scheduler.onDeclarationChanged(declaration));
  }

  @Override
  public void waveOrdered(WaveOrder order) {
    tell(scheduler -> scheduler.onWaveOrdered(order, progressOf(order)));
  }

  @Override
  public void workerListed(WorkerReport report) {
    tell(scheduler -> scheduler.onWorkerListed(report));
  }

  @Override
  public void workerUnlisted(InstanceId worker) {
    tell(scheduler -> scheduler.onWorkerUnlisted(worker));
  }

  @Override
  public void jobStored(JobEntry entry) {
    NodeClock clock = parts.clock();
    tell(scheduler -> scheduler.onJobStored(entry, clock.steady(), clock.wallClockMilliseconds()));
  }

  @Override
  public void jobCancelled(JobId job) {
    NodeClock clock = parts.clock();
    tell(scheduler -> scheduler.onJobCancelled(job, clock.steady(), clock.wallClockMilliseconds()));
  }
}
