package org.flamingochute.node.office;

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
import org.flamingochute.scheduling.leadership.TenureEpoch;
import org.flamingochute.scheduling.leadership.TenureWatch;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.PoolHistory;
import org.flamingochute.schema.scheduling.SchedulerTenure;
import org.flamingochute.schema.scheduling.WaveProgress;

/**
 * The office of the scheduler as this entry sees it: it follows the holder's records, takes over
 * when the holder is silent, and gives the office back when this entry stops.
 *
 * <p>A claim is one append of a tenure with a higher epoch, on the condition that the topic ends
 * where this entry's knowledge ends. When it succeeds, this entry knows every record of its
 * predecessors, and the store accepts no more of them. Used on one event loop.
 */
public final class Office implements TopicListener, FleetState.Listener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long CHECK_MILLISECONDS = 50;
  private static final long CLAIM_TIMEOUT_MILLISECONDS = 800;
  private static final String HOLDER_SEPARATOR = "/";
  private static final int CLAIM_TRIES = 4;

  /** Time in which the records that made a claim fail are read. */
  private static final long CLAIM_PAUSE_MILLISECONDS = 300;

  private final OfficeParts parts;
  private final FleetState state;
  private final TenureWatch watch;
  private final long incarnation;
  private final Map<Long, WaveProgress> waveProgress = new HashMap<>();
  private Optional<PoolHistory> poolHistory = Optional.empty();
  private Optional<StoreFollower> follower = Optional.empty();
  private Optional<SchedulerRunner> runner = Optional.empty();
  private Consumer<Boolean> whenHolding = holding -> {};
  private long nextClaimAt;
  private boolean claiming;
  private boolean leaving;
  private boolean ready;

  /**
   * Creates the office.
   *
   * @param incarnation number that tells this process from others of the same instance
   */
  public Office(OfficeParts parts, FleetState state, long incarnation) {
    this.parts = parts;
    this.state = state;
    this.incarnation = incarnation;
    this.watch = new TenureWatch(parts.claimDelayMilliseconds());
  }

  /**
   * Begins to watch.
   *
   * @param schedule reads the topic of the schedule
   * @param holding learns whether this entry holds the office
   */
  public void start(StoreFollower schedule, Consumer<Boolean> holding) {
    whenHolding = holding;
    follower = Optional.of(schedule);
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

  /** Gives the office back, and claims it no more. */
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
   * The office may belong to this process, by a claim without an answer, or to an earlier process
   * of this instance, which has ended. Then a claim need not wait.
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
    SchedulerTenure tenure =
        SchedulerTenure.newBuilder()
            .setEpoch(TenureEpoch.next(watch.newest().getEpoch(), holderName().hashCode()))
            .setInstance(holderName())
            .setRenewal(1)
            .build();
    logger.atInfo().log(
        "event=office_claim epoch=%d previous=%s end=%d",
        tenure.getEpoch(), watch.newest().getInstance(), follower.orElseThrow().next());
    claim(tenure, follower.orElseThrow().next(), CLAIM_TRIES);
  }

  private void claim(SchedulerTenure tenure, long end, int tries) {
    parts
        .store()
        .append(
            StoreTopic.SCHEDULE,
            List.of(new KeyedValue(ScheduleKeys.TENURE, tenure.toByteArray())),
            Optional.of(new ProducerPosition(ScheduleWriter.PRODUCER, tenure.getEpoch(), 0)),
            OptionalLong.of(end),
            CLAIM_TIMEOUT_MILLISECONDS)
        .thenAccept(result -> claimAnswered(result, tenure, end, tries));
  }

  private void claimAnswered(StoreAppend result, SchedulerTenure tenure, long end, int tries) {
    if (result instanceof StoreAppend.Appended) {
      claiming = false;
      takeOffice(tenure);
      return;
    }
    if (result instanceof StoreAppend.Unknown && tries > 1) {
      claim(tenure, end, tries - 1);
      return;
    }
    claiming = false;
    nextClaimAt = parts.clock().steady() + CLAIM_PAUSE_MILLISECONDS;
    logger.atInfo().log(
        "event=office_claim_failed epoch=%d result=\"%s\"", tenure.getEpoch(), result);
  }

  private void takeOffice(SchedulerTenure tenure) {
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
    watch.observe(tenure, now);
    SchedulerRunner started = new SchedulerRunner(parts, tenure, scheduler, this::officeOver);
    runner = Optional.of(started);
    logger.atInfo().log(
        "event=office_taken epoch=%d jobs=%d", tenure.getEpoch(), state.jobs().entries().size());
    whenHolding.accept(true);
    started.start();
  }

  private void officeOver() {
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
    if (record.key().equals(ScheduleKeys.TENURE)) {
      SchedulerTenure tenure = SchedulerTenure.parseFrom(record.value());
      watch.observe(tenure, now);
      loseIfSucceeded(tenure);
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

  private void loseIfSucceeded(SchedulerTenure tenure) {
    if (runner.isEmpty()) {
      return;
    }
    boolean other =
        tenure.getEpoch() == runner.get().epoch() && !tenure.getInstance().equals(holderName());
    if (other || tenure.getEpoch() > runner.get().epoch()) {
      runner.get().fenced("tenure of " + tenure.getInstance());
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
