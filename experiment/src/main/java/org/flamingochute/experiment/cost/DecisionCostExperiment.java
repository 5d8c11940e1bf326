package org.flamingochute.experiment.cost;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.flamingochute.decision.admission.FairQueueSettings;
import org.flamingochute.decision.admission.FairRequestQueue;
import org.flamingochute.decision.admission.QueuedRequest;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.RackId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.maintenance.DomainWavePlanner;
import org.flamingochute.decision.maintenance.InstanceCondition;
import org.flamingochute.decision.maintenance.PoolInstance;
import org.flamingochute.decision.maintenance.PoolStopLimits;
import org.flamingochute.decision.maintenance.WaveState;
import org.flamingochute.decision.placement.FairPlacement;
import org.flamingochute.decision.placement.FairPlacementSettings;
import org.flamingochute.decision.placement.PlacementInput;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.decision.placement.RunningJob;
import org.flamingochute.decision.placement.TeamQuota;
import org.flamingochute.decision.placement.WaitingJob;
import org.flamingochute.decision.placement.WorkerCapacity;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;

/**
 * Measures the elapsed time of queue operations, placements and wave planning at 10, 50 and 100 %
 * of full size. Each measurement starts after a warm-up and returns the mean of its repetitions.
 */
public final class DecisionCostExperiment implements Experiment {

  private static final int[] SIZE_PERCENTAGES = {10, 50, 100};
  private static final int WORKER_COUNT = 1_400;
  private static final int POOL_COUNT = 96;
  private static final int TEAM_COUNT = 700;
  private static final int WAVE_STEP_REPETITIONS = 20;

  @Override
  public String name() {
    return "decision-cost";
  }

  @Override
  public String description() {
    return "Elapsed time of one queue operation, one placement and one wave step.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<Measurement> measurements = new ArrayList<>();
    for (int percent : SIZE_PERCENTAGES) {
      String subject = percent + " %";
      int teamCount = TEAM_COUNT * percent / 100;
      int workerCount = WORKER_COUNT * percent / 100;
      measurements.add(
          new Measurement(
              subject, "queue", "offer and poll", "us", measureQueueMicroseconds(teamCount)));
      measurements.add(
          new Measurement(
              subject,
              "pool of 15",
              "placement",
              "ms",
              measurePlacementMilliseconds(15, teamCount)));
      measurements.add(
          new Measurement(
              subject,
              "one pool",
              "placement",
              "ms",
              measurePlacementMilliseconds(workerCount, teamCount)));
      measurements.add(
          new Measurement(
              subject,
              "all pools",
              "wave step",
              "ms",
              measureWaveStepMilliseconds(workerCount, POOL_COUNT * percent / 100)));
    }
    return measurements;
  }

  /** Returns the time of an offer and a poll in microseconds while 255 requests wait. */
  private static double measureQueueMicroseconds(int teamCount) {
    FairRequestQueue<Integer> queue =
        new FairRequestQueue<>(FairQueueSettings.builder().build(), team -> 1);
    int operationCount = 20_000;
    long startNanoseconds = 0;
    for (int i = 0; i < operationCount * 2; i++) {
      TeamId team = new TeamId("team-" + i % teamCount);
      startNanoseconds = i == operationCount ? System.nanoTime() : startNanoseconds;
      queue.offer(new QueuedRequest<>(team, 0, 1_000_000, i), 0);
      if (i >= 255) {
        queue.poll(0, id -> true);
      }
    }
    return (System.nanoTime() - startNanoseconds) / 1e3 / operationCount;
  }

  private static double measurePlacementMilliseconds(int workerCount, int teamCount) {
    PlacementInput.Builder inputBuilder = PlacementInput.builder();
    ResourceVector declared = new ResourceVector(8_000, 16_384, 0);
    for (int i = 0; i < workerCount; i++) {
      InstanceId id = new InstanceId("worker-" + i);
      inputBuilder.worker(new WorkerCapacity(id, new ResourceVector(64_000, 131_072, 2)));
      for (int j = 0; j < 7; j++) {
        TeamId team = new TeamId("team-" + (i + j) % teamCount);
        JobId job = new JobId("running-" + i + "-" + j);
        inputBuilder.running(new RunningJob(job, team, id, declared, 0, false, true, false));
      }
    }
    for (int i = 0; i < teamCount; i++) {
      inputBuilder.team(new TeamQuota(new TeamId("team-" + i), 1, 100));
    }
    for (int i = 0; i < workerCount * 2; i++) {
      TeamId team = new TeamId("team-" + i % teamCount);
      inputBuilder.waiting(
          WaitingJob.builder(new JobId("waiting-" + i), team).declared(declared).build());
    }
    PlacementInput input = inputBuilder.build();
    FairPlacement placement = new FairPlacement(FairPlacementSettings.defaults());
    placement.decide(input, 1_000);
    long startNanoseconds = System.nanoTime();
    for (int i = 0; i < 3; i++) {
      placement.decide(input, 1_000);
    }
    return (System.nanoTime() - startNanoseconds) / 1e6 / 3;
  }

  private static double measureWaveStepMilliseconds(int workerCount, int poolCount) {
    List<PoolInstance> instances = new ArrayList<>();
    List<PoolStopLimits> limits = new ArrayList<>();
    for (int i = 0; i < poolCount; i++) {
      limits.add(new PoolStopLimits(new PoolId("pool-" + i), workerCount / poolCount - 3, 1));
    }
    for (int i = 0; i < workerCount; i++) {
      instances.add(
          new PoolInstance(
              new InstanceId("worker-" + i),
              new PoolId("pool-" + i % poolCount),
              new DataCentreId("dc-" + i % 12),
              new RackId("rack-" + i / 4),
              InstanceCondition.AVAILABLE,
              0));
    }
    Set<InstanceId> finished = new HashSet<>();
    WaveState state = new WaveState(limits, instances, finished, false);
    DomainWavePlanner planner = new DomainWavePlanner();
    planner.nextStops(state);
    long startNanoseconds = System.nanoTime();
    for (int i = 0; i < WAVE_STEP_REPETITIONS; i++) {
      planner.nextStops(state);
    }
    return (System.nanoTime() - startNanoseconds) / 1e6 / WAVE_STEP_REPETITIONS;
  }
}
