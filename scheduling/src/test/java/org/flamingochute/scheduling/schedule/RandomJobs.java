package org.flamingochute.scheduling.schedule;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.scheduling.job.JobPhase;
import org.flamingochute.scheduling.simulation.SimulatedFleet;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;

/** Submits and cancels random jobs. */
final class RandomJobs {
  private static final int MAXIMUM_STEPS = 3;
  private static final int MAXIMUM_TASKS = 4;
  private static final int MAXIMUM_TASK_MILLISECONDS = 2_000;
  private static final long ENDLESS_MILLISECONDS = 1_000_000;
  private static final long TAIL_TARGET_MILLISECONDS = 200;

  /** Team of every second batch job if copies are enabled; its cap holds some of them back. */
  static final String CAPPED_TEAM = "capped";

  static final String DISTURBING_IMAGE = "disturbing";

  /** Factor by which some first runs are slower if copies are enabled. */
  private static final int SLOW_RUN_FACTOR = 5;

  /** Factor of others, with which a run that nobody stops goes on long after its job's end. */
  static final int SLOWEST_RUN_FACTOR = 10;

  private final Random random;
  private final SimulatedFleet fleet;
  private final String queue;
  private final int maximumAttempts;

  /** Chooses steps and runs for copies; separate, so that it changes no other choice of a seed. */
  private final Random copyRandom;

  private final boolean copiesEnabled;
  private final Map<JobId, QueuedJob> jobs = new LinkedHashMap<>();
  private boolean serving;

  RandomJobs(
      Random random,
      Random copyRandom,
      boolean copiesEnabled,
      SimulatedFleet fleet,
      String queue,
      int maximumAttempts) {
    this.random = random;
    this.copyRandom = copyRandom;
    this.copiesEnabled = copiesEnabled;
    this.fleet = fleet;
    this.queue = queue;
    this.maximumAttempts = maximumAttempts;
  }

  /** Makes long-running tasks serving tasks, and the others fillers of two images. */
  void addServingTasksAndFillers() {
    serving = true;
  }

  /** Submits or cancels a job; returns a description. */
  String next() {
    int kind = random.nextInt(20);
    if (kind < 3 && !jobs.isEmpty()) {
      JobId cancelled = List.copyOf(jobs.keySet()).get(random.nextInt(jobs.size()));
      fleet.cancel(cancelled);
      return "cancel " + cancelled;
    }
    JobId id = new JobId("j" + jobs.size());
    QueuedJob.Builder job =
        QueuedJob.newBuilder()
            .setQueue(queue)
            .setPayload("payload of " + id)
            .setPolicy(QueuePolicy.newBuilder().setMaximumAttempts(maximumAttempts))
            .setAcceptedMilliseconds(fleet.now());
    if (kind >= 5 && copiesEnabled && jobs.size() % 2 == 0) {
      job.setOrganisation(CAPPED_TEAM);
    }
    if (kind < 5) {
      QueuedStep.Builder step = randomStep().setLongRunning(true);
      if (serving) {
        step.setImage("web").setTailTargetMilliseconds(TAIL_TARGET_MILLISECONDS);
      }
      job.addSteps(step);
      return submit(id, job.build(), ENDLESS_MILLISECONDS, false);
    }
    int steps = 1 + random.nextInt(MAXIMUM_STEPS);
    for (int step = 0; step < steps; step++) {
      QueuedStep.Builder added = randomStep();
      if (step > 0 && random.nextBoolean()) {
        added.addDependencies(step - 1);
      }
      if (serving) {
        added.setFiller(true).setImage(jobs.size() % 2 == 0 ? DISTURBING_IMAGE : "calm");
      }
      job.addSteps(added);
    }
    long taskMilliseconds = 50 + 10 * random.nextInt(MAXIMUM_TASK_MILLISECONDS / 10 - 5);
    return submit(id, job.build(), taskMilliseconds, kind == 5);
  }

  private QueuedStep.Builder randomStep() {
    return QueuedStep.newBuilder()
        .setCount(1 + random.nextInt(MAXIMUM_TASKS))
        .setProcessorMillicores(1_000)
        .setMemoryMebibytes(100)
        .setEstimateMilliseconds(1_000)
        .setSpeculative(copyRandom.nextInt(3) > 0)
        .setMaximumPerWorker(random.nextInt(4) == 0 ? 1 : 0);
  }

  private String submit(JobId id, QueuedJob job, long taskMilliseconds, boolean failing) {
    jobs.put(id, job);
    if (failing) {
      fleet.failRunsOf(id);
    }
    if (copiesEnabled) {
      slowDownFirstRuns(id, job);
    }
    fleet.submit(id, job, taskMilliseconds);
    StringBuilder description = new StringBuilder("submit " + id + " run=" + taskMilliseconds);
    for (QueuedStep step : job.getStepsList()) {
      description.append(" step=").append(step.getCount());
      description.append(step.getSpeculative() ? ",speculative" : "");
      step.getDependenciesList().forEach(number -> description.append(",after:").append(number));
    }
    return description.append(failing ? " failing" : "").toString();
  }

  private void slowDownFirstRuns(JobId id, QueuedJob job) {
    for (int step = 0; step < job.getStepsCount(); step++) {
      for (int index = 0; index < job.getSteps(step).getCount(); index++) {
        if (copyRandom.nextInt(3) == 0) {
          int factor = copyRandom.nextInt(4) == 0 ? SLOWEST_RUN_FACTOR : SLOW_RUN_FACTOR;
          fleet.slowDownFirstRun(new TaskId(id, 0, step, index), factor);
        }
      }
    }
  }

  List<JobId> all() {
    return List.copyOf(jobs.keySet());
  }

  /** Returns the jobs that have not ended, or of which a long-running task does not run. */
  List<String> openJobs() {
    List<String> open = new ArrayList<>();
    for (Map.Entry<JobId, QueuedJob> entry : jobs.entrySet()) {
      JobId id = entry.getKey();
      JobPhase phase = fleet.phase(id);
      boolean isOpen = phase == JobPhase.RUNNING || phase == JobPhase.QUEUED;
      QueuedStep first = entry.getValue().getSteps(0);
      boolean isServing = first.getLongRunning() && fleet.runningCountOf(id) == first.getCount();
      if (isOpen && !isServing) {
        open.add(id + " " + phase);
      }
    }
    return open;
  }

  void cancelLongRunning() {
    jobs.forEach(
        (id, job) -> {
          if (job.getSteps(0).getLongRunning()) {
            fleet.cancel(id);
          }
        });
  }
}
