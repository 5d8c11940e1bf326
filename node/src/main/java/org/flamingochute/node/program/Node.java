package org.flamingochute.node.program;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.node.ClockReading;
import org.flamingochute.node.FleetState;
import org.flamingochute.node.LoadShedding;
import org.flamingochute.node.NodeClock;
import org.flamingochute.node.NodeMetrics;
import org.flamingochute.node.front.HttpDependencies;
import org.flamingochute.node.front.JobFreshness;
import org.flamingochute.node.front.JobLimits;
import org.flamingochute.node.front.ListenAddresses;
import org.flamingochute.node.front.NodeHttpServers;
import org.flamingochute.node.leadership.LeadershipDependencies;
import org.flamingochute.node.leadership.SchedulerLeadership;
import org.flamingochute.node.leadership.StandbyFollower;
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
import org.flamingochute.scheduling.core.SchedulingFeatures;
import org.flamingochute.scheduling.leadership.ClaimDelay;
import org.flamingochute.scheduling.leadership.StandbyMonitor;
import org.flamingochute.schema.BoundSection;
import org.flamingochute.schema.InstancePlaceSection;
import org.flamingochute.schema.NodeSettings;
import org.flamingochute.schema.SchedulingSection;

/** A running node: all its components on one event loop. */
final class Node {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest time for which the store delays its response to a read until a record is appended. */
  private static final long DECLARATION_LONG_POLL_MILLISECONDS = 900;

  private static final long WORKER_LONG_POLL_MILLISECONDS = 900;
  private static final long INTAKE_LONG_POLL_MILLISECONDS = 900;

  /**
   * Short, since the store may answer a waiting read only at the end of its wait while it drops its
   * history, and until then the leader starts no new jobs.
   */
  private static final long LEADER_INTAKE_LONG_POLL_MILLISECONDS = 250;

  /**
   * Shorter than the others, since the time since the leader's last renewal counts only while
   * responses of the store arrive.
   */
  private static final long SCHEDULE_LONG_POLL_MILLISECONDS = 350;

  private static final long JOB_STATUS_LONG_POLL_MILLISECONDS = 900;

  /** Batches the progress of jobs at nodes that do not lead, which delays it for callers. */
  private static final long PROGRESS_PAUSE_MILLISECONDS = 100;

  /**
   * Batches new jobs and cancellations at nodes that do not lead. New jobs are not missed for it: a
   * call for an unknown job and a claim of the leadership read the topic first.
   */
  private static final long INTAKE_PAUSE_MILLISECONDS = 400;

  /**
   * Batches the reports of workers at nodes that do not lead, where only a new leader needs them.
   */
  private static final long WORKER_PAUSE_MILLISECONDS = 1_000;

  /** Batches the reports of workers at the leader. */
  private static final long SCHEDULER_WORKER_PAUSE_MILLISECONDS = 50;

  /** Maximum age of the state of jobs at which the count of queued jobs is returned to callers. */
  private static final long MAXIMUM_JOB_AGE_MILLISECONDS = 2_500;

  /**
   * Part of the time limit for key revocation that is reserved for the rest of a call after its
   * check.
   */
  private static final long KEY_MARGIN_MILLISECONDS = 1_200;

  private static final double MILLISECONDS_PER_SECOND = 1_000;
  private static final long LEASE_MILLISECONDS = 3_500;
  private static final int STORE_CONNECTIONS = 24;
  private static final int WORKER_CONNECTIONS = 5;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
  private static final int MAXIMUM_RESPONSE_BYTES = 16 << 20;

  private static final long CHECK_INTERVAL_MILLISECONDS = 10;
  private static final long PAUSE_CHECK_INTERVAL_MILLISECONDS = 200;
  private static final long REPORTED_PAUSE_MILLISECONDS = 700;

  /** A stopping node accepts connections for the grace period divided by this number. */
  private static final long LINGER_DIVISOR = 2;

  /** Time before the end of the grace period at which the process ends even with open calls. */
  private static final long SHUTDOWN_MARGIN_MILLISECONDS = 900;

  private final NodeSettings settings;
  private final NodeClock clock = new NodeClock();
  private final NodeMetrics metrics = new NodeMetrics();
  private final EventLoopGroup eventLoopGroup;
  private final Eventloop loop;
  private final ExchangeClient storeExchanges;
  private final ExchangeClient workerExchanges;
  private final FleetState state;
  private final StoreFollower declarations;
  private final StoreFollower workers;
  private final StoreFollower intake;
  private final StoreFollower schedule;

