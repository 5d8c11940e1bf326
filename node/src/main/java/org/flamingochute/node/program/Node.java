package org.flamingochute.node.program;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.Moment;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.NodeMetrics;
import org.flamingochute.node.front.Front;
import org.flamingochute.node.front.FrontAddresses;
import org.flamingochute.node.front.FrontParts;
import org.flamingochute.node.front.JobKnowledge;
import org.flamingochute.node.front.JobLimits;
import org.flamingochute.node.leadership.LeadershipParts;
import org.flamingochute.node.leadership.SchedulerLeadership;
import org.flamingochute.node.store.IntakeWriter;
import org.flamingochute.node.store.StoreFollower;
import org.flamingochute.platform.http.EventLoopGroup;
import org.flamingochute.platform.http.ExchangeClient;
import org.flamingochute.platform.http.ExchangeLimits;
import org.flamingochute.platform.http.ExchangeListener;
import org.flamingochute.platform.http.NumericAddress;
import org.flamingochute.platform.wire.MachineClient;
import org.flamingochute.platform.wire.StoreClient;
import org.flamingochute.platform.wire.StoreTopic;
import org.flamingochute.platform.wire.WorkerClient;
import org.flamingochute.scheduling.core.SchedulerSettings;
import org.flamingochute.scheduling.leadership.ClaimDelay;
import org.flamingochute.schema.BoundSection;
import org.flamingochute.schema.InstancePlaceSection;
import org.flamingochute.schema.NodeSettings;

/** One running node: all its parts on one event loop. */
final class Node {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Store answers come within this time after a record is there. */
  private static final long DECLARATION_WAIT_MILLISECONDS = 900;

  private static final long WORKER_WAIT_MILLISECONDS = 900;
  private static final long INTAKE_WAIT_MILLISECONDS = 900;

  /** Shorter than the others, since the silence of the scheduler is measured between answers. */
  private static final long SCHEDULE_WAIT_MILLISECONDS = 350;

  /** Groups the progress of jobs at nodes that do not schedule; callers see it this much later. */
  private static final long PROGRESS_PAUSE_MILLISECONDS = 100;

  /**
   * Groups new jobs at nodes that do not schedule. A call for a job that is not known yet asks the
   * store, so only a successor of the scheduler learns of new jobs later.
   */
  private static final long INTAKE_PAUSE_MILLISECONDS = 400;

  /** Groups the reports of workers, which only a new scheduler needs. */
  private static final long WORKER_PAUSE_MILLISECONDS = 1_000;

  /** Groups the reports of workers at the scheduler. */
  private static final long SCHEDULER_WORKER_PAUSE_MILLISECONDS = 50;

  /** Knowledge of jobs up to this age decides that a job does not exist. */
  private static final long JOB_KNOWLEDGE_MILLISECONDS = 2_500;

  /** Part of the time for withdrawing keys that is left for a call's way to the store. */
  private static final long KEY_MARGIN_MILLISECONDS = 1_200;

  private static final double MILLISECONDS_PER_SECOND = 1_000;
  private static final long LEASE_MILLISECONDS = 3_500;
  private static final int STORE_CONNECTIONS = 24;
  private static final int WORKER_CONNECTIONS = 5;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
  private static final int ANSWER_BYTES = 16 << 20;

  private static final long START_CHECK_MILLISECONDS = 10;
  private static final long PAUSE_CHECK_MILLISECONDS = 200;
  private static final long PAUSE_REPORT_MILLISECONDS = 700;

  /** Time for which a stopping node still serves open connections. */
  private static final long LINGER_PART = 2;

  /** Time before the end of the grace at which the process ends whatever is under way. */
  private static final long END_MARGIN_MILLISECONDS = 900;

  private final NodeSettings settings;
  private final NodeClock clock = new NodeClock();
  private final NodeMetrics metrics = new NodeMetrics();
  private final EventLoopGroup group;
  private final Eventloop loop;
  private final ExchangeClient storeExchanges;
  private final ExchangeClient workerExchanges;
  private final FleetState state = new FleetState();
  private final StoreFollower declarations;
  private final StoreFollower workers;
  private final StoreFollower intake;
  private final StoreFollower schedule;
  private final SchedulerLeadership leadership;
  private final Front front;
  private boolean stopping;

