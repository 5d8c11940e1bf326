package org.flamingochute.decision.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;

/**
 * Finds workers that fail what they start, although the same kind of work succeeds elsewhere.
 *
 * <p>A worker becomes suspect when it failed several different jobs in a row, and the other workers
 * together succeeded more often than they failed lately, or nothing is known of them. A suspect
 * worker gets no job for a time that doubles with each relapse; then it gets one job at a time
 * until one succeeds. Such a worker is dangerous because it fails fast and so is always the one
 * with room. A job that fails everywhere makes no worker suspect, since each worker then fails only
 * one different job. Used by one thread at a time.
 */
public final class WorkerHealth {

  private static final int DIFFERENT_FAILED_JOBS = 3;
  private static final long BASE_REST_MILLISECONDS = 30_000;
  private static final int MAXIMUM_DOUBLINGS = 6;
  private static final double GAIN = 1.0 / 16;
  private static final double FAILING_POOL = 0.6;

  private final Map<InstanceId, Record> workers = new HashMap<>();

  /** Takes the end of an attempt into account. */
  public void observe(JobId job, InstanceId worker, boolean succeeded, long nowMilliseconds) {
    Record record = workers.computeIfAbsent(worker, key -> new Record());
    record.failureRate += GAIN * ((succeeded ? 0 : 1) - record.failureRate);
    if (succeeded) {
      record.failedJobs.clear();
      record.relapses = 0;
      record.onTrial = false;
      return;
    }
    record.failedJobs.add(job);
    boolean suspect = record.onTrial || record.failedJobs.size() >= DIFFERENT_FAILED_JOBS;
    if (suspect && !isPoolFailing(worker)) {
      int doublings = Math.min(record.relapses, MAXIMUM_DOUBLINGS);
      record.restsUntil = nowMilliseconds + (BASE_REST_MILLISECONDS << doublings);
      record.relapses++;
      record.onTrial = true;
      record.failedJobs.clear();
    }
  }

  /** Returns how many jobs the worker may run at once because of its health. */
  public int jobLimit(InstanceId worker, long nowMilliseconds) {
    Record record = workers.get(worker);
    if (record == null) {
      return Integer.MAX_VALUE;
    }
    if (nowMilliseconds < record.restsUntil) {
      return 0;
    }
    return record.onTrial ? 1 : Integer.MAX_VALUE;
  }

  /** Tells whether failures on the worker say something about the job rather than the worker. */
  public boolean isTrusted(InstanceId worker) {
    Record record = workers.get(worker);
    return record == null || !record.onTrial;
  }

  private boolean isPoolFailing(InstanceId except) {
    double sum = 0;
    int count = 0;
    for (Map.Entry<InstanceId, Record> entry : workers.entrySet()) {
      if (!entry.getKey().equals(except) && !entry.getValue().onTrial) {
        sum += entry.getValue().failureRate;
        count++;
      }
    }
    return count > 0 && sum / count > FAILING_POOL;
  }

  private static final class Record {
    private final Set<JobId> failedJobs = new HashSet<>();
    private double failureRate;
    private int relapses;
    private boolean onTrial;
    private long restsUntil = Long.MIN_VALUE;
  }
}
