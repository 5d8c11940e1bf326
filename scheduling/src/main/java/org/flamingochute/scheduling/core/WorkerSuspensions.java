package org.flamingochute.scheduling.core;

import com.google.common.flogger.FluentLogger;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;

/**
 * Workers that are suspended, because jobs fail on them.
 *
 * <p>A broken worker fails all that it starts, so it is always free and would attract the work of
 * the whole pool. It is suspended when several different jobs in a row have failed on it. A job
 * that failed on a worker which then succeeds with others is at fault itself, and no longer counts
 * against any worker.
 *
 * <p>When the fault is over is not announced, and a suspension for a fixed time is wrong in both
 * directions: work waits beside a sound worker, or is burnt on one that is still broken. So a
 * suspended worker is given a trial run when a task would wait otherwise, and what a trial costs
 * decides when. A task that lasts may fail any number of times, so one is tried soon after the last
 * failure. Another task that can bear a failure is tried after a pause that doubles with each
 * failed trial up to a limit, so that a broken worker burns few runs. A task that cannot bear one
 * is tried only after a much longer time.
 *
 * <p>A run that succeeds, or that lasts and becomes available, ends the suspension if it was
 * started after the failures began. An earlier run proves nothing: a broken worker may complete
 * what it started before. This is memory of one leader; a successor finds broken workers out by the
 * failures of a few jobs on each. Not thread-safe.
 */
final class WorkerSuspensions {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int FAILED_JOBS_TO_SUSPEND = 3;
  private static final long FREE_TRIAL_PAUSE_MILLISECONDS = 1_000;
  private static final long MINIMUM_PAUSE_MILLISECONDS = 2_000;
  private static final long MAXIMUM_PAUSE_MILLISECONDS = 4_000;
  private static final long COSTLY_TRIAL_PAUSE_MILLISECONDS = 30_000;

  /** Number of jobs that are remembered as at fault themselves. */
  private static final int MAXIMUM_FAILING_JOBS = 1_024;

  private final Map<InstanceId, FailureRow> rows = new HashMap<>();

  /** Jobs that have failed on sound workers, the oldest first. */
  private final Set<JobId> jobsAtFault =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<JobId, Boolean> eldest) {
              return size() > MAXIMUM_FAILING_JOBS;
            }
          });

  /** What a failed trial run costs. */
  enum TrialCost {
    /** Nothing: the task may fail any number of times. */
    FREE,
    /** One of several attempts that the task has. */
    ATTEMPT,
    /** The job, or a task that has lost an attempt already. */
    HIGH
  }

  /** The failures on a worker since the last success. */
  private static final class FailureRow {
    private final Set<JobId> failedJobs = new HashSet<>();
    private final long firstStartAt;
    private long lastFailureAt;
    private long pauseMilliseconds = MINIMUM_PAUSE_MILLISECONDS;
    private boolean suspended;

    private FailureRow(long firstStartAt) {
      this.firstStartAt = firstStartAt;
    }
  }

  /**
   * Records a failed run.
   *
   * @param startedAt time at which the run was assigned
   */
  void onFailed(JobId job, InstanceId worker, long startedAt, long now) {
    if (jobsAtFault.contains(job)) {
      return;
    }
    FailureRow row = rows.computeIfAbsent(worker, key -> new FailureRow(startedAt));
    if (row.suspended) {
      onTrialFailed(worker, row, startedAt, now);
      return;
    }
    row.lastFailureAt = now;
    row.failedJobs.add(job);
    if (row.failedJobs.size() >= FAILED_JOBS_TO_SUSPEND) {
      row.suspended = true;
      logger.atInfo().log(
          "event=worker_suspended worker=%s failed_jobs=%d", worker, row.failedJobs.size());
    }
  }

  /** Runs that were started before the last failure are no trials; several may end at once. */
  private static void onTrialFailed(InstanceId worker, FailureRow row, long startedAt, long now) {
    boolean isTrial = startedAt > row.lastFailureAt;
    row.lastFailureAt = now;
    if (isTrial) {
      row.pauseMilliseconds = Math.min(MAXIMUM_PAUSE_MILLISECONDS, 2 * row.pauseMilliseconds);
      logger.atInfo().log(
          "event=worker_trial_failed worker=%s pause_ms=%d", worker, row.pauseMilliseconds);
    }
  }

  /**
   * Records a run that succeeded, or that lasts and became available.
   *
   * @param startedAt time at which the run was assigned
   */
  void onSucceeded(InstanceId worker, long startedAt) {
    FailureRow row = rows.get(worker);
    if (row == null || startedAt < row.firstStartAt) {
      return;
    }
    rows.remove(worker);
    if (row.suspended) {
      logger.atInfo().log("event=worker_suspension_ended worker=%s", worker);
    } else {
      withdrawFailuresOf(row.failedJobs);
    }
  }

  private void withdrawFailuresOf(Set<JobId> jobs) {
    jobsAtFault.addAll(jobs);
    for (FailureRow row : rows.values()) {
      row.failedJobs.removeAll(jobs);
    }
    rows.values().removeIf(row -> !row.suspended && row.failedJobs.isEmpty());
  }

  /** Returns whether a worker is suspended. */
  boolean isSuspended(InstanceId worker) {
    FailureRow row = rows.get(worker);
    return row != null && row.suspended;
  }

  /** Returns whether the pause after the last failure on a suspended worker is over. */
  boolean isTrialDue(InstanceId worker, TrialCost cost, long now) {
    FailureRow row = rows.get(worker);
    if (row == null) {
      return true;
    }
    long pauseMilliseconds =
        switch (cost) {
          case FREE -> FREE_TRIAL_PAUSE_MILLISECONDS;
          case ATTEMPT -> row.pauseMilliseconds;
          case HIGH -> COSTLY_TRIAL_PAUSE_MILLISECONDS;
        };
    return now - row.lastFailureAt >= pauseMilliseconds;
  }

  /** Returns the time of the last failure on a worker; runs assigned later are trials. */
  long lastFailureAt(InstanceId worker) {
    FailureRow row = rows.get(worker);
    return row == null ? Long.MIN_VALUE : row.lastFailureAt;
  }
}
