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
import org.flamingochute.decision.maintenance.PoolGuard;
import org.flamingochute.decision.maintenance.PoolInstance;
import org.flamingochute.decision.maintenance.WaveState;
import org.flamingochute.decision.placement.FairPlacement;
import org.flamingochute.decision.placement.FairPlacementSettings;
import org.flamingochute.decision.placement.PlacementInput;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.decision.placement.RunningJob;
import org.flamingochute.decision.placement.TeamPart;
import org.flamingochute.decision.placement.WaitingJob;
import org.flamingochute.decision.placement.WorkerCondition;
import org.flamingochute.experiment.Experiment;
import org.flamingochute.experiment.Measurement;

/** Processor time of queue, placement and wave planning at a tenth, a half and the full size. */
public final class DecisionCostExperiment implements Experiment {

  private static final int[] PERCENT = {10, 50, 100};
  private static final int WORKERS = 1_400;
  private static final int POOLS = 96;
  private static final int TEAMS = 700;
  private static final int REPEATS = 20;

  @Override
  public String name() {
    return "decision-cost";
  }

  @Override
  public String description() {
    return "Processor time of one queue operation, one placement and one step of a wave.";
  }

  @Override
  public List<Measurement> run(long seed) {
    List<Measurement> found = new ArrayList<>();
    for (int percent : PERCENT) {
      String subject = percent + " %";
      int teams = TEAMS * percent / 100;
      int workers = WORKERS * percent / 100;
      found.add(new Measurement(subject, "queue", "offer and poll", "us", queue(teams)));
      found.add(new Measurement(subject, "pool of 15", "placement", "ms", placement(15, teams)));
      found.add(new Measurement(subject, "one pool", "placement", "ms", placement(workers, teams)));
      found.add(
          new Measurement(
              subject, "all pools", "wave step", "ms", wave(workers, POOLS * percent / 100)));
    }
    return found;
  }

  /** Returns the microseconds of an offer and a poll while 256 requests wait. */
  private static double queue(int teams) {
    FairRequestQueue<Integer> queue =
        new FairRequestQueue<>(FairQueueSettings.builder().build(), team -> 1);
    int operations = 20_000;
    long begin = 0;
    for (int i = 0; i < operations * 2; i++) {
      TeamId team = new TeamId("team-" + i % teams);
      begin = i == operations ? System.nanoTime() : begin;
      queue.offer(new QueuedRequest<>(team, 0, 1_000_000, i), 0);
      if (i >= 255) {
        queue.poll(0, id -> true);
      }
    }
    return (System.nanoTime() - begin) / 1e3 / operations;
  }

  private static double placement(int workers, int teams) {
    PlacementInput.Builder input = PlacementInput.builder();
    ResourceVector size = new ResourceVector(8_000, 16_384, 0);
    for (int i = 0; i < workers; i++) {
      InstanceId id = new InstanceId("worker-" + i);
      input.worker(new WorkerCondition(id, new ResourceVector(64_000, 131_072, 2)));
      for (int j = 0; j < 7; j++) {
        TeamId team = new TeamId("team-" + (i + j) % teams);
        JobId job = new JobId("running-" + i + "-" + j);
        input.running(new RunningJob(job, team, id, size, 0, false, true, false));
      }
    }
    for (int i = 0; i < teams; i++) {
      input.team(new TeamPart(new TeamId("team-" + i), 1, 100));
    }
    for (int i = 0; i < workers * 2; i++) {
      TeamId team = new TeamId("team-" + i % teams);
      input.waiting(WaitingJob.builder(new JobId("waiting-" + i), team).declared(size).build());
    }
    PlacementInput built = input.build();
    FairPlacement placement = new FairPlacement(FairPlacementSettings.defaults());
    placement.decide(built, 1_000);
    long begin = System.nanoTime();
    for (int i = 0; i < 3; i++) {
      placement.decide(built, 1_000);
    }
    return (System.nanoTime() - begin) / 1e6 / 3;
  }

  private static double wave(int workers, int pools) {
    List<PoolInstance> instances = new ArrayList<>();
    List<PoolGuard> guards = new ArrayList<>();
    for (int i = 0; i < pools; i++) {
      guards.add(new PoolGuard(new PoolId("pool-" + i), workers / pools - 3, 1));
    }
    for (int i = 0; i < workers; i++) {
      instances.add(
          new PoolInstance(
              new InstanceId("worker-" + i),
              new PoolId("pool-" + i % pools),
              new DataCentreId("dc-" + i % 12),
              new RackId("rack-" + i / 4),
              InstanceCondition.AVAILABLE,
              0));
    }
    Set<InstanceId> finished = new HashSet<>();
    WaveState state = new WaveState(guards, instances, finished, false);
    DomainWavePlanner planner = new DomainWavePlanner();
    planner.nextStops(state);
    long begin = System.nanoTime();
    for (int i = 0; i < REPEATS; i++) {
      planner.nextStops(state);
    }
    return (System.nanoTime() - begin) / 1e6 / REPEATS;
  }
}
