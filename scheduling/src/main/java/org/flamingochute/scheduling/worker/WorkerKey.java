package org.flamingochute.scheduling.worker;

import org.flamingochute.decision.identity.InstanceId;

/**
 * One incarnation of a worker. A restarted worker may keep its id, but has no state of earlier
 * runs.
 *
 * @param id the worker
 * @param bornMilliseconds wall-clock time of its start, or 0 if the worker did not report it
 */
public record WorkerKey(InstanceId id, long bornMilliseconds) {

  @Override
  public String toString() {
    return bornMilliseconds == 0 ? id.toString() : id + "@" + bornMilliseconds;
  }
}
