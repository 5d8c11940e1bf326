package org.flamingochute.decision.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;

/**
 * Detects workers on which jobs fail although jobs succeed on other workers.
 *
 * <p>A worker is suspended when several different jobs in a row failed on it, unless most recent
 * jobs on the other workers failed too; without results from other workers it is suspended as well.
 * A suspended worker is assigned no job for a time that doubles with each suspension, up to a
 * limit; then it is on probation and is assigned one job at a time, until one succeeds or a failure
 * suspends it again. Without this a broken worker would attract many jobs: it fails them fast, so
 * it always has free capacity. A single job that fails on every worker suspends none that is not on
 * probation, since it counts as only one failed job on each worker. Not thread-safe.
 */
public final class WorkerHealth {

  private static final int FAILED_JOBS_TO_SUSPEND = 3;
  private static final long BASE_SUSPENSION_MILLISECONDS = 30_000;
  private static final int MAXIMUM_DOUBLINGS = 6;
  private static final double SMOOTHING_FACTOR = 1.0 / 16;
  private static final double FAILING_POOL_RATE = 0.6;

  private final Map<InstanceId, FailureRecord> workers = new HashMap<>();

  /** Records the result of an attempt. */
  public void observe(JobId job, InstanceId worker, boolean succeeded, long nowMilliseconds) {
    FailureRecord record = workers.computeIfAbsent(worker, key -> new FailureRecord());
    record.failureRate += SMOOTHING_FACTOR * ((succeeded ? 0 : 1) - record.failureRate);
    if (succeeded) {
      record.failedJobs.clear();
      record.suspensions = 0;
      record.onProbation = false;
      return;
    }
    record.failedJobs.add(job);
    boolean shouldSuspend =
        record.onProbation || record.failedJobs.size() >= FAILED_JOBS_TO_SUSPEND;
    if (shouldSuspend && !isPoolFailing(worker)) {
      int doublings = Math.min(record.suspensions, MAXIMUM_DOUBLINGS);
      record.suspendedUntilMilliseconds =
          nowMilliseconds + (BASE_SUSPENSION_MILLISECONDS << doublings);
      record.suspensions++;
      record.onProbation = true;
      record.failedJobs.clear();
    }
  }

  /** Returns the number of jobs that the worker may run at once, given its health. */
  public int jobLimit(InstanceId worker, long nowMilliseconds) {
    FailureRecord record = workers.get(worker);
    if (record == null) {
      return Integer.MAX_VALUE;
    }
    if (nowMilliseconds < record.suspendedUntilMilliseconds) {
      return 0;
    }
    return record.onProbation ? 1 : Integer.MAX_VALUE;
  }

  /** Returns whether a failure on the worker counts against the job rather than the worker. */
  public boolean isTrusted(InstanceId worker) {
    FailureRecord record = workers.get(worker);
    return record == null || !record.onProbation;
  }

  private boolean isPoolFailing(InstanceId excludedWorker) {
    double sum = 0;
    int count = 0;
    for (Map.Entry<InstanceId, FailureRecord> entry : workers.entrySet()) {
      if (!entry.getKey().equals(excludedWorker) && !entry.getValue().onProbation) {
        sum += entry.getValue().failureRate;
        count++;
      }
    }
    return count > 0 && sum / count > FAILING_POOL_RATE;
  }

  private static final class FailureRecord {
    private final Set<JobId> failedJobs = new HashSet<>();
    private double failureRate;
    private int suspensions;
    private boolean onProbation;
    private long suspendedUntilMilliseconds = Long.MIN_VALUE;
  }
}
