package org.flamingochute.scheduling.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.scheduling.duration.DurationModel;
import org.flamingochute.scheduling.duration.EstimatedDurations;
import org.flamingochute.schema.scheduling.GangFailures;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.flamingochute.schema.scheduling.TaskProgress;

/** The scheduler's state of a job until it is closed. */
final class Job {
  final JobId id;
  final QueuedJob definition;
  final Optional<TeamId> team;
  final boolean longRunning;

  /** Expected durations of the tasks. */
  final DurationModel durations;

  /** Policy from the newest declaration of the job's queue. */
  QueuePolicy policy;

  PoolId pool;
  JobProgress.Phase phase = JobProgress.Phase.OPEN;
  long endedMilliseconds;

  /**
   * Occurrences that have become due, in the order of their numbers. For a restored job also those
   * that a previous leader recorded, although they may not be due by this node's clock.
   */
  final List<Occurrence> occurrences = new ArrayList<>();

  /** Not used; changed jobs are collected by {@link Outbox#markChanged}. */
  boolean changed;

  /** True when the job's team exceeded its submission rate with this job. */
  boolean overTeamRate;

  /** True when the job can no longer meet its objective; set by {@link UrgencyOrder}. */
  boolean late;

  /** Latest wall-clock start time that still meets the objective; set by {@link UrgencyOrder}. */
  long latestStartMilliseconds;

  /** Creates a job whose tasks are expected to run as long as estimated. */
  Job(JobId id, QueuedJob definition, QueuePolicy policy) {
    this(id, definition, policy, new EstimatedDurations());
  }

  Job(JobId id, QueuedJob definition, QueuePolicy policy, DurationModel durations) {
    this.id = id;
    this.durations = durations;
    this.definition = definition;
    this.team =
        definition.getOrganisation().isEmpty()
            ? Optional.empty()
            : Optional.of(new TeamId(definition.getOrganisation()));
    this.longRunning = definition.getStepsList().stream().anyMatch(step -> step.getLongRunning());
    apply(policy);
  }

  void apply(QueuePolicy newestPolicy) {
    policy = newestPolicy;
    pool = new PoolId(newestPolicy.getService());
  }

  boolean isOpen() {
    return phase == JobProgress.Phase.OPEN;
  }

  int totalOccurrences() {
    return Math.max(1, definition.getRepetitions());
  }

  /** Adds the occurrences that are due; returns whether any were added. */
  boolean addDueOccurrences(long wallClockMilliseconds) {
    boolean added = false;
    while (occurrences.size() < totalOccurrences()
        && isDue(dueMilliseconds(occurrences.size()), wallClockMilliseconds)) {
      addNextOccurrence();
      added = true;
    }
    return added;
  }

  /**
   * Returns whether tasks of an occurrence with the given due time may start. A job without
   * repetitions is due immediately, whatever the clock of the node that accepted it showed.
   */
  boolean isDue(long dueMilliseconds, long wallClockMilliseconds) {
    return definition.getRepetitions() == 0 || dueMilliseconds <= wallClockMilliseconds;
  }

  /** Adds the next occurrence; returns false when there are no more. */
  boolean addNextOccurrence() {
    if (occurrences.size() >= totalOccurrences()) {
      return false;
    }
    int nextNumber = occurrences.size();
    occurrences.add(new Occurrence(this, nextNumber, dueMilliseconds(nextNumber)));
    return true;
  }

  private long dueMilliseconds(int occurrence) {
    if (definition.getRepetitions() == 0) {
      return definition.getAcceptedMilliseconds();
    }
    return definition.getFirstDueMilliseconds() + occurrence * definition.getIntervalMilliseconds();
  }

  boolean isEveryTaskDone() {
    if (occurrences.size() < totalOccurrences()) {
      return false;
    }
    for (Occurrence occurrence : occurrences) {
      if (!occurrence.isDone()) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether any task of the job may still have a run on a worker. */
  boolean hasAssignedTask() {
    for (Occurrence occurrence : occurrences) {
      for (int step = 0; step < occurrence.stepCount(); step++) {
        for (Task task : occurrence.tasksOf(step)) {
          if (task.isAssigned() || task.copy.isPresent()) {
            return true;
          }
        }
      }
    }
    return false;
  }

  Optional<Task> findTask(int occurrence, int step, int index) {
    if (occurrence >= occurrences.size() || !occurrences.get(occurrence).hasTask(step, index)) {
      return Optional.empty();
    }
    return Optional.of(occurrences.get(occurrence).task(step, index));
  }

  /**
   * Returns the progress to record. It contains the tasks that were ever assigned or are done, but
   * none once the job has ended and has no assigned tasks.
   */
  JobProgress toProgress() {
    JobProgress.Builder builder =
        JobProgress.newBuilder().setPhase(phase).setEndedMilliseconds(endedMilliseconds);
    if (!isOpen() && !hasAssignedTask()) {
      return builder.build();
    }
    for (Occurrence occurrence : occurrences) {
      for (int step = 0; step < occurrence.stepCount(); step++) {
        for (Task task : occurrence.tasksOf(step)) {
          if (task.attempt > 0 || task.phase == TaskProgress.Phase.DONE) {
            builder.addTasks(task.toProgress());
          }
        }
        addGangFailures(occurrence, step, builder);
      }
    }
    return builder.build();
  }

  private static void addGangFailures(
      Occurrence occurrence, int step, JobProgress.Builder progress) {
    FailedGangRuns failedRuns = occurrence.failedGangRuns(step);
    if (failedRuns.count() > 0) {
      progress.addGangFailures(
          GangFailures.newBuilder()
              .setOccurrence(occurrence.number)
              .setStep(step)
              .addAllAttempts(failedRuns.attempts()));
    }
  }

  /** Restores the failed runs of all gangs, after the tasks have been restored. */
  void restoreGangFailures(JobProgress progress) {
    for (GangFailures recorded : progress.getGangFailuresList()) {
      boolean isKnown =
          recorded.getOccurrence() < occurrences.size()
              && recorded.getStep() < definition.getStepsCount();
      if (isKnown) {
        FailedGangRuns failedRuns =
            occurrences.get(recorded.getOccurrence()).failedGangRuns(recorded.getStep());
        recorded.getAttemptsList().forEach(failedRuns::add);
      }
    }
    for (Occurrence occurrence : occurrences) {
      for (int step = 0; step < occurrence.stepCount(); step++) {
        QueuedStep gang = definition.getSteps(step);
        FailedGangRuns failedRuns = occurrence.failedGangRuns(step);
        if (gang.getGang() && !gang.getLongRunning() && failedRuns.count() == 0) {
          failedRuns.restoreFromMembers(occurrence.tasksOf(step));
        }
      }
    }
  }
}