  /** Follower of the statuses of jobs, if this instance does not follow all their records. */
  private final Optional<StoreFollower> jobStatuses;

  private final Optional<StandbyFollower> standby;
  private final SchedulerLeadership leadership;
  private final NodeHttpServers httpServers;
  private boolean stopping;

  private Node(NodeSettings settings) {
    this.settings = settings;
    state = new FleetState(clock, declaredDataCentres(settings));
    eventLoopGroup = EventLoopGroup.start("node", 1);
    loop = eventLoopGroup.loops().getFirst();
    storeExchanges = createExchangeClient(STORE_CONNECTIONS);
    workerExchanges = createExchangeClient(WORKER_CONNECTIONS);
    StoreClient store =
        new StoreClient(storeExchanges, parseAddress(settings.getStore().getAddress()));
    LeadershipDependencies dependencies =
        new LeadershipDependencies(
            loop,
            clock,
            store,
            new WorkerClient(workerExchanges),
            createMachineClient(),
            state.jobs(),
            toSchedulerSettings(),
            settings.getInstance().getName(),
            claimDelayMilliseconds());
    leadership = new SchedulerLeadership(dependencies, state, clock.wallClockMilliseconds());
    state.setListener(Optional.of(leadership));
    Optional<LoadShedding> loadShedding =
        features().loadShedding() ? Optional.of(new LoadShedding(clock, state)) : Optional.empty();
    leadership.setLoadShedding(loadShedding);
    declarations =
        new StoreFollower(
            loop,
            clock,
            store,
            StoreTopic.DECLARATIONS,
            DECLARATION_LONG_POLL_MILLISECONDS,
            0,
            state.declarationListener());
    workers =
        new StoreFollower(
            loop,
            clock,
            store,
            StoreTopic.WORKERS,
            WORKER_LONG_POLL_MILLISECONDS,
            WORKER_PAUSE_MILLISECONDS,
            state.workerListener());
    intake =
        new StoreFollower(
            loop,
            clock,
            store,
            StoreTopic.INTAKE,
            INTAKE_LONG_POLL_MILLISECONDS,
            INTAKE_PAUSE_MILLISECONDS,
            state.intakeListener());
    schedule =
        new StoreFollower(
            loop,
            clock,
            store,
            StoreTopic.SCHEDULE,
            SCHEDULE_LONG_POLL_MILLISECONDS,
            PROGRESS_PAUSE_MILLISECONDS,
            leadership);
    jobStatuses = isStandby() ? Optional.of(createJobStatusFollower(store)) : Optional.empty();
    standby = jobStatuses.map(statuses -> createStandbyFollower(store, statuses));
    httpServers =
        new NodeHttpServers(
            new HttpDependencies(
                loop,
                clock,
                state,
                new IntakeWriter(loop, clock, store),
                new JobFreshness(intake, phaseFollower(), MAXIMUM_JOB_AGE_MILLISECONDS),
                metrics,
                new JobLimits(settings.getStore().getRecordBytes()),
                loadShedding),
            declarations,
            settings.getBounds().getKeyRevocationMilliseconds() - KEY_MARGIN_MILLISECONDS,
            listenAddresses(),
            this::isReady);
  }

  /** Returns whether this instance follows the leader's records only if it must lead itself. */
  private boolean isStandby() {
    InstancePlaceSection instance = settings.getInstance();
    return features().jobStatusTopic()
        && !ClaimDelay.isLarge(cores(instance), instance.getLinkMegabits());
  }

  private StoreFollower createJobStatusFollower(StoreClient store) {
    return new StoreFollower(
        loop,
        clock,
        store,
        StoreTopic.JOB_STATUS,
        JOB_STATUS_LONG_POLL_MILLISECONDS,
        PROGRESS_PAUSE_MILLISECONDS,
        leadership.jobStatusListener(this::phaseFollower));
  }

  private StandbyFollower createStandbyFollower(StoreClient store, StoreFollower statuses) {
    return new StandbyFollower(
        loop,
        clock,
        store,
        new StandbyMonitor(claimDelayMilliseconds()),
        leadership,
        statuses,
        this::followLeader);
  }