  private Node(NodeSettings settings) {
    this.settings = settings;
    group = EventLoopGroup.start("node", 1);
    loop = group.loops().getFirst();
    storeExchanges = exchanges(STORE_CONNECTIONS);
    workerExchanges = exchanges(WORKER_CONNECTIONS);
    StoreClient store =
        new StoreClient(storeExchanges, addressOf(settings.getStore().getAddress()));
    LeadershipParts parts =
        new LeadershipParts(
            loop,
            clock,
            store,
            new WorkerClient(workerExchanges),
            machineClient(),
            state.jobs(),
            schedulerSettings(),
            settings.getInstance().getName(),
            claimDelay());
    leadership = new SchedulerLeadership(parts, state, clock.wallClockMilliseconds());
    state.setListener(Optional.of(leadership));
    declarations =
        new StoreFollower(
            loop,
            clock,
            store,
            StoreTopic.DECLARATIONS,
            DECLARATION_WAIT_MILLISECONDS,
            0,
            state.declarationListener());
    workers =
        new StoreFollower(
            loop,
            clock,
            store,
            StoreTopic.WORKERS,
            WORKER_WAIT_MILLISECONDS,
            WORKER_PAUSE_MILLISECONDS,
            state.workerListener());
    intake =
        new StoreFollower(
            loop,
            clock,
            store,
            StoreTopic.INTAKE,
            INTAKE_WAIT_MILLISECONDS,
            INTAKE_PAUSE_MILLISECONDS,
            state.intakeListener());
    schedule =
        new StoreFollower(
            loop,
            clock,
            store,
            StoreTopic.SCHEDULE,
            SCHEDULE_WAIT_MILLISECONDS,
            PROGRESS_PAUSE_MILLISECONDS,
            leadership);
    front =
        new Front(
            new FrontParts(
                loop,
                clock,
                state,
                new IntakeWriter(loop, clock, store),
                new JobKnowledge(intake, schedule, JOB_KNOWLEDGE_MILLISECONDS),
                metrics,
                new JobLimits(settings.getStore().getRecordBytes())),
            declarations,
            settings.getBounds().getKeyRevocationMilliseconds() - KEY_MARGIN_MILLISECONDS,
            frontAddresses(),
            this::isReady);
  }

  private ExchangeClient exchanges(int connections) {
    ExchangeLimits limits =
        ExchangeLimits.builder()
            .maximumConnections(connections)
            .maximumAnswerBytes(ANSWER_BYTES)
            .connectTimeout(CONNECT_TIMEOUT)
            .idleTimeout(IDLE_TIMEOUT)
            .build();
    return new ExchangeClient(group, limits, ExchangeListener.NONE);
  }

  private Optional<MachineClient> machineClient() {
    String address = settings.getFleetServices().getMachinesAddress();
    return address.isEmpty()
        ? Optional.empty()
        : Optional.of(new MachineClient(storeExchanges, addressOf(address)));
  }

  private SchedulerSettings schedulerSettings() {
    BoundSection bounds = settings.getBounds();
    return SchedulerSettings.builder()
        .leaseMilliseconds(Math.min(LEASE_MILLISECONDS, bounds.getMaximumLeaseMilliseconds()))
        .statusRetentionMilliseconds(milliseconds(bounds.getStatusRetentionSeconds()))
        .fenceMilliseconds(bounds.getMachineFenceMilliseconds())
        .interferenceMilliseconds(bounds.getInterferenceMilliseconds())
        .absenceNoticeMilliseconds(bounds.getAbsenceNoticeMilliseconds())
        .moveMilliseconds(milliseconds(bounds.getMoveSeconds()))
        .maintenanceMilliseconds(milliseconds(bounds.getMaintenanceSeconds()))
        .build();
  }

  private static long milliseconds(double seconds) {
    return Math.round(seconds * MILLISECONDS_PER_SECOND);
  }

  private long claimDelay() {
    InstancePlaceSection instance = settings.getInstance();
    double cores = instance.getProcessorShare() * instance.getProcessorSpeed();
    return ClaimDelay.of(instance.getName(), cores, instance.getLinkMegabits());
  }

