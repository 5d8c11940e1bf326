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
import org.flamingochute.engine.log.ApplyListener;
import org.flamingochute.engine.task.RepeatingTask;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.PoolSection;

/** The placers of all worker pools; a placer is active only while this entry owns its epoch. */
public final class JobPlacers implements ApplyListener {

  /** Minimum time between polls of a worker; a poll renews the leases of its tasks. */
  private static final Duration MINIMUM_POLL_INTERVAL = Duration.ofMillis(250);

  /** Minimum mean time between polls, over all workers: at most 100 polls per second. */
  private static final Duration WORKER_POLL_SPACING = Duration.ofMillis(10);

  private static final String WORKER_KIND = "worker";

  private final JobDependencies dependencies;
  private final Map<PoolId, JobPlacer> placers = new ConcurrentHashMap<>();
  private final RepeatingTask polls;

  /** Creates placers that are not started. */
  public JobPlacers(JobDependencies dependencies) {
    this.dependencies = dependencies;
    this.polls =
        RepeatingTask.of(
            "placers",
            dependencies.timers(),
            MINIMUM_POLL_INTERVAL,
            this::poll,
            dependencies.metrics());
  }

  /** Starts claiming pools and placing jobs. */
  public void start() {
    polls.start();
  }

  /** Stops claiming pools and placing jobs. */
  public void stop() {
    polls.stop();
  }

  /** Returns the number of waiting jobs of a team in the pools whose placer is this entry. */
  public int waiting(TeamId team) {
    int total = 0;
    for (PoolId pool : pools()) {
      if (dependencies.coordinator().ownEpoch(pool).isEmpty()) {
        continue;
      }
      for (JobImage job : dependencies.agreed().jobs(pool, JobPhase.JOB_WAITING)) {
        if (job.getSubmitted().getTeam().equals(team.value())) {
          total++;
        }
      }
    }
    return total;
  }

  /** Returns whether no attempt record is being appended and no attempt is being sent. */
  public boolean isIdle() {
    for (JobPlacer placer : placers.values()) {
      if (!placer.isIdle()) {
        return false;
      }
    }
    return true;
  }

  /** Places jobs, after tokens or capacity may have become free. */
  public void placeJobs() {
    if (!polls.isRunning()) {
      return;
    }
    for (PoolId pool : pools()) {
      placer(pool).placeJobs();
    }
  }

  @Override
  public void afterApply() {
    placeJobs();
  }

  private void poll() {
    Duration interval = workerPollInterval();
    for (PoolId pool : pools()) {
      dependencies.coordinator().claimIfVacant(pool);
      placer(pool).pollWorkers(interval);
    }
    placeJobs();
  }

  /** Returns an interval that bounds the polls per second for any number of workers. */
  private Duration workerPollInterval() {
    int workers = 0;
    for (PoolId pool : pools()) {
      if (dependencies.coordinator().ownEpoch(pool).isPresent()) {
        workers += dependencies.agreed().instances(pool).size();
      }
    }
    Duration spread = WORKER_POLL_SPACING.multipliedBy(workers);
    return spread.compareTo(MINIMUM_POLL_INTERVAL) > 0 ? spread : MINIMUM_POLL_INTERVAL;
  }

  private JobPlacer placer(PoolId pool) {
    return placers.computeIfAbsent(
        pool,
        key ->
            new JobPlacer(key, dependencies, new FairPlacement(FairPlacementSettings.defaults())));
  }

  private List<PoolId> pools() {
    List<PoolId> pools = new ArrayList<>();
    for (Map.Entry<String, PoolSection> pool :
        dependencies.agreed().description().getPoolsMap().entrySet()) {
      if (pool.getValue().getKind().equals(WORKER_KIND)) {
        pools.add(new PoolId(pool.getKey()));
      }
    }
    return pools;
  }
}
