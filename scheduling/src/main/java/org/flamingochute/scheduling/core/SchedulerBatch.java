package org.flamingochute.scheduling.core;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.PoolHistory;
import org.flamingochute.schema.scheduling.WaveProgress;

/**
 * What the scheduler decided since the last batch.
 *
 * @param immediate commands that need no record
 * @param records new progress of jobs, to be recorded all or nothing
 * @param forgotten jobs whose records are dropped
 * @param waves new progress of maintenance waves by number
 * @param poolHistory what was learnt about pools, when it changed
 * @param afterRecording commands that are carried out once the records are durable: a start that
 *     was sent without its record could run twice
 */
public record SchedulerBatch(
    List<SchedulerCommand> immediate,
    Map<JobId, JobProgress> records,
    List<JobId> forgotten,
    Map<Long, WaveProgress> waves,
    Optional<PoolHistory> poolHistory,
    List<SchedulerCommand> afterRecording) {

  /** Tells whether the batch holds nothing. */
  public boolean isEmpty() {
    return immediate.isEmpty() && afterRecording.isEmpty() && !hasRecords();
  }

  /** Tells whether anything has to be recorded. */
  public boolean hasRecords() {
    return !records.isEmpty()
        || !forgotten.isEmpty()
        || !waves.isEmpty()
        || poolHistory.isPresent();
  }
}
