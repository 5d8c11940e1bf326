package org.flamingochute.engine.maintenance;

import java.time.Duration;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.maintenance.DomainWavePlanner;
import org.flamingochute.engine.task.RepeatingTask;
import org.flamingochute.engine.task.SerialTask;

/**
 * Coordinates planned stops while this entry is the placer of the reserved pool {@link #POOL}.
 *
 * <p>The coordinator only asks and carries out. Whether a stop is granted is decided by the fold,
 * so that two coordinators at once can not break an availability budget.
 */
public final class MaintenanceCoordinator {

  /** Name of the pool whose placer coordinates maintenance. */
  public static final String POOL = "@maintenance";

  private static final Duration INTERVAL = Duration.ofMillis(250);

  private final MaintenanceParts parts;
  private final StopDriver driver;
  private final WaveRunner waves;
  private final PoolBalancer balancer;
  private final PoolId pool = new PoolId(POOL);
  private final SerialTask step = new SerialTask(this::stepOnce);
  private final RepeatingTask ticks;

  /** Creates a coordinator that has not yet begun. */
  public MaintenanceCoordinator(MaintenanceParts parts) {
    this.parts = parts;
    StopRequester requester = new StopRequester(parts);
    PoolSnapshot pools = new PoolSnapshot(parts.agreed(), parts.load());
    this.driver = new StopDriver(parts);
    this.waves = new WaveRunner(parts.agreed(), pools, requester, new DomainWavePlanner());
    this.ticks =
        RepeatingTask.of("maintenance", parts.timers(), INTERVAL, step::run, parts.metrics());
    this.balancer = new PoolBalancer(parts.agreed(), pools, requester, parts.demand());
  }

  /** Begins to coordinate whenever this entry holds the epoch. */
  public void start() {
    ticks.start();
  }

  /** Ends coordinating. */
  public void stop() {
    ticks.stop();
  }

  private void stepOnce() {
    parts.coordinator().claimIfVacant(pool);
    boolean holds = parts.coordinator().ownEpoch(pool).isPresent();
    if (!holds || parts.gate().newWorkRefusal().isPresent()) {
      return;
    }
    driver.drive();
    waves.run();
    balancer.run(parts.timers().monotonicMilliseconds());
  }
}
