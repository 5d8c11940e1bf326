package org.flamingochute.scheduling.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.decision.identity.Identifiers;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.TaskGroup;
import org.flamingochute.schema.scheduling.TaskProgress;
import org.flamingochute.schema.scheduling.WorkerIncarnation;

/**
 * Converts the progress of a job to and from a compact form: tasks of a step that differ only in
 * their index form one group, and each worker is named once. Tasks with a checkpoint, a copy or a
 * repeated start keep an entry of their own.
 */
public final class CompactProgress {
  private CompactProgress() {}

  private record GroupKey(
      int occurrence,
      int step,
      TaskProgress.Phase phase,
      int attempt,
      int failures,
      WorkerKeyFields worker) {}

  private record WorkerKeyFields(String worker, long born) {}

  /** Returns the progress with its tasks in groups, except those that a group cannot express. */
  public static JobProgress compact(JobProgress progress) {
    JobProgress.Builder compact = progress.toBuilder().clearTasks();
    Map<WorkerKeyFields, Integer> positions = new HashMap<>();
    Map<GroupKey, TaskGroup.Builder> groups = new HashMap<>();
    List<TaskGroup.Builder> ordered = new ArrayList<>();
    for (TaskProgress task : progress.getTasksList()) {
      if (!isGroupable(task)) {
        compact.addTasks(task);
        continue;
      }
      TaskGroup.Builder group =
          groups.computeIfAbsent(
              keyOf(task),
              key -> {
                TaskGroup.Builder added = newGroup(key, positionOf(key, positions, compact));
                ordered.add(added);
                return added;
              });
      group.addIndexes(task.getIndex());
    }
    ordered.forEach(compact::addGroups);
    return compact.build();
  }

  private static boolean isGroupable(TaskProgress task) {
    boolean isWorkerNamed = !task.getWorker().isEmpty() || task.getWorkerBornMilliseconds() == 0;
    return isWorkerNamed
        && task.getCheckpoint().isEmpty()
        && !task.hasCopy()
        && !task.getStartRepeated();
  }

  private static GroupKey keyOf(TaskProgress task) {
    return new GroupKey(
        task.getOccurrence(),
        task.getStep(),
        task.getPhase(),
        task.getAttempt(),
        task.getFailures(),
        new WorkerKeyFields(task.getWorker(), task.getWorkerBornMilliseconds()));
  }

  /** Returns the position of a group's worker, which is added to the record if it is new. */
  private static int positionOf(
      GroupKey key, Map<WorkerKeyFields, Integer> positions, JobProgress.Builder compact) {
    if (key.worker().worker().isEmpty()) {
      return 0;
    }
    return positions.computeIfAbsent(
        key.worker(),
        worker -> {
          compact.addWorkers(
              WorkerIncarnation.newBuilder()
                  .setWorker(worker.worker())
                  .setBornMilliseconds(worker.born()));
          return compact.getWorkersCount();
        });
  }

  private static TaskGroup.Builder newGroup(GroupKey key, int worker) {
    return TaskGroup.newBuilder()
        .setOccurrence(key.occurrence())
        .setStep(key.step())
        .setPhase(key.phase())
        .setAttempt(key.attempt())
        .setFailures(key.failures())
        .setWorker(worker);
  }

  /** Returns the progress, which must be valid, with one entry for each task. */
  public static JobProgress expand(JobProgress progress) {
    if (progress.getGroupsCount() == 0) {
      return progress;
    }
    JobProgress.Builder expanded = progress.toBuilder().clearGroups().clearWorkers();
    for (TaskGroup group : progress.getGroupsList()) {
      TaskProgress.Builder task = taskOf(group, progress);
      for (int index : group.getIndexesList()) {
        expanded.addTasks(task.setIndex(index).build());
      }
    }
    return expanded.build();
  }

  private static TaskProgress.Builder taskOf(TaskGroup group, JobProgress progress) {
    TaskProgress.Builder task =
        TaskProgress.newBuilder()
            .setOccurrence(group.getOccurrence())
            .setStep(group.getStep())
            .setPhase(group.getPhase())
            .setAttempt(group.getAttempt())
            .setFailures(group.getFailures());
    if (group.getWorker() == 0) {
      return task;
    }
    WorkerIncarnation worker = progress.getWorkers(group.getWorker() - 1);
    return task.setWorker(worker.getWorker())
        .setWorkerBornMilliseconds(worker.getBornMilliseconds());
  }

  /** Returns whether the progress has tasks, in either form. */
  static boolean hasTasks(JobProgress progress) {
    return progress.getTasksCount() > 0 || progress.getGroupsCount() > 0;
  }

  /**
   * Checks that progress in either form can be expanded and restored later.
   *
   * @throws IllegalArgumentException when a phase is not known, or a worker is missing or invalid
   */
  public static void validate(JobProgress progress) {
    if (progress.getPhase() == JobProgress.Phase.UNRECOGNIZED) {
      throw new IllegalArgumentException("field phase: " + progress.getPhaseValue());
    }
    for (WorkerIncarnation worker : progress.getWorkersList()) {
      if (!Identifiers.isValid(worker.getWorker())) {
        throw new IllegalArgumentException("field workers: \"" + worker.getWorker() + "\"");
      }
    }
    for (TaskGroup group : progress.getGroupsList()) {
      if (group.getWorker() < 0 || group.getWorker() > progress.getWorkersCount()) {
        throw new IllegalArgumentException(
            "field worker: " + group.getWorker() + ", not in 0 to " + progress.getWorkersCount());
      }
      validate(group.getPhase(), group.getWorker() > 0);
    }
    for (TaskProgress task : progress.getTasksList()) {
      // As bytes, since a node that does not lead needs no text of it.
      validate(task.getPhase(), !task.getWorkerBytes().isEmpty());
    }
  }

  private static void validate(TaskProgress.Phase phase, boolean hasWorker) {
    if (phase == TaskProgress.Phase.UNRECOGNIZED) {
      throw new IllegalArgumentException("field phase of a task: unknown value");
    }
    if (phase == TaskProgress.Phase.ASSIGNED && !hasWorker) {
      throw new IllegalArgumentException("field worker: missing for an assigned task");
    }
  }
}
