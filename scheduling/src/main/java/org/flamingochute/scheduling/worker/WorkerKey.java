package org.flamingochute.scheduling.worker;

import org.flamingochute.decision.identity.InstanceId;

/**
 * One incarnation of a worker. A worker that starts again may keep its id, but it knows nothing of
 * what ran before.
 *
 * @param id the worker
 * @param bornMilliseconds time of day of its start, or 0 when it did not tell
 */
public record WorkerKey(InstanceId id, long bornMilliseconds) {

  @Override
  public String toString() {
    return bornMilliseconds == 0 ? id.toString() : id + "@" + bornMilliseconds;
  }
}
