package org.flamingochute.standin.http;

import com.google.common.flogger.FluentLogger;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.util.Optional;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.platform.ThreadPoolTimers;
import org.flamingochute.platform.Timers;
import org.flamingochute.schema.FaultSettings;
import org.flamingochute.schema.InstanceKind;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.ListedInstance;
import org.flamingochute.schema.ResourceAmount;
import org.flamingochute.schema.StandInEndpointSection;
import org.flamingochute.standin.EndpointFaults;
import org.flamingochute.standin.EndpointRecorder;
import org.flamingochute.standin.RunTimeSampler;
import org.flamingochute.standin.StandInRunner;
import org.flamingochute.standin.StandInWorker;

/**
 * Stand-in process for runners and workers. Each instance has its own port, and all share one
 * recorder.
 *
 * <p>Runners are assigned to the data centres round-robin, each in a rack of its own. Workers are
 * grouped four to a rack, and the racks are assigned to the data centres round-robin.
 */
public final class EndpointStandIn implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String LOOPBACK_ANY_PORT = "127.0.0.1:0";
  private static final int DATA_CENTRE_COUNT = 3;
  private static final int WORKERS_PER_RACK = 4;
  private static final int MILLICORES_PER_PROCESSOR = 1000;

  private final StandInEndpointSection settings;
  private final HttpListeners listeners;
  private final JsonPostClient postClient;
  private final Timers timers = new ThreadPoolTimers(1, ThreadPoolTimers.TaskFailureListener.NONE);
  private final EndpointRecorder recorder = new EndpointRecorder();
  private final EndpointFaults faults = new EndpointFaults();
  private String address;

  private EndpointStandIn(StandInEndpointSection settings) {
    this.settings = settings;
    this.listeners = new HttpListeners(settings.getThreads());
    this.postClient = new JsonPostClient(listeners.group());
  }

  /** Starts all instances, registers them at the platform stand-in and writes the port file. */
  public static EndpointStandIn start(StandInEndpointSection settings) throws StandInException {
    EndpointStandIn standIn = new EndpointStandIn(settings);
    for (PoolSize pool : PoolSize.parseList(settings.getRunnerPools())) {
      standIn.startRunners(pool);
    }
    for (PoolSize pool : PoolSize.parseList(settings.getWorkerPools())) {
      standIn.startWorkers(pool);
    }
    standIn.address = standIn.listeners.listen(settings.getAddress(), standIn::controlRoutes);
    PortFile.write(settings.getPortFile(), standIn.address);
    logger.atInfo().log("event=stand_in_ready kind=endpoints http=%s", standIn.address);
    return standIn;
  }

  private void startRunners(PoolSize pool) throws StandInException {
    for (int i = 0; i < pool.size(); i++) {
      String instance = pool.pool() + "-" + i;
      StandInRunner runner =
          new StandInRunner(
              instance,
              settings.getSlots(),
              settings.getQueuedRequests(),
              timers,
              new RunTimeSampler(
                  settings.getMeanRunMilliseconds(), settings.getSeed() + instance.hashCode()),
              recorder,
              faults);
      String runnerAddress =
          listeners.listen(LOOPBACK_ANY_PORT, loop -> new RunnerServlet(runner)::serve);
      registerAtPlatform(describeInstance(pool, i, i).setAddress(runnerAddress).build());
    }
  }

  private void startWorkers(PoolSize pool) throws StandInException {
    ResourceAmount capacity =
        ResourceAmount.newBuilder()
            .setProcessorMillicores(settings.getWorkerProcessors() * MILLICORES_PER_PROCESSOR)
            .setMemoryMebibytes(settings.getWorkerMemoryMebibytes())
            .build();
    for (int i = 0; i < pool.size(); i++) {
      String instance = pool.pool() + "-" + i;
      StandInWorker worker = new StandInWorker(instance, capacity, timers, recorder, faults);
      WorkerServlet servlet = new WorkerServlet(worker);
      String workerAddress = listeners.listen(LOOPBACK_ANY_PORT, servlet::routes);
      registerAtPlatform(
          describeInstance(pool, i, i / WORKERS_PER_RACK)
              .setKind(InstanceKind.INSTANCE_WORKER)
              .setCapacity(capacity)
              .setAddress(workerAddress)
              .build());
    }
  }

  private static ListedInstance.Builder describeInstance(PoolSize pool, int index, int rack) {
    return ListedInstance.newBuilder()
        .setInstance(pool.pool() + "-" + index)
        .setKind(InstanceKind.INSTANCE_RUNNER)
        .setState(InstanceState.INSTANCE_LIVE)
        .setDataCentre("dc-" + rack % DATA_CENTRE_COUNT)
        .setRack(pool.pool() + "-rack-" + rack)
        .setFirstPool(pool.pool());
  }

  private void registerAtPlatform(ListedInstance instance) throws StandInException {
    String platform = settings.getPlatformAddress();
    Optional<String> failure = postClient.post(platform, "/instances/register", instance).join();
    if (failure.isPresent()) {
      throw new StandInException(
          ErrorReport.of(
              ErrorCode.STAND_IN_UNREACHABLE, "the platform stand-in", platform, failure.get()));
    }
  }

  private AsyncServlet controlRoutes(Reactor reactor) {
    return RoutingServlet.builder(reactor)
        .with(HttpMethod.GET, "/report", this::report)
        .with(
            HttpMethod.POST,
            "/faults",
            HttpBodies.jsonServlet(FaultSettings.getDefaultInstance(), this::applyFaults))
        .build();
  }

  private Promise<HttpResponse> report(HttpRequest request) {
    boolean withRequests = !"false".equals(request.getQueryParameter("requests"));
    return HttpBodies.jsonResponse(recorder.createReport(withRequests));
  }

  private Promise<HttpResponse> applyFaults(FaultSettings settings) {
    faults.replaceFaults(settings);
    return HttpBodies.jsonResponse(settings);
  }

  /** Returns the IP address and port of the routes for the report and the fault settings. */
  public String address() {
    return address;
  }

  @Override
  public void close() {
    postClient.close();
    listeners.close();
  }
}
