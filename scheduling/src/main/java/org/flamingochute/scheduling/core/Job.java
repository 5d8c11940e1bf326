package org.flamingochute.scheduling.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.TaskProgress;

/** A job that is not over, as the scheduler knows it. */
final class Job {
  final JobId id;
  final QueuedJob definition;
  final Optional<TeamId> team;
  final boolean longRunning;

  /** How the job is run, by the newest declaration of its queue. */
  QueuePolicy policy;

  PoolId pool;
  JobProgress.Phase phase = JobProgress.Phase.OPEN;
  long endedMilliseconds;

  /** Repetitions that were due so far and have not been forgotten. */
  final List<Occurrence> occurrences = new ArrayList<>();

  /** True when the record in the store is older than this state. */
  boolean changed;

  /** True when its team handed it in beyond the team's rate. */
  boolean excess;

  /** Latest time of day at which a start would still meet the objective; by the urgency order. */
  long latestStartMilliseconds;

  Job(JobId id, QueuedJob definition, QueuePolicy policy) {
    this.id = id;
    this.definition = definition;
    this.team =
        definition.getOrganisation().isEmpty()
            ? Optional.empty()
            : Optional.of(new TeamId(definition.getOrganisation()));
    this.longRunning = definition.getStepsList().stream().anyMatch(step -> step.getLongRunning());
    apply(policy);
  }

  void apply(QueuePolicy newest) {
    policy = newest;
    pool = new PoolId(newest.getService());
  }

  boolean isOpen() {
    return phase == JobProgress.Phase.OPEN;
  }

  int totalOccurrences() {
    return Math.max(1, definition.getRepetitions());
  }

  /** Adds the occurrences that are due at the given time of day; tells whether there were any. */
  boolean addDueOccurrences(long timeOfDay) {
    boolean added = false;
    while (occurrences.size() < totalOccurrences()
        && isDue(dueMilliseconds(occurrences.size()), timeOfDay)) {
      addNextOccurrence();
      added = true;
    }
    return added;
  }

  /**
   * Tells whether tasks of an occurrence may start. A job that runs once is due at once, whatever
   * the clock of the entry that accepted it showed.
   */
  boolean isDue(long dueMilliseconds, long timeOfDay) {
    return definition.getRepetitions() == 0 || dueMilliseconds <= timeOfDay;
  }

  /** Adds the next occurrence; tells whether there is one. */
  boolean addNextOccurrence() {
    if (occurrences.size() >= totalOccurrences()) {
      return false;
    }
    int next = occurrences.size();
    occurrences.add(new Occurrence(this, next, dueMilliseconds(next)));
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

  /** Tells whether a run of any task may still be on a worker. */
  boolean hasAssignedTask() {
    for (Occurrence occurrence : occurrences) {
      for (int step = 0; step < occurrence.stepCount(); step++) {
        for (Task task : occurrence.tasksOf(step)) {
          if (task.isAssigned()) {
            return true;
          }
        }
      }
    }
    return false;
  }

  Optional<Task> find(int occurrence, int step, int index) {
    if (occurrence >= occurrences.size() || !occurrences.get(occurrence).holds(step, index)) {
      return Optional.empty();
    }
    return Optional.of(occurrences.get(occurrence).task(step, index));
  }

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
      }
    }
    return builder.build();
  }
}
