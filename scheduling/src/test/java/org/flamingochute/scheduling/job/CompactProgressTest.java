package org.flamingochute.scheduling.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.Descriptors.FieldDescriptor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.TaskCopy;
import org.flamingochute.schema.scheduling.TaskGroup;
import org.flamingochute.schema.scheduling.TaskProgress;
import org.flamingochute.schema.scheduling.WorkerIncarnation;
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

  /** Guards against a field of a task that a later version adds and that groups do not express. */
  @Test
  void everyFieldOfTaskIsKept() {
    for (FieldDescriptor field : TaskProgress.getDescriptor().getFields()) {
      TaskProgress task =
          task(1, 2, TaskProgress.Phase.DONE).setField(field, valueOf(field)).build();
      JobProgress progress = JobProgress.newBuilder().addTasks(task).build();
      JobProgress expanded = CompactProgress.expand(CompactProgress.compact(progress));
      assertThat(field.getName(), expanded, equalTo(progress));
    }
  }

  private static Object valueOf(FieldDescriptor field) {
    return switch (field.getJavaType()) {
      case INT -> 7;
      case LONG -> 7L;
      case BOOLEAN -> true;
      case STRING -> "text";
      case ENUM -> field.getEnumType().getValues().getLast();
      case MESSAGE -> TaskCopy.newBuilder().setAttempt(2).build();
      default -> throw new AssertionError("no value for the type of " + field);
    };
  }

  @ParameterizedTest
  @ValueSource(ints = {2, -1, Integer.MIN_VALUE})
  void groupOfAnUnknownWorkerIsRefused(int worker) {
    JobProgress progress =
        JobProgress.newBuilder()
            .addGroups(TaskGroup.newBuilder().setWorker(worker).addIndexes(0))
            .build();
    assertRefused(progress, "field worker: " + worker + ", not in 0 to 0");
  }

  private static void assertRefused(JobProgress progress, String message) {
    IllegalArgumentException error =
        assertThrows(IllegalArgumentException.class, () -> CompactProgress.validate(progress));
    assertThat(error.getMessage(), is(message));
  }

  /** Such a record would make the node fail that takes over the leadership. */
  @Test
  void assignedTaskWithoutValidWorkerIsRefused() {
    TaskGroup.Builder group = TaskGroup.newBuilder().setPhase(TaskProgress.Phase.ASSIGNED);
    assertRefused(
        JobProgress.newBuilder().addGroups(group).build(),
        "field worker: missing for an assigned task");
    assertRefused(
        JobProgress.newBuilder().addTasks(task(0, 0, TaskProgress.Phase.ASSIGNED)).build(),
        "field worker: missing for an assigned task");
    assertRefused(
        JobProgress.newBuilder()
            .addWorkers(WorkerIncarnation.getDefaultInstance())
            .addGroups(group.setWorker(1))
            .build(),
        "field workers: \"\"");
  }

  /** A task whose phase is not known may be done, so it must not count as waiting. */
  @Test
  void unknownPhaseIsRefused() {
    assertRefused(JobProgress.newBuilder().setPhaseValue(9).build(), "field phase: 9");
    assertRefused(
        JobProgress.newBuilder().addTasks(TaskProgress.newBuilder().setPhaseValue(9)).build(),
        "field phase of a task: unknown value");
    assertRefused(
        JobProgress.newBuilder().addGroups(TaskGroup.newBuilder().setPhaseValue(9)).build(),
        "field phase of a task: unknown value");
  }

  /** Guards against a check that refuses what the scheduler writes. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void writtenProgressIsValid(long seed) {
    Random random = new Random(seed);
    JobProgress.Builder progress = JobProgress.newBuilder();
    for (int index = 0; index < 30; index++) {
      progress.addTasks(randomTask(random, 0, index));
    }
    CompactProgress.validate(progress.build());
    CompactProgress.validate(CompactProgress.compact(progress.build()));
  }
}