  private FrontAddresses frontAddresses() {
    return new FrontAddresses(
        socketOf(settings.getInstance().getFrontAddress()),
        socketOf(settings.getInstance().getReadyAddress()),
        socketOf(settings.getInstance().getMetricsAddress()));
  }

  private static NumericAddress addressOf(String text) {
    return NumericAddress.parse(text)
        .orElseThrow(() -> new IllegalArgumentException("no IP address and port: " + text));
  }

  private static InetSocketAddress socketOf(String text) {
    return addressOf(text).socketAddress();
  }

  /** Starts a node; it goes on until {@link #stop}. */
  static Node start(NodeSettings settings) throws IOException {
    Node node = new Node(settings);
    CompletableFuture<IOException> listening = new CompletableFuture<>();
    node.loop.execute(
        () -> {
          try {
            node.front.listen();
            listening.complete(null);
          } catch (IOException e) {
            listening.complete(e);
          }
        });
    IOException error = listening.join();
    if (error != null) {
      throw error;
    }
    node.loop.execute(node::begin);
    return node;
  }

  private void begin() {
    declarations.start();
    workers.start();
    intake.start();
    schedule.start();
    leadership.start(schedule, intake, this::pauseFollowers);
    checkStart();
    watchPauses(clock.now());
  }

  /** The scheduler wants jobs and workers at once, and has no need of its own records. */
  private void pauseFollowers(boolean scheduling) {
    intake.setPause(scheduling ? 0 : INTAKE_PAUSE_MILLISECONDS);
    workers.setPause(scheduling ? SCHEDULER_WORKER_PAUSE_MILLISECONDS : WORKER_PAUSE_MILLISECONDS);
    schedule.setPause(scheduling ? WORKER_PAUSE_MILLISECONDS : PROGRESS_PAUSE_MILLISECONDS);
  }

  private void checkStart() {
    boolean read =
        declarations.isLoaded()
            && workers.isLoaded()
            && intake.isLoaded()
            && state.declaration().isPresent();
    if (read) {
      leadership.setReady();
      logger.atInfo().log(
          "event=ready version=%d jobs=%d",
          state.declaration().get().version(), state.jobs().entries().size());
      return;
    }
    loop.delay(START_CHECK_MILLISECONDS, this::checkStart);
  }

  /** Reports that the process stood still, which explains late answers. */
  private void watchPauses(Moment last) {
    Moment now = clock.now();
    long paused = last.elapsedUntil(now) - PAUSE_CHECK_MILLISECONDS;
    if (paused >= PAUSE_REPORT_MILLISECONDS) {
      logger.atWarning().log("event=process_paused duration_ms=%d", paused);
    }
    loop.delay(PAUSE_CHECK_MILLISECONDS, () -> watchPauses(now));
  }

  /** Tells whether the balancer may send callers: with a declaration and jobs that are fresh. */
  private boolean isReady() {
    return !stopping
        && state.declaration().isPresent()
        && intake.isLoaded()
        && schedule.isLoaded()
        && declarations.ageMilliseconds()
            < settings.getBounds().getKeyRevocationMilliseconds() - KEY_MARGIN_MILLISECONDS;
  }

  /**
   * Stops gracefully: gives the leadership up, serves open connections for a while, and returns
   * when no call is under way.
   */
  void stop() {
    CompletableFuture<Void> ended = new CompletableFuture<>();
    long grace = milliseconds(settings.getBounds().getShutdownGraceSeconds());
    loop.execute(
        () -> {
          stopping = true;
          front.beginClosing();
          leadership.leave();
          loop.delay(grace / LINGER_PART, () -> endWhenIdle(ended));
          loop.delay(Math.max(1, grace - END_MARGIN_MILLISECONDS), () -> ended.complete(null));
        });
    ended.join();
  }

  private void endWhenIdle(CompletableFuture<Void> ended) {
    front.stopAccepting();
    if (front.underWay() == 0) {
      ended.complete(null);
      return;
    }
    loop.delay(START_CHECK_MILLISECONDS, () -> endWhenIdle(ended));
  }
}
