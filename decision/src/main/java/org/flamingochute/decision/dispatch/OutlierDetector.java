package org.flamingochute.decision.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Ejects an endpoint after several consecutive failed requests: for some time it is sent no
 * requests, and then an increasing number (slow start).
 *
 * <p>An ejection lasts the base time, doubled for each consecutive ejection up to the maximum.
 * After it the limit starts at one slot and rises in proportion to the elapsed time, so that an
 * endpoint that is still broken fails few requests and one that has just started is not overloaded.
 * No endpoint is ejected if that would exceed the maximum percentage of ejected endpoints: the
 * fault is then more likely in the entry or the network than in the endpoints. Thread-safe.
 *
 * <p>Example with a base of 5 s and a slow start of 5 s: after 5 failures at time 0 an endpoint of
 * 8 slots has a limit of 0 until 5 s, of 1 at 5 s, of 4 at 7.5 s and of 8 from 10 s.
 */
public final class OutlierDetector {

  private static final int PERCENT = 100;

  /** Prevents an overflow when the base time is doubled. */
  private static final int MAXIMUM_DOUBLINGS = 20;

  private final OutlierSettings settings;
  private final ReentrantLock lock = new ReentrantLock();
  private final Map<InstanceId, EndpointHealth> endpoints = new HashMap<>();

  /** Creates a detector without observations. */
  public OutlierDetector(OutlierSettings settings) {
    this.settings = settings;
  }

  /** Records a request that the endpoint answered. */
  public void recordSuccess(InstanceId endpoint, long nowMilliseconds) {
    lock.lock();
    try {
      EndpointHealth health = endpoints.get(endpoint);
      if (health == null) {
        return;
      }
      health.consecutiveFailures = 0;
      if (nowMilliseconds >= health.ejectedUntilMilliseconds + settings.slowStartMilliseconds()) {
        endpoints.remove(endpoint);
      }
    } finally {
      lock.unlock();
    }
  }

  /**
   * Records a request that failed on the endpoint.
   *
   * @param endpointCount number of endpoints of the service
   */
  public void recordFailure(InstanceId endpoint, int endpointCount, long nowMilliseconds) {
    lock.lock();
    try {
      EndpointHealth health = endpoints.computeIfAbsent(endpoint, key -> new EndpointHealth());
      health.consecutiveFailures++;
      boolean isEjected = nowMilliseconds < health.ejectedUntilMilliseconds;
      if (isEjected || health.consecutiveFailures < settings.consecutiveFailures()) {
        return;
      }
      if ((ejectedCount(nowMilliseconds) + 1) * PERCENT
          > endpointCount * settings.maximumEjectedPercent()) {
        return;
      }
      health.ejectedUntilMilliseconds =
          nowMilliseconds + ejectionMilliseconds(health.consecutiveEjections);
      health.consecutiveEjections++;
      health.consecutiveFailures = 0;
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether an endpoint is ejected. */
  public boolean isEjected(InstanceId endpoint, long nowMilliseconds) {
    lock.lock();
    try {
      EndpointHealth health = endpoints.get(endpoint);
      return health != null && nowMilliseconds < health.ejectedUntilMilliseconds;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the maximum number of requests in flight on an endpoint: 0 while it is ejected, an
   * increasing fraction of its slots after that, and all of its slots otherwise. The only endpoint
   * of a service is never limited.
   */
  public int slotLimit(InstanceId endpoint, int slots, int endpointCount, long nowMilliseconds) {
    if (endpointCount <= 1) {
      return slots;
    }
    lock.lock();
    try {
      EndpointHealth health = endpoints.get(endpoint);
      if (health == null || health.consecutiveEjections == 0) {
        return slots;
      }
      return slotLimit(health, slots, nowMilliseconds);
    } finally {
      lock.unlock();
    }
  }

  private int slotLimit(EndpointHealth health, int slots, long nowMilliseconds) {
    long sinceReinstatement = nowMilliseconds - health.ejectedUntilMilliseconds;
    if (sinceReinstatement < 0) {
      return 0;
    }
    if (sinceReinstatement >= settings.slowStartMilliseconds()) {
      return slots;
    }
    return (int) Math.max(1, slots * sinceReinstatement / settings.slowStartMilliseconds());
  }

  private long ejectionMilliseconds(int ejections) {
    long durationMilliseconds =
        settings.baseEjectionMilliseconds() << Math.min(ejections, MAXIMUM_DOUBLINGS);
    return Math.min(durationMilliseconds, settings.maximumEjectionMilliseconds());
  }

  private int ejectedCount(long nowMilliseconds) {
    int count = 0;
    for (EndpointHealth health : endpoints.values()) {
      if (nowMilliseconds < health.ejectedUntilMilliseconds) {
        count++;
      }
    }
    return count;
  }

  private static final class EndpointHealth {
    private int consecutiveFailures;
    private int consecutiveEjections;
    private long ejectedUntilMilliseconds = Long.MIN_VALUE / 2;
  }
}
