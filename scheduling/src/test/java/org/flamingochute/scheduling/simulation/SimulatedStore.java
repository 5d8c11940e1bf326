package org.flamingochute.scheduling.simulation;

import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.scheduling.core.Scheduler;
import org.flamingochute.scheduling.core.SchedulerBatch;
import org.flamingochute.scheduling.job.CompactProgress;
import org.flamingochute.scheduling.job.JobTable;
import org.flamingochute.scheduling.job.StoredJob;
import org.flamingochute.schema.scheduling.JobProgress;

/**
 * The store's records of jobs. Definitions and progress are in different topics, so they are
 * deleted by separate appends, either of which may be lost.
 */
public final class SimulatedStore {

  /** What the store does with appends. */
  public enum Fault {
    /** It executes and confirms all. */
    NONE,
    /** It executes none; a batch is repeated until the store is up again. */
    DOWN,
    /** It does not execute deletions of definitions. */
    LOSES_DELETIONS,
    /** It executes deletions of definitions, but does not confirm them. */
    LOSES_DELETION_RESPONSES
  }

  /** The result of an append. */
  enum AppendOutcome {
    /** It was executed. */
    EXECUTED,
    /** A leader with a higher epoch has taken over. */
    FENCED,
    /** The store is down. */
    UNAVAILABLE
  }

  private final JobTable jobs = new JobTable();
  private final boolean compactRecords;
  private Optional<CommandedMachines> commandedMachines = Optional.empty();
  private Fault fault = Fault.NONE;
  private long epoch;
  private long responseDelayMilliseconds;

  private record CommandedMachines(long epoch, List<MachineId> machines) {}

  /**
   * Creates an empty store.
   *
   * @param compactRecords whether leaders write the progress of jobs in a compact form
   */
  SimulatedStore(boolean compactRecords) {
    this.compactRecords = compactRecords;
  }

  JobTable jobs() {
    return jobs;
  }

  /** Sets the fault; it replaces the previous one. */
  public void setFault(Fault newest) {
    fault = newest;
  }

  /** Sets the time from the execution of an append until its confirmation arrives. */
  public void setResponseDelay(long milliseconds) {
    responseDelayMilliseconds = milliseconds;
  }

  long responseDelayMilliseconds() {
    return responseDelayMilliseconds;
  }

  /** Refuses the appends of all leaders with a lower epoch from now on. */
  void beginEpoch(long newEpoch) {
    epoch = newEpoch;
  }

  /** Executes an append of a leader, unless the leader has been replaced or the store is down. */
  AppendOutcome append(long leaderEpoch, SchedulerBatch batch) {
    if (fault == Fault.DOWN) {
      return AppendOutcome.UNAVAILABLE;
    }
    if (leaderEpoch < epoch) {
      return AppendOutcome.FENCED;
    }
    batch.records().forEach(this::updateProgress);
    batch.deletedJobs().forEach(jobs::delete);
    batch
        .machineCommands()
        .ifPresent(
            machines ->
                commandedMachines = Optional.of(new CommandedMachines(leaderEpoch, machines)));
    return AppendOutcome.EXECUTED;
  }

  private void updateProgress(JobId id, JobProgress progress) {
    jobs.updateProgress(id, compactRecords ? CompactProgress.compact(progress) : progress);
  }

  /** Returns the machines that the leader of a term recorded last, if it recorded any list. */
  Optional<List<MachineId>> commandedMachines(long leaderEpoch) {
    return commandedMachines
        .filter(recorded -> recorded.epoch() == leaderEpoch)
        .map(CommandedMachines::machines);
  }

  /** Deletes the definitions of the expired jobs of a batch. */
  void deleteDefinitions(SchedulerBatch batch, Scheduler scheduler) {
    batch.expiredJobs().forEach(job -> deleteDefinition(job, scheduler));
  }

  private void deleteDefinition(JobId id, Scheduler scheduler) {
    if (fault == Fault.LOSES_DELETIONS) {
      return;
    }
    Optional<JobProgress> progress = jobs.find(id).flatMap(StoredJob::progress);
    jobs.delete(id);
    progress.ifPresent(remaining -> jobs.updateProgress(id, remaining));
    if (fault != Fault.LOSES_DELETION_RESPONSES) {
      scheduler.onDefinitionDeleted(id);
    }
  }
}
