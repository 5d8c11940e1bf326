package org.flamingochute.scheduling.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.core.SchedulingFeatures;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.fleet.Team;
import org.flamingochute.scheduling.job.JobPhase;
import org.flamingochute.scheduling.simulation.SimulatedFleet;
import org.flamingochute.schema.scheduling.QueuePolicy;

/**
 * One schedule of random events and faults, determined by its seed.
 *
 * <p>In some schedules copies of slow runs are enabled. The simulated fleet checks at each step
 * that no task runs twice unless its step allows copies and they are enabled, that no team exceeds
 * its cap, that no acknowledged end is missing in the store, that every start is of a task whose
 * turn has come, with its own payload and checkpoint, and that no task starts in a data centre that
 * has been evacuated for 5 s. This class checks that after the last fault every job ends in time.
 */
final class RandomSchedule {
  private static final PoolId POOL = new PoolId("p");
  private static final String QUEUE = "q";
  private static final int WORKERS = 6;
  private static final ResourceVector CAPACITY = new ResourceVector(32_000, 65_536, 0);
  private static final ResourceVector TEAM_CAP = new ResourceVector(6_000, 0, 0);

  /** Evacuations use the complement of the seed, and would otherwise depend on the same numbers. */
  private static final long COPY_SEED_FACTOR = 1_000_003;

  private static final int MAXIMUM_ATTEMPTS = 4;
  private static final long CHECKPOINT_MILLISECONDS = 500;
  private static final long START_UP_MILLISECONDS = 300;
  private static final long FAULTS_MILLISECONDS = 15_000;
  private static final int LONGEST_PAUSE_MILLISECONDS = 400;

  /**
   * Time within which every job ends after the last fault. It covers the longest lease that may be
   * in force, 12.6 s, and three steps, each of which begins at most 3 s after its turn has come and
   * takes 2 s.
   */
  private static final long END_MILLISECONDS = 28_000;

  private static final long CHECK_INTERVAL_MILLISECONDS = 100;
  private static final double USUAL_TAIL = 0.3;

  /** Fillers of the disturbing image are paced where there are several. */
  private static final double DISTURBING_RISE = 0.25;

  /** Time within which paused fillers return to full pace once they do not disturb any more. */
  private static final long SPEED_UP_MILLISECONDS = 16_000;

  /** Additional time if first runs of three steps may be slow and get no copy. */
  private static final long SLOW_RUNS_MILLISECONDS =
      3 * 2_000 * (RandomJobs.SLOWEST_RUN_FACTOR - 1);

  private final Random random;
  private final SchedulingFeatures features;
  private final SimulatedFleet fleet;
  private final List<String> trace = new ArrayList<>();
  private final RandomJobs jobs;
  private final RandomFaults faults;
  private final Optional<RandomEvacuations> evacuations;

  /**
   * Creates a schedule in which data centres are evacuated now and then, with a combination of
   * optional parts that its seed determines.
   */
  RandomSchedule(long seed) {
    this(seed, featuresOf(seed), true);
  }

  /** Creates a schedule in which data centres are evacuated now and then. */
  RandomSchedule(long seed, SchedulingFeatures features) {
    this(seed, features, true);
  }

  private RandomSchedule(long seed, SchedulingFeatures features, boolean evacuates) {
    this.features = features;
    random = new Random(seed);
    fleet = new SimulatedFleet(declaration(), features);
    jobs =
        new RandomJobs(
            random,
            new Random(COPY_SEED_FACTOR * seed),
            features.speculativeCopies(),
            fleet,
            QUEUE,
            MAXIMUM_ATTEMPTS);
    faults = new RandomFaults(random, fleet, jobs);
    if (features.taskSeparation()) {
      jobs.addServingTasksAndFillers();
      fleet.tails().setUsualTail(USUAL_TAIL);
      fleet.tails().setRise(RandomJobs.DISTURBING_IMAGE, DISTURBING_RISE);
    }
    evacuations = evacuates ? Optional.of(new RandomEvacuations(seed, fleet)) : Optional.empty();
  }

