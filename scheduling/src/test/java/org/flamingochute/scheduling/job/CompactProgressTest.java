package org.flamingochute.scheduling.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.TaskCopy;
import org.flamingochute.schema.scheduling.TaskGroup;
import org.flamingochute.schema.scheduling.TaskProgress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against progress that is lost or changed in its compact form. */
class CompactProgressTest {
  private static final long BORN = 1_780_826_362_156L;

  private static TaskProgress.Builder task(int step, int index, TaskProgress.Phase phase) {
    return TaskProgress.newBuilder().setStep(step).setIndex(index).setPhase(phase).setAttempt(1);
  }

  private static TaskProgress.Builder assigned(int step, int index, String worker) {
    return task(step, index, TaskProgress.Phase.ASSIGNED)
        .setWorker(worker)
        .setWorkerBornMilliseconds(BORN);
  }

  private static List<TaskProgress> sorted(JobProgress progress) {
    List<TaskProgress> tasks = new ArrayList<>(progress.getTasksList());
    tasks.sort(
        Comparator.comparingInt(TaskProgress::getOccurrence)
            .thenComparingInt(TaskProgress::getStep)
            .thenComparingInt(TaskProgress::getIndex));
    return tasks;
  }

  private static TaskProgress randomTask(Random random, int step, int index) {
    TaskProgress.Phase[] phases = {
      TaskProgress.Phase.WAITING, TaskProgress.Phase.ASSIGNED, TaskProgress.Phase.DONE
    };
    TaskProgress.Phase phase = phases[random.nextInt(phases.length)];
    TaskProgress.Builder task =
        phase == TaskProgress.Phase.ASSIGNED
            ? assigned(step, index, "worker-" + random.nextInt(3))
            : task(step, index, phase);
    task.setOccurrence(random.nextInt(2)).setAttempt(1 + random.nextInt(2));
    if (random.nextInt(5) == 0) {
      task.setCheckpoint("checkpoint-" + index);
    }
    if (phase == TaskProgress.Phase.ASSIGNED && random.nextInt(5) == 0) {
      task.setCopy(TaskCopy.newBuilder().setAttempt(3).setWorker("other"));
    }
    return task.setFailures(random.nextInt(2)).build();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void expandedProgressHasTheSameTasks(long seed) {
    Random random = new Random(seed);
    JobProgress.Builder progress =
        JobProgress.newBuilder().setPhase(JobProgress.Phase.FAILED).setEndedMilliseconds(7);
    for (int step = 0; step < 3; step++) {
      for (int index = 0; index < 10; index++) {
        progress.addTasks(randomTask(random, step, index));
      }
    }
    JobProgress expanded = CompactProgress.expand(CompactProgress.compact(progress.build()));
    assertThat(sorted(expanded), equalTo(sorted(progress.build())));
    assertThat(expanded.getPhase(), is(JobProgress.Phase.FAILED));
    assertThat(expanded.getEndedMilliseconds(), is(7L));
  }

  /** Guards against a losing run that a successor does not stop, or a number that two runs get. */
  @ParameterizedTest
  @EnumSource(
      value = TaskProgress.Phase.class,
      names = {"WAITING", "ASSIGNED", "DONE"})
  void copiesAndUsedAttemptsAreKept(TaskProgress.Phase phase) {
    TaskCopy run =
        TaskCopy.newBuilder()
            .setAttempt(2)
            .setWorker("other")
            .setWorkerBornMilliseconds(BORN)
            .build();
    JobProgress progress =
        JobProgress.newBuilder()
            .addTasks(task(0, 0, phase).setCopy(run))
            .addTasks(task(0, 1, phase))
            .addTasks(task(0, 2, phase).setCopy(TaskCopy.newBuilder().setAttempt(2)))
            .build();
    JobProgress expanded = CompactProgress.expand(CompactProgress.compact(progress));
    assertThat(sorted(expanded), equalTo(sorted(progress)));
  }

  @Test
  void similarTasksTakeLessSpace() {
    JobProgress.Builder progress = JobProgress.newBuilder();
    for (int index = 0; index < 8; index++) {
      progress.addTasks(task(0, index, TaskProgress.Phase.DONE));
      progress.addTasks(assigned(1, index, index < 5 ? "i-da87436cdc" : "i-852c229b7f"));
    }
    int size = progress.build().getSerializedSize();
    assertThat(CompactProgress.compact(progress.build()).getSerializedSize(), lessThan(size / 2));
  }

  @Test
  void startedJobCountsAsStartedInTheCompactForm() {
    JobProgress progress =
        JobProgress.newBuilder().addTasks(assigned(0, 0, "i-da87436cdc")).build();
    assertThat(CompactProgress.hasTasks(CompactProgress.compact(progress)), is(true));
    assertThat(
        CompactProgress.hasTasks(CompactProgress.compact(JobProgress.getDefaultInstance())),
        is(false));
  }

  @Test
  void groupOfAnUnknownWorkerIsRefused() {
    JobProgress progress =
        JobProgress.newBuilder()
            .addGroups(TaskGroup.newBuilder().setWorker(2).addIndexes(0))
            .build();
    IllegalArgumentException error =
        assertThrows(IllegalArgumentException.class, () -> CompactProgress.validate(progress));
    assertThat(error.getMessage(), is("field worker: 2, more than 0"));
  }
}
