package org.flamingochute.node.leadership;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.store.ScheduleKeys;
import org.flamingochute.node.store.ScheduleWriter;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.node.store.TopicListener;
import org.flamingochute.platform.wire.KeyedValue;
import org.flamingochute.platform.wire.ProducerPosition;
import org.flamingochute.platform.wire.StoreAppend;
import org.flamingochute.platform.wire.StoreRecord;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.scheduling.core.Predecessor;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.WaveOrder;
import org.flamingochute.scheduling.job.JobEntry;
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
 * stops.
 *
 * <p>A claim is one append of a term with a higher epoch, on the condition that the topic ends
 * where this instance's knowledge ends. When it succeeds, this instance knows every record of its
 * predecessors, and the store accepts no more of them. Used on one event loop.
 */
public final class SchedulerLeadership implements TopicListener, FleetState.Listener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long CHECK_MILLISECONDS = 50;
  private static final long CLAIM_TIMEOUT_MILLISECONDS = 800;
  private static final String HOLDER_SEPARATOR = "/";

  /** Pause after a read of new jobs that failed. */
  private static final long LEARN_RETRY_MILLISECONDS = 30;

  private static final int CLAIM_TRIES = 4;

  /** Time in which the records that made a claim fail are read. */
  private static final long CLAIM_PAUSE_MILLISECONDS = 300;

  private final LeadershipParts parts;
  private final FleetState state;
  private final LeaderWatch watch;
  private final long incarnation;
  private final Map<Long, WaveProgress> waveProgress = new HashMap<>();
  private Optional<PoolHistory> poolHistory = Optional.empty();
  private Optional<StoreFollower> follower = Optional.empty();
  private Optional<StoreFollower> intake = Optional.empty();
  private Optional<SchedulerRunner> runner = Optional.empty();
  private Consumer<Boolean> whenHolding = holding -> {};
  private long nextClaimAt;
  private boolean claiming;
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
    this.incarnation = incarnation;
    this.watch = new LeaderWatch(parts.claimDelayMilliseconds());
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
    runner.ifPresent(SchedulerRunner::release);
  }

  private void check() {
    parts.loop().delay(CHECK_MILLISECONDS, this::check);
    boolean may = ready && !leaving && !claiming && runner.isEmpty();
    if (may && follower.orElseThrow().isLoaded() && (mayClaim() || isMine())) {
      claim();
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
    boolean mine = watch.newest().getInstance().startsWith(parts.instance() + HOLDER_SEPARATOR);
    return mine && parts.clock().steady() >= nextClaimAt;
  }

  private Predecessor predecessor() {
    boolean over = watch.newest().getEpoch() == 0 || watch.newest().getReleased() || isMine();
    return over ? Predecessor.OVER : Predecessor.UNKNOWN;
  }

  private String holderName() {
    return parts.instance() + HOLDER_SEPARATOR + incarnation;
  }

  private void claim() {
    claiming = true;
    LeaderTerm term =
        LeaderTerm.newBuilder()
            .setEpoch(LeaderEpoch.next(watch.newest().getEpoch(), holderName().hashCode()))
            .setInstance(holderName())
            .setRenewal(1)
            .build();
    logger.atInfo().log(
        "event=leadership_claim epoch=%d previous=%s end=%d",
        term.getEpoch(), watch.newest().getInstance(), follower.orElseThrow().next());
    claim(term, follower.orElseThrow().next(), CLAIM_TRIES);
  }

  private void claim(LeaderTerm term, long end, int tries) {
    parts
        .store()
        .append(
            StoreTopic.SCHEDULE,
            List.of(new KeyedValue(ScheduleKeys.LEADER_TERM, term.toByteArray())),
            Optional.of(new ProducerPosition(ScheduleWriter.PRODUCER, term.getEpoch(), 0)),
            OptionalLong.of(end),
            CLAIM_TIMEOUT_MILLISECONDS)
        .thenAccept(result -> claimAnswered(result, term, end, tries));
  }

  private void claimAnswered(StoreAppend result, LeaderTerm term, long end, int tries) {
    if (result instanceof StoreAppend.Appended) {
      learnJobs(term);
      return;
    }
    if (result instanceof StoreAppend.Unknown && tries > 1) {
      claim(term, end, tries - 1);
      return;
    }
    claiming = false;
    nextClaimAt = parts.clock().steady() + CLAIM_PAUSE_MILLISECONDS;
    logger.atInfo().log(
        "event=leadership_claim_failed epoch=%d result=\"%s\"", term.getEpoch(), result);
  }

  /**
   * Reads all jobs that the predecessor can have started. The schedule was read to its end before
   * the claim, but of its jobs some may not have been read yet: their runs would look like strays,
   * and ends of them would be acknowledged without a record.
   */
  private void learnJobs(LeaderTerm term) {
    intake
        .orElseThrow()
        .refresh()
        .thenAccept(
            complete -> {
              boolean succeeded = watch.newest().getEpoch() > term.getEpoch();
              if (complete || succeeded || leaving) {
                claiming = false;
              }
              if (succeeded) {
                logger.atInfo().log(
                    "event=leadership_lost epoch=%d by=\"term of %s\"",
                    term.getEpoch(), watch.newest().getInstance());
              } else if (complete) {
                becomeLeader(term);
              } else if (!leaving) {
                parts.loop().delay(LEARN_RETRY_MILLISECONDS, () -> learnJobs(term));
              }
            });
  }

  private void becomeLeader(LeaderTerm term) {
    if (leaving) {
      return;
    }
    Optional<FleetDeclaration> declaration = state.declaration();
    if (declaration.isEmpty()) {
      return;
    }
    long now = parts.clock().steady();
    final long timeOfDay = parts.clock().timeOfDay();
    Scheduler scheduler =
        new Scheduler(parts.settings(), declaration.get(), predecessor(), watch.renewedAt(), now);
    poolHistory.ifPresent(scheduler::poolHistoryStored);
    state.workers().forEach(scheduler::workerListed);
    state.unlistedWorkers().forEach(scheduler::workerRemembered);
    for (JobEntry entry : state.jobs().entriesByAcceptance()) {
      scheduler.jobStored(entry, now, timeOfDay);
    }
    state.waves().forEach(order -> scheduler.waveOrdered(order, progressOf(order)));
    watch.observe(term, now);
    SchedulerRunner started = new SchedulerRunner(parts, term, scheduler, this::leadershipOver);
    runner = Optional.of(started);
    logger.atInfo().log(
        "event=leadership_taken epoch=%d jobs=%d", term.getEpoch(), state.jobs().entries().size());
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
    boolean other =
        term.getEpoch() == runner.get().epoch() && !term.getInstance().equals(holderName());
    if (other || term.getEpoch() > runner.get().epoch()) {
      runner.get().fenced("term of " + term.getInstance());
    }
  }

  @Override
  public void caughtUp() {
    watch.readSucceeded(parts.clock().steady());
  }

  @Override
  public void declared(FleetDeclaration declaration) {
    runner.ifPresent(
        r -> {
          r.scheduler().declare(declaration);
          r.changed();
        });
  }

  @Override
  public void waveOrdered(WaveOrder order) {
    runner.ifPresent(
        r -> {
          r.scheduler().waveOrdered(order, progressOf(order));
          r.changed();
        });
  }

  @Override
  public void workerListed(WorkerReport report) {
    runner.ifPresent(
        r -> {
          r.scheduler().workerListed(report);
          r.changed();
        });
  }

  @Override
  public void workerUnlisted(InstanceId worker) {
    runner.ifPresent(
        r -> {
          r.scheduler().workerUnlisted(worker);
          r.changed();
        });
  }

  @Override
  public void jobStored(JobEntry entry) {
    runner.ifPresent(
        r -> {
          r.scheduler().jobStored(entry, parts.clock().steady(), parts.clock().timeOfDay());
          r.changed();
        });
  }

  @Override
  public void jobCancelled(JobId job) {
    runner.ifPresent(
        r -> {
          r.scheduler().jobCancelled(job, parts.clock().steady(), parts.clock().timeOfDay());
          r.changed();
        });
  }
}
