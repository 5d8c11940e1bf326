package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.scheduling.duration.LearnedDurations;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.Test;

/** The kept lengths of critical paths must be those that are computed anew for each pass. */
class CriticalPathTest {
  private static final String QUEUE = "q";
  private static final int ROUNDS = 300;
  private static final int MAXIMUM_STEPS = 6;
  private static final int MAXIMUM_TASKS = 3;

  private final Random random = new Random(1);
  private final LearnedDurations durations = new LearnedDurations();

  private Job randomJob(int number) {
    QueuedJob.Builder definition =
        QueuedJob.newBuilder().setQueue(QUEUE).setAcceptedMilliseconds(random.nextInt(3_000));
    int steps = 1 + random.nextInt(MAXIMUM_STEPS);
    for (int step = 0; step < steps; step++) {
      QueuedStep.Builder added =
          QueuedStep.newBuilder()
              .setCount(1 + random.nextInt(MAXIMUM_TASKS))
              .setImage("i" + random.nextInt(3))
              .setLongRunning(random.nextInt(20) == 0)
              .setEstimateMilliseconds(100 * random.nextInt(10));
      for (int dependency = 0; dependency < step; dependency++) {
        if (random.nextBoolean()) {
          added.addDependencies(dependency);
        }
      }
      definition.addSteps(added);
    }
    QueuePolicy policy =
        QueuePolicy.newBuilder()
            .setService("p")
            .setSlackFactor(2)
            .setObjectiveMilliseconds(600)
            .setPriority(random.nextInt(2))
            .build();
    Job job = new Job(new JobId("j" + number), definition.build(), policy, durations);
    job.addDueOccurrences(0);
    job.overTeamRate = random.nextInt(4) == 0;
    return job;
  }

  private long pathOf(Job job, boolean includeDone) {
    Occurrence occurrence = job.occurrences.getFirst();
    List<Long> ends = new ArrayList<>();
    long longest = 0;
    for (int step = 0; step < occurrence.stepCount(); step++) {
      QueuedStep definition = job.definition.getSteps(step);
      long end =
          includeDone || !occurrence.isStepDone(step)
              ? durations.expectedMilliseconds(definition, QUEUE)
              : 0;
      long begin = 0;
      for (int dependency : definition.getDependenciesList()) {
        begin = Math.max(begin, ends.get(dependency));
      }
      ends.add(begin + end);
      longest = Math.max(longest, begin + end);
    }
    return longest;
  }

  private void check(Job job) {
    Occurrence occurrence = job.occurrences.getFirst();
    assertThat(occurrence.criticalPathMilliseconds(), is(pathOf(job, true)));
    assertThat(occurrence.remainingCriticalPathMilliseconds(), is(pathOf(job, false)));
  }

  private void completeTasks(Job job) {
    Occurrence occurrence = job.occurrences.getFirst();
    int allTasks = 0;
    for (int step = 0; step < occurrence.stepCount(); step++) {
      for (int i = 0; i < occurrence.tasksOf(step).length; i++) {
        assertThat(occurrence.isDone(), is(false));
        occurrence.markTaskDone(step);
        allTasks++;
        check(job);
      }
    }
    assertThat(occurrence.isDone(), is(allTasks > 0));
  }

  private void learn() {
    QueuedStep step =
        QueuedStep.newBuilder()
            .setImage("i" + random.nextInt(3))
            .setEstimateMilliseconds(100)
            .build();
    long milliseconds = 100 + random.nextInt(2_000);
    for (int i = 0; i < 40; i++) {
      durations.observe(step, QUEUE, milliseconds);
    }
  }

  // Guards against a kept length that is outdated after a step was done or a duration learned.
  @Test
  void lengthsFollowDoneStepsAndLearnedDurations() {
    for (int i = 0; i < ROUNDS; i++) {
      Job job = randomJob(i);
      check(job);
      learn();
      check(job);
      completeTasks(job);
    }
  }

  // Guards against an objective that is computed from other durations than the remaining path.
  @Test
  void objectiveFollowsLearnedDurations() {
    QueuedStep step =
        QueuedStep.newBuilder().setCount(1).setImage("i").setEstimateMilliseconds(100).build();
    QueuedJob definition = QueuedJob.newBuilder().setQueue(QUEUE).addSteps(step).build();
    QueuePolicy policy =
        QueuePolicy.newBuilder()
            .setService("p")
            .setSlackFactor(3)
            .setObjectiveMilliseconds(600)
            .build();
    Job job = new Job(new JobId("j"), definition, policy, durations);
    job.addDueOccurrences(0);
    assertThat(UrgencyOrder.latestStartMilliseconds(job), is(300L + 600 - 100));
    for (int i = 0; i < 20; i++) {
      durations.observe(step, QUEUE, 1_000);
    }
    assertThat(UrgencyOrder.latestStartMilliseconds(job), is(3_000L + 600 - 1_000));
  }

  // Guards against a faster comparison that sorts jobs in another order than the rules say.
  @Test
  void orderIsThatOfTheRules() {
    for (int i = 0; i < ROUNDS; i++) {
      List<Job> jobs = new ArrayList<>();
      for (int number = 0; number < 20; number++) {
        jobs.add(randomJob(number));
      }
      final long now = random.nextInt(6_000);
      List<Job> expected = new ArrayList<>(jobs);
      expected.sort(
          Comparator.comparing((Job job) -> !job.longRunning)
              .thenComparingInt(job -> job.policy.getPriority())
              .thenComparing((Job job) -> job.overTeamRate)
              .thenComparing(job -> UrgencyOrder.latestStartMilliseconds(job) < now)
              .thenComparingLong(UrgencyOrder::latestStartMilliseconds));
      new UrgencyOrder().sortByUrgency(jobs, now);
      assertThat(jobs, is(expected));
    }
  }
}
