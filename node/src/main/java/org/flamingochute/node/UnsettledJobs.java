package org.flamingochute.node;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.store.IntakeResult;

/**
 * The jobs that this process has appended to the store, or is appending, and whose outcome it does
 * not know. Such a job may run, so the process must not promise that it never does. Used on one
 * event loop.
 */
public final class UnsettledJobs {
  /** Far more than the appends of one node that can end without a response in a store outage. */
  private static final int MAXIMUM_UNKNOWN_JOBS = 16_384;

  private final Map<JobId, Integer> openAppends = new HashMap<>();

  /** Jobs of which an append ended with an unknown outcome, the oldest first. */
  private final Set<JobId> unknownJobs =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<JobId, Boolean> eldest) {
              return size() > MAXIMUM_UNKNOWN_JOBS;
            }
          });

  /** Notes that an append of a job is about to be sent. */
  public void onAppendBegun(JobId job) {
    openAppends.merge(job, 1, Integer::sum);
  }

  /** Notes the result of an append of a job. */
  public void onAppendEnded(JobId job, IntakeResult result) {
    openAppends.computeIfPresent(job, (id, count) -> count > 1 ? count - 1 : null);
    if (result == IntakeResult.UNKNOWN) {
      unknownJobs.add(job);
    }
  }

  /** Returns whether the job may be stored through an append of this process. */
  public boolean contains(JobId job) {
    return openAppends.containsKey(job) || unknownJobs.contains(job);
  }
}
