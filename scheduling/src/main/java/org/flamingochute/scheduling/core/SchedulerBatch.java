package org.flamingochute.scheduling.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.PoolHistory;
import org.flamingochute.schema.scheduling.WaveProgress;

/**
 * The scheduler's decisions since the last batch.
 *
 * @param immediateCommands commands that need no record and are sent at once
 * @param records new progress of jobs, to be recorded atomically
 * @param expiredJobs jobs whose definitions and cancellations are to be deleted; the scheduler must
 *     be told once that is durable
 * @param deletedJobs jobs whose progress is to be deleted, as their definitions are gone
 * @param waves new progress of maintenance waves, by wave number
 * @param poolHistory new load history of pools, when it changed
 * @param machineCommands machines that may have been commanded lately, when they changed
 * @param commandsAfterRecording commands to send once the records are durable; a task whose start
 *     is sent without a durable record could run twice
 */
public record SchedulerBatch(
    List<SchedulerCommand> immediateCommands,
    Map<JobId, JobProgress> records,
    List<JobId> expiredJobs,
    List<JobId> deletedJobs,
    Map<Long, WaveProgress> waves,
    Optional<PoolHistory> poolHistory,
    Optional<List<MachineId>> machineCommands,
    List<SchedulerCommand> commandsAfterRecording) {

  /** Returns whether the batch is empty. */
  public boolean isEmpty() {
    return immediateCommands.isEmpty()
        && commandsAfterRecording.isEmpty()
        && expiredJobs.isEmpty()
        && !hasRecords();
  }

  /** Returns whether the batch has records to write. */
  public boolean hasRecords() {
    return !records.isEmpty()
        || !deletedJobs.isEmpty()
        || !waves.isEmpty()
        || poolHistory.isPresent()
        || machineCommands.isPresent();
  }
}
