package org.flamingochute.engine.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.FairPlacement;
import org.flamingochute.decision.placement.FairPlacementSettings;
import org.flamingochute.engine.log.FoldReaction;
import org.flamingochute.engine.task.RepeatingTask;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.PoolSection;

/** The placers of all pools of workers; those whose epochs this entry holds work. */
public final class JobPlacers implements FoldReaction {

  /** Time between looks at the workers, which renew the leases of tasks. */
  private static final Duration LOOK_INTERVAL = Duration.ofMillis(250);

  /** Mean time between looks at any two workers. */
  private static final Duration LOOK_SPACING = Duration.ofMillis(10);

  private static final String WORKER_KIND = "worker";

  private final JobParts parts;
  private final Map<PoolId, JobPlacer> placers = new ConcurrentHashMap<>();
  private final RepeatingTask looks;

  /** Creates placers that have not yet begun. */
  public JobPlacers(JobParts parts) {
    this.parts = parts;
    this.looks =
        RepeatingTask.of("placers", parts.timers(), LOOK_INTERVAL, this::look, parts.metrics());
  }

  /** Begins to claim pools and to place jobs. */
  public void start() {
    looks.start();
  }

  /** Ends claiming and placing. */
  public void stop() {
    looks.stop();
  }

  /** Returns the jobs of a team that wait in the pools that this entry places. */
  public int waiting(TeamId team) {
    int total = 0;
    for (PoolId pool : pools()) {
      if (parts.coordinator().ownEpoch(pool).isEmpty()) {
        continue;
      }
      for (JobImage job : parts.agreed().jobs(pool, JobPhase.JOB_WAITING)) {
        if (job.getSubmitted().getTeam().equals(team.value())) {
          total++;
        }
      }
    }
    return total;
  }

  /** Tells whether no attempt is on its way into the log or to its worker. */
  public boolean isIdle() {
    for (JobPlacer placer : placers.values()) {
      if (!placer.isIdle()) {
        return false;
      }
    }
    return true;
  }

  /** Places jobs, after tokens or room may have come free. */
  public void step() {
    if (!looks.isRunning()) {
      return;
    }
    for (PoolId pool : pools()) {
      placer(pool).step();
    }
  }

  @Override
  public void folded() {
    step();
  }

  private void look() {
    Duration interval = workerInterval();
    for (PoolId pool : pools()) {
      parts.coordinator().claimIfVacant(pool);
      placer(pool).look(interval);
    }
    step();
  }

  /** Spreads the looks so that their number in a second is bounded at any number of workers. */
  private Duration workerInterval() {
    int workers = 0;
    for (PoolId pool : pools()) {
      if (parts.coordinator().ownEpoch(pool).isPresent()) {
        workers += parts.agreed().instances(pool).size();
      }
    }
    Duration spread = LOOK_SPACING.multipliedBy(workers);
    return spread.compareTo(LOOK_INTERVAL) > 0 ? spread : LOOK_INTERVAL;
  }

  private JobPlacer placer(PoolId pool) {
    return placers.computeIfAbsent(
        pool,
        key -> new JobPlacer(key, parts, new FairPlacement(FairPlacementSettings.defaults())));
  }

  private List<PoolId> pools() {
    List<PoolId> pools = new ArrayList<>();
    for (Map.Entry<String, PoolSection> pool :
        parts.agreed().description().getPoolsMap().entrySet()) {
      if (pool.getValue().getKind().equals(WORKER_KIND)) {
        pools.add(new PoolId(pool.getKey()));
      }
    }
    return pools;
  }
}
