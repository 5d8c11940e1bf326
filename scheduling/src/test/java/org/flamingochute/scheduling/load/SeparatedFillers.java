package org.flamingochute.scheduling.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
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
 * Serving tasks on half of the workers, and bursts of fillers of two images, of which one disturbs
 * the serving tasks.
 *
 * <p>Fillers do not fit on the workers without serving tasks alone, but those of the disturbing
 * image do.
 */
final class SeparatedFillers {
  private static final long STEP_MILLISECONDS = 100;
  private static final long LEAD_IN_MILLISECONDS = 10_000;
  private static final long BURST_INTERVAL_MILLISECONDS = 15_000;
  private static final ResourceVector MACHINE = new ResourceVector(8_000, 16_384, 0);
  private static final int WORKERS = 16;
  private static final int SERVING_TASKS = 8;
  private static final int FILLER_MEBIBYTES = 4_096;
  private static final int SHORTEST_FILLER_MILLISECONDS = 2_000;
  private static final int LONGEST_FILLER_MILLISECONDS = 6_000;
  private static final String DISTURBING = "disturbing";
  private static final String CALM = "calm";

  private final SimulatedFleet fleet;
  private final Random random;
  private final List<JobId> openFillers = new ArrayList<>();
  private final int disturbingCount;
  private final int calmCount;
  private long replaceLeaderAt = Long.MAX_VALUE;
  private int submitted;
  private int completed;

  /**
   * What the load cost.
   *
   * @param aboveTargetMilliseconds time for which serving tasks exceeded their targets, as a sum
   *     over the tasks
   * @param completedFillers fillers that completed
   */
  record Result(long aboveTargetMilliseconds, int completedFillers) {}

  SeparatedFillers(boolean separation, int disturbingCount, int calmCount, long seed) {
    random = new Random(seed);
    this.disturbingCount = disturbingCount;
    this.calmCount = calmCount;
    PoolId pool = new PoolId("p");
    QueuePolicy policy =
        QueuePolicy.newBuilder().setService(pool.value()).setMaximumAttempts(3).build();
    FleetDeclaration declaration =
        FleetDeclaration.builder()
            .version(1)
            .queue(new Queue(new QueueId("q"), "host", "/", 3_000, true, policy))
            .pool(new Pool(pool, true, false))
            .build();
    fleet =
        new SimulatedFleet(
            declaration, SchedulingFeatures.builder().taskSeparation(separation).build());
    fleet.tails().setUsualTail(0.4);
    fleet.tails().setNoise(0.15);
    fleet.tails().setRise(DISTURBING, 0.35);
    fleet.tails().setRise(CALM, 0.02);
    for (int worker = 0; worker < WORKERS; worker++) {
      fleet.addWorker("worker-" + worker, pool, MACHINE, List.of());
      fleet.tails().setExtraTail("worker-" + worker, 0.05 * (worker % 3));
    }
  }

  /** Replaces the leader at the given time after the start of the load. */
  SeparatedFillers replaceLeaderAt(long milliseconds) {
    replaceLeaderAt = milliseconds;
    return this;
  }

  /** Plays the load. */
  Result play(long milliseconds) {
    fleet.advance(STEP_MILLISECONDS);
    submit(
        "serving",
        QueuedStep.newBuilder()
            .setCount(SERVING_TASKS)
            .setMaximumPerWorker(1)
            .setProcessorMillicores(2_000)
            .setMemoryMebibytes(2_048)
            .setLongRunning(true)
            .setImage("web")
            .setTailTargetMilliseconds(200),
        Long.MAX_VALUE / 200);
    fleet.advance(LEAD_IN_MILLISECONDS);
    for (long elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
      if (elapsed == replaceLeaderAt) {
        fleet.replaceLeader(true);
      }
      if (elapsed % BURST_INTERVAL_MILLISECONDS == 0) {
        submitBurst();
      }
      fleet.advance(STEP_MILLISECONDS);
      removeCompleted();
    }
    return new Result(fleet.tails().millisecondsAboveTarget(), completed);
  }

  /** Submits the fillers of one burst, in random order. */
  private void submitBurst() {
    List<String> images = new ArrayList<>();
    images.addAll(Collections.nCopies(disturbingCount, DISTURBING));
    images.addAll(Collections.nCopies(calmCount, CALM));
    Collections.shuffle(images, random);
    images.forEach(this::submitFiller);
  }

  private void submitFiller(String image) {
    int milliseconds =
        random.nextInt(SHORTEST_FILLER_MILLISECONDS, LONGEST_FILLER_MILLISECONDS + 1);
    openFillers.add(
        submit(
            image,
            QueuedStep.newBuilder()
                .setCount(1)
                .setProcessorMillicores(1_000)
                .setMemoryMebibytes(FILLER_MEBIBYTES)
                .setEstimateMilliseconds(milliseconds)
                .setImage(image)
                .setFiller(true),
            milliseconds));
  }

  private JobId submit(String name, QueuedStep.Builder step, long taskMilliseconds) {
    JobId id = new JobId(name + "-" + submitted++);
    QueuedJob job =
        QueuedJob.newBuilder()
            .setQueue("q")
            .setAcceptedMilliseconds(fleet.now())
            .addSteps(step)
            .build();
    fleet.submit(id, job, taskMilliseconds);
    return id;
  }

  private void removeCompleted() {
    int before = openFillers.size();
    openFillers.removeIf(job -> fleet.phase(job) == JobPhase.COMPLETED);
    completed += before - openFillers.size();
  }
}
