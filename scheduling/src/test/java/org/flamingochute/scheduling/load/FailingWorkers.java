package org.flamingochute.scheduling.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.job.JobPhase;
import org.flamingochute.scheduling.simulation.SimulatedFleet;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;

/**
 * A pool in which some workers fail all that they start for a while, under a steady load of short
 * jobs. It measures both wrongs that a scheduler can do: runs that are burnt on the broken workers,
 * and tasks that wait beside sound workers with free capacity.
 */
final class FailingWorkers {
  private static final long STEP_MILLISECONDS = 50;
  private static final PoolId POOL = new PoolId("p");
  private static final int CAPACITY_MILLICORES = 8_000;
  private static final int SHORT_MILLICORES = 5_000;
  private static final long SHORT_MILLISECONDS = 1_000;
  private static final int LASTING_MILLICORES = 1_000;
  private static final long LASTING_MILLISECONDS = Long.MAX_VALUE / 200;
  private static final int MAXIMUM_ATTEMPTS = 3;

  private final int workerCount;
  private final SimulatedFleet fleet;
  private final Set<String> broken = new HashSet<>();
  private final List<JobId> shortJobs = new ArrayList<>();
  private final Map<TaskId, Long> lastingTasksIdleSince = new HashMap<>();
  private int readCommands;
  private int burntRuns;
  private long longestIdleMilliseconds;

  FailingWorkers(int workerCount) {
    this.workerCount = workerCount;
    QueuePolicy policy =
        QueuePolicy.newBuilder()
            .setService(POOL.value())
            .setMaximumAttempts(MAXIMUM_ATTEMPTS)
            .setSlackFactor(2)
            .build();
    fleet =
        new SimulatedFleet(
            FleetDeclaration.builder()
                .version(1)
                .queue(new Queue(new QueueId("q"), "host", "/q/", 3_000, true, policy))
                .pool(new Pool(POOL, true, false))
                .build());
    ResourceVector capacity = new ResourceVector(CAPACITY_MILLICORES, 65_536, 0);
    for (int i = 0; i < workerCount; i++) {
      fleet.addWorker(nameOf(i), POOL, capacity, List.of());
    }
  }

  private static String nameOf(int worker) {
    return "w" + worker;
  }

  SimulatedFleet fleet() {
    return fleet;
  }

  /** Makes the first workers fail all that they start, and the others none. */
  void setFailing(int count) {
    broken.clear();
    for (int i = 0; i < workerCount; i++) {
      fleet.worker(nameOf(i)).setFailing(i < count);
      if (i < count) {
        broken.add(nameOf(i));
      }
    }
  }

  /** Lets time pass, during which a short job is submitted at each interval. */
  void advance(long milliseconds, long intervalMilliseconds) {
    long end = fleet.now() + milliseconds;
    long nextAt = fleet.now();
    while (fleet.now() < end) {
      for (; nextAt <= fleet.now(); nextAt += intervalMilliseconds) {
        submitShort(false);
      }
      step();
    }
  }

  /** Lets time pass without submissions. */
  void advance(long milliseconds) {
    for (long passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      step();
    }
  }

  private void step() {
    fleet.advance(STEP_MILLISECONDS);
    List<SchedulerCommand> commands = fleet.commands();
    for (; readCommands < commands.size(); readCommands++) {
      boolean isBurnt =
          commands.get(readCommands) instanceof SchedulerCommand.StartTask start
              && broken.contains(start.worker().id().value());
      burntRuns += isBurnt ? 1 : 0;
    }
    Set<String> running = new HashSet<>(fleet.runningTasks());
    for (Map.Entry<TaskId, Long> entry : lastingTasksIdleSince.entrySet()) {
      if (running.stream().anyMatch(run -> run.contains(entry.getKey().toString()))) {
        entry.setValue(fleet.now());
      }
      longestIdleMilliseconds = Math.max(longestIdleMilliseconds, fleet.now() - entry.getValue());
    }
  }

  /** Submits a job of one short task, which fails on every worker if it is hopeless. */
  JobId submitShort(boolean hopeless) {
    JobId id = new JobId("short-" + shortJobs.size());
    QueuedStep.Builder step =
        QueuedStep.newBuilder()
            .setCount(1)
            .setProcessorMillicores(SHORT_MILLICORES)
            .setEstimateMilliseconds(SHORT_MILLISECONDS);
    if (hopeless) {
      fleet.failRunsOf(id);
    }
    fleet.submit(id, jobOf(step), SHORT_MILLISECONDS);
    shortJobs.add(id);
    return id;
  }

  /** Submits a job of tasks that last, at most one of them on a worker. */
  void submitLasting(String name, int count) {
    JobId id = new JobId(name);
    QueuedStep.Builder step =
        QueuedStep.newBuilder()
            .setCount(count)
            .setProcessorMillicores(LASTING_MILLICORES)
            .setMaximumPerWorker(1)
            .setLongRunning(true);
    fleet.submit(id, jobOf(step), LASTING_MILLISECONDS);
    for (int index = 0; index < count; index++) {
      lastingTasksIdleSince.put(new TaskId(id, 0, 0, index), fleet.now());
    }
  }

  private QueuedJob jobOf(QueuedStep.Builder step) {
    return QueuedJob.newBuilder()
        .setQueue("q")
        .setAcceptedMilliseconds(fleet.now())
        .addSteps(step)
        .build();
  }

  /** Returns the number of starts on workers that were broken at the time. */
  int burntRuns() {
    return burntRuns;
  }

  /** Returns the longest time for which a task that lasts did not run. */
  long longestIdleMilliseconds() {
    return longestIdleMilliseconds;
  }

  /** Returns the number of short jobs that have failed. */
  long failedJobs() {
    return shortJobs.stream().filter(job -> fleet.phase(job) == JobPhase.FAILED).count();
  }

  /** Returns the number of short jobs that are neither completed nor failed. */
  long openJobs() {
    return shortJobs.stream()
        .filter(job -> fleet.phase(job) != JobPhase.COMPLETED)
        .filter(job -> fleet.phase(job) != JobPhase.FAILED)
        .count();
  }
}
