package org.flamingochute.engine.maintenance;

import java.time.Duration;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.maintenance.DomainWavePlanner;
import org.flamingochute.engine.task.RepeatingTask;
import org.flamingochute.engine.task.SerialTask;

/**
 * Coordinates planned stops while this entry is the placer of the reserved pool {@link #POOL}.
 *
 * <p>The coordinator only requests stops and executes them. Whether a stop is granted is decided
 * when its record is applied, so that two concurrent coordinators cannot violate an availability
 * budget.
 */
public final class MaintenanceCoordinator {

  /** Name of the reserved pool whose placer coordinates maintenance. */
  public static final String POOL = "@maintenance";

  private static final Duration INTERVAL = Duration.ofMillis(250);

  private final MaintenanceDependencies dependencies;
  private final StopDriver stopDriver;
  private final WaveStopRequester waveStopRequester;
  private final PoolBalancer poolBalancer;
  private final PoolId pool = new PoolId(POOL);
  private final SerialTask coordination = new SerialTask(this::coordinateOnce);
  private final RepeatingTask repeatingTask;

  /** Creates a coordinator that is not started. */
  public MaintenanceCoordinator(MaintenanceDependencies dependencies) {
    this.dependencies = dependencies;
    StopRequester requester = new StopRequester(dependencies);
    PoolReader poolReader = new PoolReader(dependencies.agreed(), dependencies.workload());
    this.stopDriver = new StopDriver(dependencies);
    this.waveStopRequester =
        new WaveStopRequester(
            dependencies.agreed(), poolReader, requester, new DomainWavePlanner());
    this.repeatingTask =
        RepeatingTask.of(
            "maintenance",
            dependencies.timers(),
            INTERVAL,
            coordination::run,
            dependencies.metrics());
    this.poolBalancer =
        new PoolBalancer(dependencies.agreed(), poolReader, requester, dependencies.demand());
  }

  /** Starts claiming the reserved pool, and coordinating while this entry is its placer. */
  public void start() {
    repeatingTask.start();
  }

  /** Stops coordinating. */
  public void stop() {
    repeatingTask.stop();
  }

  private void coordinateOnce() {
    dependencies.coordinator().claimIfVacant(pool);
    boolean isCoordinator = dependencies.coordinator().ownEpoch(pool).isPresent();
    if (!isCoordinator || dependencies.gate().newWorkRefusal().isPresent()) {
      return;
    }
    stopDriver.advanceStops();
    waveStopRequester.requestNextStops();
    poolBalancer.balance(dependencies.timers().monotonicMilliseconds());
  }
}