  /** Returns the follower from which the phases of jobs are known. */
  private StoreFollower phaseFollower() {
    return jobStatuses.orElse(schedule);
  }

  private ExchangeClient createExchangeClient(int connections) {
    ExchangeLimits limits =
        ExchangeLimits.builder()
            .maximumConnections(connections)
            .maximumResponseBytes(MAXIMUM_RESPONSE_BYTES)
            .connectTimeout(CONNECT_TIMEOUT)
            .idleTimeout(IDLE_TIMEOUT)
            .build();
    return new ExchangeClient(eventLoopGroup, limits, ExchangeListener.NONE);
  }

  private Optional<MachineClient> createMachineClient() {
    String address = settings.getFleetServices().getMachinesAddress();
    return address.isEmpty()
        ? Optional.empty()
        : Optional.of(new MachineClient(storeExchanges, parseAddress(address)));
  }

  private SchedulerSettings toSchedulerSettings() {
    BoundSection bounds = settings.getBounds();
    return SchedulerSettings.builder()
        .leaseMilliseconds(Math.min(LEASE_MILLISECONDS, bounds.getMaximumLeaseMilliseconds()))
        .maximumLeaseMilliseconds(bounds.getMaximumLeaseMilliseconds())
        .statusRetentionMilliseconds(toMilliseconds(bounds.getStatusRetentionSeconds()))
        .fenceMilliseconds(bounds.getMachineFenceMilliseconds())
        .interferenceMilliseconds(bounds.getInterferenceMilliseconds())
        .absenceNoticeMilliseconds(bounds.getAbsenceNoticeMilliseconds())
        .moveMilliseconds(toMilliseconds(bounds.getMoveSeconds()))
        .maintenanceMilliseconds(toMilliseconds(bounds.getMaintenanceSeconds()))
        .features(features())
        .build();
  }

  private SchedulingFeatures features() {
    SchedulingSection scheduling = settings.getScheduling();
    return SchedulingFeatures.builder()
        .learnedDurations(scheduling.getLearnedDurations())
        .speculativeCopies(scheduling.getSpeculativeCopies())
        .taskSeparation(scheduling.getTaskSeparation())
        .loadShedding(scheduling.getLoadShedding())
        .compactRecords(scheduling.getCompactRecords())
        .jobStatusTopic(scheduling.getJobStatusTopic())
        .build();
  }

  private static Set<DataCentreId> declaredDataCentres(NodeSettings settings) {
    return DataCentreNames.parse("settings", settings.getInstance().getDataCentres())
        .getOrElseThrow(error -> new IllegalArgumentException(error.toString()));
  }

  private static long toMilliseconds(double seconds) {
    return Math.round(seconds * MILLISECONDS_PER_SECOND);
  }

  private long claimDelayMilliseconds() {
    InstancePlaceSection instance = settings.getInstance();
    return ClaimDelay.delayMilliseconds(
        instance.getName(), cores(instance), instance.getLinkMegabits());
  }

  private static double cores(InstancePlaceSection instance) {
    return instance.getProcessorShare() * instance.getProcessorSpeed();
  }

  private ListenAddresses listenAddresses() {
    return new ListenAddresses(
        parseSocketAddress(settings.getInstance().getFrontAddress()),
        parseSocketAddress(settings.getInstance().getReadyAddress()),
        parseSocketAddress(settings.getInstance().getMetricsAddress()));
  }

  private static NumericAddress parseAddress(String text) {
    return NumericAddress.parse(text)
        .orElseThrow(() -> new IllegalArgumentException("not an IP address and port: " + text));
  }

  private static InetSocketAddress parseSocketAddress(String text) {
    return parseAddress(text).socketAddress();
  }

  /** Starts a node, which runs until {@link #stop}. */
  static Node start(NodeSettings settings) throws IOException {
    Node node = new Node(settings);
    CompletableFuture<IOException> listening = new CompletableFuture<>();
    node.loop.execute(
        () -> {
          try {
            node.httpServers.listen();
            listening.complete(null);
          } catch (IOException e) {
            listening.complete(e);
          }
        });
    IOException error = listening.join();
    if (error != null) {
      throw error;
    }
    node.loop.execute(node::startFollowers);
    return node;
  }

