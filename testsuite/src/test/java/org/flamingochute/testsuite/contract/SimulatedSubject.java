package org.flamingochute.testsuite.contract;

import java.util.concurrent.CompletableFuture;
import org.flamingochute.platform.EndpointClient;
import org.flamingochute.platform.InstanceList;
import org.flamingochute.platform.PlatformLog;
import org.flamingochute.platform.PoolControl;
import org.flamingochute.platform.WorkerControl;
import org.flamingochute.schema.InstanceKind;
import org.flamingochute.testsuite.observation.ObservationJournal;
import org.flamingochute.testsuite.simulation.NetworkConditions;
import org.flamingochute.testsuite.simulation.SimulatedInstance;
import org.flamingochute.testsuite.simulation.SimulatedLog;
import org.flamingochute.testsuite.simulation.SimulatedPlatform;
import org.flamingochute.testsuite.simulation.SimulatedProcess;
import org.flamingochute.testsuite.simulation.SimulatedRunners;
import org.flamingochute.testsuite.simulation.SimulatedWorkers;
import org.flamingochute.testsuite.simulation.VirtualClock;
import org.flamingochute.testsuite.simulation.WorkSpecification;

/** The simulated platform that the scenarios use. */
final class SimulatedSubject implements PlatformSubject {

  private static final long MAXIMUM_WAIT_MILLISECONDS = 60_000;
  private static final long STEP_MILLISECONDS = 10;

  private final VirtualClock clock = new VirtualClock();
  private final NetworkConditions network = new NetworkConditions();
  private final ObservationJournal journal = new ObservationJournal();
  private final SimulatedProcess process = new SimulatedProcess("a", clock);
  private final SimulatedLog simulatedLog = new SimulatedLog(clock, network);
  private final SimulatedPlatform platform = new SimulatedPlatform(clock, journal);
  private final SimulatedRunners runners = new SimulatedRunners(clock, network, platform, journal);
  private final SimulatedWorkers workers = new SimulatedWorkers(clock, network, platform, journal);

  SimulatedSubject() {
    simulatedLog.limitRetention(RETAINED_RECORDS);
    platform.add(
        new SimulatedInstance(RUNNER, InstanceKind.INSTANCE_RUNNER, "proofs", "dc-0", "r-0"));
    platform.add(
        new SimulatedInstance(WORKER, InstanceKind.INSTANCE_WORKER, "print", "dc-0", "r-0"));
  }

  @Override
  public PlatformLog log() {
    return simulatedLog.clientFor(process);
  }

  @Override
  public InstanceList instanceList() {
    return platform.instanceListFor(process);
  }

  @Override
  public PoolControl poolControl() {
    return platform.poolControlFor(process);
  }

  @Override
  public WorkerControl workerControl() {
    return workers.clientFor(process);
  }

  @Override
  public EndpointClient endpointClient() {
    return runners.clientFor(process);
  }

  @Override
  public String addressOf(String instance) {
    return instance;
  }

  @Override
  public String unreachableAddress() {
    return "nobody";
  }

  @Override
  public byte[] taskPayload(String tag, long runMilliseconds) {
    return new WorkSpecification(tag, "captains", runMilliseconds).content();
  }

  @Override
  public void makeLogUnavailable() {
    simulatedLog.setDown(true);
  }

  @Override
  public void dropNextAppendResponse() {
    simulatedLog.dropResponses(1);
  }

  @Override
  public void duplicateNextAppend() {
    simulatedLog.duplicateAppends(1);
  }

  @Override
  public <T> T await(CompletableFuture<T> future) {
    long end = clock.nowMilliseconds() + MAXIMUM_WAIT_MILLISECONDS;
    while (!future.isDone() && clock.nowMilliseconds() < end) {
      advanceMilliseconds(STEP_MILLISECONDS);
    }
    return future.getNow(null);
  }

  @Override
  public void advanceMilliseconds(long milliseconds) {
    clock.runUntil(clock.nowMilliseconds() + milliseconds);
  }

  @Override
  public void close() {}
}