  private static SchedulingFeatures featuresOf(long seed) {
    return SchedulingFeatures.builder()
        .learnedDurations(Math.floorMod(seed, 2) == 0)
        .speculativeCopies(Math.floorMod(seed, 4) == 2)
        .compactRecords(Math.floorMod(seed, 3) == 0)
        .build();
  }

  /** Creates a schedule without evacuations and optional parts. */
  static RandomSchedule withoutEvacuations(long seed) {
    return new RandomSchedule(seed, SchedulingFeatures.NONE, false);
  }

  private static FleetDeclaration declaration() {
    QueuePolicy policy =
        QueuePolicy.newBuilder()
            .setService(POOL.value())
            .setMaximumAttempts(MAXIMUM_ATTEMPTS)
            .setSlackFactor(2)
            .setObjectiveMilliseconds(600)
            .build();
    return FleetDeclaration.builder()
        .version(1)
        .queue(new Queue(new QueueId(QUEUE), "host", "/q/", 3_000, true, policy))
        .pool(new Pool(POOL, true, false))
        .team(new Team(new TeamId(RandomJobs.CAPPED_TEAM), Set.of(), 0, TEAM_CAP))
        .build();
  }

  /** Runs the schedule; fails if an invariant does not hold. */
  void run() {
    try {
      runUnreported();
    } catch (AssertionError e) {
      throw new AssertionError(e.getMessage() + "\n" + String.join("\n", trace), e);
    }
  }

  private void runUnreported() {
    fleet.setCheckpointInterval(CHECKPOINT_MILLISECONDS);
    for (int i = 0; i < WORKERS; i++) {
      String name = "w" + i;
      fleet.addWorker(
          name, POOL, CAPACITY, List.of("a", "r" + i % 2), RandomEvacuations.dataCentre(i));
      faults.onWorkerAdded(name);
    }
    fleet.advance(START_UP_MILLISECONDS);
    fleet.setCallFates(faults::nextCallFate);
    long faultsEndAt = fleet.now() + FAULTS_MILLISECONDS;
    while (fleet.now() < faultsEndAt) {
      long at = fleet.now();
      trace.add(at + " " + (random.nextInt(3) == 0 ? jobs.next() : faults.next()));
      evacuations.flatMap(RandomEvacuations::next).ifPresent(event -> trace.add(at + " " + event));
      fleet.advance(10 + 10 * random.nextInt(LONGEST_PAUSE_MILLISECONDS / 10));
    }
    faults.endAll();
    evacuations.ifPresent(RandomEvacuations::endAll);
    trace.add(fleet.now() + " no more faults");
    endInterference();
    checkEnds();
  }

  /** Ends the interference, since paused fillers never end. */
  private void endInterference() {
    if (features.taskSeparation()) {
      fleet.tails().setRise(RandomJobs.DISTURBING_IMAGE, 0);
      fleet.advance(SPEED_UP_MILLISECONDS);
    }
  }

  private void checkEnds() {
    long latest =
        fleet.now()
            + END_MILLISECONDS
            + (features.speculativeCopies() ? SLOW_RUNS_MILLISECONDS : 0);
    while (!jobs.openJobs().isEmpty() && fleet.now() < latest) {
      fleet.advance(CHECK_INTERVAL_MILLISECONDS);
    }
    List<String> open = jobs.openJobs();
    if (!open.isEmpty()) {
      throw new AssertionError("jobs do not end: " + open);
    }
    jobs.cancelLongRunning();
    fleet.advance(END_MILLISECONDS);
    for (JobId job : jobs.all()) {
      if (fleet.phase(job) == JobPhase.RUNNING || fleet.phase(job) == JobPhase.QUEUED) {
        throw new AssertionError("job " + job + " is open");
      }
    }
    if (fleet.runningCount() > 0) {
      throw new AssertionError("runs of ended jobs go on: " + fleet.runningTasks());
    }
  }
}
