package org.flamingochute.scheduling.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.core.SchedulingFeatures;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.job.JobPhase;
import org.flamingochute.scheduling.simulation.SimulatedFleet;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;

/**
 * Jobs of several images that compete for a pool, which is full in each load peak. The estimates of
 * an image are its durations multiplied by a factor.
 */
final class WrongEstimates {

  /**
   * Tasks that behave alike.
   *
   * @param durationMilliseconds duration of a task, in the mean of all jobs
   * @param estimateFactor ratio of estimates to durations
   */
  record Image(String name, long durationMilliseconds, double estimateFactor) {}

  private static final PoolId POOL = new PoolId("p");
  private static final QueueId QUEUE = new QueueId("q");
  private static final int WORKERS = 8;
  private static final ResourceVector CAPACITY = new ResourceVector(4_000, 8_000, 0);
  private static final int TASKS = 4;
  private static final double SLACK_FACTOR = 2;
  private static final long OBJECTIVE_MILLISECONDS = 600;
  private static final long DURATION_MILLISECONDS = 60_000;
  private static final long PEAK_INTERVAL_MILLISECONDS = 15_000;
  private static final long PEAK_MILLISECONDS = 4_500;

  /** Half as long as the pool takes for a job, so that jobs compete for it in each load peak. */
  private static final long PEAK_ARRIVAL_MILLISECONDS = 60;

  private static final long ARRIVAL_MILLISECONDS = 1_000;
  private static final long STEP_MILLISECONDS = 10;

  private final SimulatedFleet fleet;
  private final Random random;
  private final List<Image> images;
  private final Map<JobId, Long> objectiveEnds = new HashMap<>();
  private final List<JobId> open = new ArrayList<>();
  private int jobsInTime;

  WrongEstimates(long seed, boolean learned, List<Image> images) {
    fleet =
        new SimulatedFleet(
            declaration(), SchedulingFeatures.builder().learnedDurations(learned).build());
    random = new Random(seed);
    this.images = List.copyOf(images);
  }

  private static FleetDeclaration declaration() {
    return FleetDeclaration.builder()
        .version(1)
        .queue(new Queue(QUEUE, "host", "/q/", 60_000, true, policy()))
        .pool(new Pool(POOL, true, false))
        .build();
  }

  private static QueuePolicy policy() {
    return QueuePolicy.newBuilder()
        .setService(POOL.value())
        .setMaximumAttempts(4)
        .setSlackFactor(SLACK_FACTOR)
        .setObjectiveMilliseconds(OBJECTIVE_MILLISECONDS)
        .build();
  }

  /** Runs all load peaks; returns the number of jobs that end within their true objectives. */
  int run() {
    for (int i = 0; i < WORKERS; i++) {
      fleet.addWorker("w" + i, POOL, CAPACITY, List.of());
    }
    fleet.advance(500);
    long startedAt = fleet.now();
    long nextArrivalAt = startedAt;
    while (fleet.now() < startedAt + DURATION_MILLISECONDS || !open.isEmpty()) {
      long elapsed = fleet.now() - startedAt;
      if (fleet.now() >= nextArrivalAt && elapsed < DURATION_MILLISECONDS) {
        submit();
        boolean isPeak = elapsed % PEAK_INTERVAL_MILLISECONDS < PEAK_MILLISECONDS;
        nextArrivalAt = fleet.now() + (isPeak ? PEAK_ARRIVAL_MILLISECONDS : ARRIVAL_MILLISECONDS);
      }
      fleet.advance(STEP_MILLISECONDS);
      open.removeIf(this::hasEnded);
    }
    return jobsInTime;
  }

  private void submit() {
    Image image = images.get(random.nextInt(images.size()));
    long milliseconds =
        Math.round(image.durationMilliseconds() * (0.8 + 0.4 * random.nextDouble()));
    QueuedStep step =
        QueuedStep.newBuilder()
            .setCount(TASKS)
            .setImage(image.name())
            .setProcessorMillicores(1_000)
            .setMemoryMebibytes(100)
            .setEstimateMilliseconds(Math.round(milliseconds * image.estimateFactor()))
            .build();
    JobId id = new JobId("j" + objectiveEnds.size());
    QueuedJob job =
        QueuedJob.newBuilder()
            .setQueue(QUEUE.value())
            .setPolicy(policy())
            .setAcceptedMilliseconds(fleet.now())
            .addSteps(step)
            .build();
    long objective = Math.round(SLACK_FACTOR * milliseconds) + OBJECTIVE_MILLISECONDS;
    objectiveEnds.put(id, fleet.now() + objective);
    open.add(id);
    fleet.submit(id, job, milliseconds);
  }

  private boolean hasEnded(JobId id) {
    if (fleet.phase(id) != JobPhase.COMPLETED) {
      return false;
    }
    jobsInTime += fleet.now() <= objectiveEnds.get(id) ? 1 : 0;
    return true;
  }
}
