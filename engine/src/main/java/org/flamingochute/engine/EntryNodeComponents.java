package org.flamingochute.engine;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.flamingochute.decision.agreement.AgreedState;
import org.flamingochute.decision.capacity.DemandTransferPolicy;
import org.flamingochute.decision.dispatch.LeastLoadedOfTwoChooser;
import org.flamingochute.decision.dispatch.OutlierDetector;
import org.flamingochute.decision.dispatch.OutlierSettings;
import org.flamingochute.decision.escrow.EscrowLedger;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.engine.job.JobDependencies;
import org.flamingochute.engine.job.JobPlacers;
import org.flamingochute.engine.job.JobService;
import org.flamingochute.engine.job.PlacerCoordinator;
import org.flamingochute.engine.log.FreshnessMonitor;
import org.flamingochute.engine.log.LogAppender;
import org.flamingochute.engine.log.LogFollower;
import org.flamingochute.engine.maintenance.DemandEstimator;
import org.flamingochute.engine.maintenance.MaintenanceCoordinator;
import org.flamingochute.engine.maintenance.MaintenanceDependencies;
import org.flamingochute.engine.membership.InstanceListObserver;
import org.flamingochute.engine.membership.MemberSelector;
import org.flamingochute.engine.membership.MembershipManager;
import org.flamingochute.engine.operator.OperatorService;
import org.flamingochute.engine.peer.PeerDependencies;
import org.flamingochute.engine.peer.PeerExchange;
import org.flamingochute.engine.peer.PeerLink;
import org.flamingochute.engine.peer.PeerUsage;
import org.flamingochute.engine.peer.TokenBroker;
import org.flamingochute.engine.request.EndpointTable;
import org.flamingochute.engine.request.KeyDirectoryCache;
import org.flamingochute.engine.request.RequestDependencies;
import org.flamingochute.engine.request.RequestService;
import org.flamingochute.engine.request.StartedRequestCounter;
import org.flamingochute.engine.request.WorkGate;
import org.flamingochute.engine.status.FleetWorkload;
import org.flamingochute.engine.status.StatusReporter;
import org.flamingochute.engine.status.UsageReporter;
import org.flamingochute.engine.upkeep.EscrowRecordAppender;
import org.flamingochute.engine.upkeep.SnapshotScheduler;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.MemberJoined;
import org.flamingochute.schema.TimingSection;

/**
 * Creates the components of an entry node and connects them.
 *
 * <p>The order of the listeners matters: the ledger is notified of a record first, so that the
 * tokens are up to date for all other components; the claims are notified before the appender,
 * since they query it for whether a record is still pending.
 */
final class EntryNodeComponents {

  /** Number of locks over which the tokens of the teams are spread. */
  private static final int LEDGER_SHARDS = 16;

  final AgreedState agreed = AgreedState.empty();
  final WorkGate gate;
  final LogFollower follower;
  final LogAppender appender;
  final MembershipManager membership;
  final InstanceListObserver listObserver;
  final TokenBroker broker;
  final PeerExchange peers;
  final RequestService requests;
  final JobService jobs;
  final JobPlacers placers;
  final MaintenanceCoordinator maintenance;
  final OperatorService operators;
  final StatusReporter status;

  private final EntryNodeSettings settings;
  private final Incarnation self;
  private final Timers timers;
  private final MetricRegistry metrics;
  private final TimingSection timing;
  private final FreshnessMonitor freshness;
  private final PeerUsage peerUsage = new PeerUsage();
  private final StartedRequestCounter startedRequests = new StartedRequestCounter();
  private final MemberSelector selector;
  private final KeyDirectoryCache keys;
  private final EscrowLedger ledger;
  private final PeerLink link;
  private final OutlierDetector outliers = new OutlierDetector(OutlierSettings.defaults());
  private final UniformRandomProvider random;
  private final EndpointTable endpoints;
  private final PlacerCoordinator coordinator;
  private final SnapshotScheduler snapshots;
  private final EscrowRecordAppender escrow;

  EntryNodeComponents(EntryNodeSettings settings) {
    this.settings = settings;
    this.self = settings.incarnation();
    this.timers = settings.timers();
    this.metrics = settings.metrics();
    this.timing = settings.settings().getTiming();
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create((long) self.value().hashCode());
    this.freshness = new FreshnessMonitor(agreed, timers, self, timing.getFreshnessMilliseconds());
    this.gate = new WorkGate(agreed, freshness, self);
    this.selector = new MemberSelector(agreed, freshness, this::isStopping, self);
    this.keys = new KeyDirectoryCache(agreed);
    this.follower = newFollower();
    this.appender = newAppender();
    this.membership = new MembershipManager(joinRecord(), agreed, appender, timers, metrics);
    this.listObserver = newListObserver();
    this.ledger = new EscrowLedger(self, LEDGER_SHARDS, agreed);
    this.link = new PeerLink(settings.peerTransport(), agreed, self, metrics);
    this.broker = newBroker();
    this.endpoints = newEndpoints();
    this.requests = newRequests();
    this.coordinator = newCoordinator();
    this.jobs = new JobService(agreed, keys, gate, appender, self, metrics);
    this.placers = new JobPlacers(jobDependencies());
    this.maintenance = new MaintenanceCoordinator(maintenanceDependencies());
    this.snapshots =
        new SnapshotScheduler(
            agreed, selector, appender, self, timing.getSnapshotRecords(), metrics);
    this.escrow = new EscrowRecordAppender(ledger, agreed, selector, appender, timers, metrics);
    this.peers = new PeerExchange(peerDependencies(), this::afterHeartbeat);
    this.operators = newOperators();
    this.status = new StatusReporter(agreed, ledger, broker, peerUsage, gate, instanceName(), self);
    registerListeners();
  }

