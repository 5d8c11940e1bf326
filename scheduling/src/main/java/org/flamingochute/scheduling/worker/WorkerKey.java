package org.flamingochute.scheduling.worker;

import org.flamingochute.decision.identity.InstanceId;

/**
 * One incarnation of a worker. A restarted worker may keep its id, but has no state of earlier
 * runs.
 *
 * @param id the worker
 * @param startedMilliseconds wall-clock time of its start, or 0 if the worker did not report it
 */
public record WorkerKey(InstanceId id, long startedMilliseconds) {

  @Override
  public String toString() {
    return startedMilliseconds == 0 ? id.toString() : id + "@" + startedMilliseconds;
  }
}