  private void startFollowers() {
    declarations.start();
    intake.start();
    jobStatuses.ifPresent(StoreFollower::start);
    standby.ifPresentOrElse(StandbyFollower::start, this::followLeader);
    leadership.start(schedule, intake, this::setFollowerPauses);
    logWhenJobsLoaded();
    allowLeadershipWhenLoaded();
    checkProcessPause(clock.read());
  }

  /** Starts to follow what only a leader needs, besides what every node needs. */
  private void followLeader() {
    workers.start();
    schedule.start();
  }

  /**
   * Sets the read pauses: the leader reads jobs and workers without delay, but not its own records.
   */
  private void setFollowerPauses(boolean isLeader) {
    intake.setPause(isLeader ? 0 : INTAKE_PAUSE_MILLISECONDS);
    intake.setLongPoll(
        isLeader ? LEADER_INTAKE_LONG_POLL_MILLISECONDS : INTAKE_LONG_POLL_MILLISECONDS);
    workers.setPause(isLeader ? SCHEDULER_WORKER_PAUSE_MILLISECONDS : WORKER_PAUSE_MILLISECONDS);
    schedule.setPause(isLeader ? WORKER_PAUSE_MILLISECONDS : PROGRESS_PAUSE_MILLISECONDS);
  }

  private void logWhenJobsLoaded() {
    boolean jobsLoaded =
        declarations.isLoaded() && intake.isLoaded() && state.declaration().isPresent();
    if (jobsLoaded) {
      logger.atInfo().log(
          "event=ready version=%d jobs=%d",
          state.declaration().get().version(), state.jobs().jobs().size());
      return;
    }
    loop.delay(CHECK_INTERVAL_MILLISECONDS, this::logWhenJobsLoaded);
  }

  private void allowLeadershipWhenLoaded() {
    boolean leaderDataLoaded =
        declarations.isLoaded()
            && workers.isLoaded()
            && intake.isLoaded()
            && state.declaration().isPresent();
    if (leaderDataLoaded) {
      leadership.setReady();
      return;
    }
    loop.delay(CHECK_INTERVAL_MILLISECONDS, this::allowLeadershipWhenLoaded);
  }

  /** Logs pauses of the whole process, which explain late responses. */
  private void checkProcessPause(ClockReading last) {
    ClockReading now = clock.read();
    long pauseMilliseconds = last.elapsedMillisecondsUntil(now) - PAUSE_CHECK_INTERVAL_MILLISECONDS;
    if (pauseMilliseconds >= REPORTED_PAUSE_MILLISECONDS) {
      logger.atWarning().log("event=process_paused duration_ms=%d", pauseMilliseconds);
    }
    loop.delay(PAUSE_CHECK_INTERVAL_MILLISECONDS, () -> checkProcessPause(now));
  }

  /**
   * Returns whether the load balancer may send calls: if this node is not stopping, the declaration
   * is fresh enough to check keys, and the jobs have been loaded, however old they are.
   */
  private boolean isReady() {
    return !stopping
        && state.declaration().isPresent()
        && intake.isLoaded()
        && phaseFollower().isLoaded()
        && declarations.ageMilliseconds()
            < settings.getBounds().getKeyRevocationMilliseconds() - KEY_MARGIN_MILLISECONDS;
  }

  /**
   * Stops gracefully: releases the leadership, accepts connections for a while, and returns when no
   * calls are open, or shortly before the grace period ends.
   */
  void stop() {
    CompletableFuture<Void> ended = new CompletableFuture<>();
    long graceMilliseconds = toMilliseconds(settings.getBounds().getShutdownGraceSeconds());
    loop.execute(
        () -> {
          stopping = true;
          httpServers.beginClosing();
          leadership.resign();
          loop.delay(graceMilliseconds / LINGER_DIVISOR, () -> endWhenIdle(ended));
          loop.delay(
              Math.max(1, graceMilliseconds - SHUTDOWN_MARGIN_MILLISECONDS),
              () -> ended.complete(null));
        });
    ended.join();
  }

  private void endWhenIdle(CompletableFuture<Void> ended) {
    httpServers.stopAccepting();
    if (httpServers.openCallCount() == 0) {
      ended.complete(null);
      return;
    }
    loop.delay(CHECK_INTERVAL_MILLISECONDS, () -> endWhenIdle(ended));
  }
}