  private void registerListeners() {
    freshness.setListedGone(listObserver::isListedGone);
    agreed.addListener(ledger);
    agreed.addListener(requests.claimListener());
    agreed.addListener(appender);
    agreed.addListener(membership);
    agreed.addListener(listObserver);
    agreed.addListener(peers);
    agreed.addListener(snapshots);
    follower.addListener(appender);
    follower.addListener(escrow);
    follower.addListener(requests);
    follower.addListener(placers);
    broker.connect(
        team -> requests.dispatcher().waiting(team) + placers.waiting(team),
        this::onTokensReceived);
  }

  private void onTokensReceived() {
    requests.dispatcher().dispatchAll();
    placers.placeJobs();
  }

  private void afterHeartbeat() {
    requests.dispatcher().dispatchAll();
    escrow.appendIfDue();
    snapshots.writeIfDue();
  }

  private boolean isStopping(Incarnation member) {
    return member.equals(self) ? gate.isStopping() : peerUsage.isStopping(member);
  }

  private String instanceName() {
    return settings.settings().getEntry().getInstance();
  }

  private MemberJoined joinRecord() {
    return MemberJoined.newBuilder()
        .setIncarnation(self.value())
        .setInstance(instanceName())
        .setDataCentre(settings.settings().getEntry().getDataCentre())
        .setPeerAddress(settings.peerAddress())
        .setHttpAddress(settings.httpAddress())
        .build();
  }

  private LogFollower newFollower() {
    Duration interval = Duration.ofMillis(timing.getLogPollMilliseconds());
    return new LogFollower(settings.log(), agreed, timers, freshness, interval, metrics);
  }

  private LogAppender newAppender() {
    Duration linger = Duration.ofMillis(timing.getAppendLingerMilliseconds());
    return new LogAppender(settings.log(), follower, timers, self, linger, metrics);
  }

  private InstanceListObserver newListObserver() {
    return new InstanceListObserver(
        settings.instanceList(),
        agreed,
        selector,
        appender,
        timers,
        self,
        Duration.ofMillis(timing.getListPollMilliseconds()),
        metrics);
  }

  private TokenBroker newBroker() {
    return new TokenBroker(
        ledger,
        agreed,
        new DemandTransferPolicy(),
        link,
        peerUsage,
        freshness,
        timers,
        self,
        metrics);
  }

  private EndpointTable newEndpoints() {
    LeastLoadedOfTwoChooser chooser =
        new LeastLoadedOfTwoChooser(random, outliers, () -> agreed.members().size());
    return new EndpointTable(agreed, chooser, listObserver::isListedLeaving);
  }

  private RequestService newRequests() {
    return new RequestService(
        new RequestDependencies(
            agreed,
            keys,
            gate,
            broker,
            endpoints,
            outliers,
            settings.endpointClient(),
            appender,
            timers,
            self,
            RandomSource.XO_RO_SHI_RO_128_PP.create((long) ~self.value().hashCode()),
            metrics,
            startedRequests,
            settings.settings().getLimit().getMaximumWaitingRequests()));
  }

  private PlacerCoordinator newCoordinator() {
    return new PlacerCoordinator(
        agreed,
        freshness,
        selector,
        this::isStopping,
        gate,
        appender,
        timers,
        self,
        timing.getPlacerLeaseMilliseconds(),
        metrics);
  }

  private JobDependencies jobDependencies() {
    return new JobDependencies(
        agreed,
        coordinator,
        broker,
        gate,
        appender,
        settings.workerControl(),
        timers,
        self,
        metrics);
  }

  private MaintenanceDependencies maintenanceDependencies() {
    FleetWorkload workload = new FleetWorkload(agreed, endpoints);
    return new MaintenanceDependencies(
        agreed,
        coordinator,
        gate,
        appender,
        settings.poolControl(),
        workload,
        freshness,
        new DemandEstimator(agreed, workload::requestsInFlight, requests.dispatcher()::waiting),
        timers,
        self,
        timing.getDrainNoticeMilliseconds(),
        metrics);
  }

  private PeerDependencies peerDependencies() {
    return new PeerDependencies(
        agreed,
        follower,
        freshness,
        settings.peerTransport(),
        link,
        peerUsage,
        endpoints,
        broker,
        new UsageReporter(agreed, ledger, broker, endpoints, startedRequests, gate),
        requests.dispatcher()::observeRemoteStarts,
        listObserver::newestListing,
        timers,
        self,
        settings.peerAddress(),
        Duration.ofMillis(timing.getGossipMilliseconds()),
        metrics);
  }

  private OperatorService newOperators() {
    String digest = settings.settings().getEntry().getBootstrapOperatorDigest();
    return new OperatorService(agreed, keys, appender, digest, self, metrics);
  }
}
