package org.flamingochute.decision.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.flamingochute.decision.identity.InstanceId;

/**
 * Takes endpoints that fail several requests in a row out of use for a while, and brings them back
 * slowly.
 *
 * <p>An ejection lasts the base time, doubled for each ejection in a row up to the maximum. After
 * it the endpoint gets one slot and then more in proportion to the time passed, so that one that is
 * still broken fails few requests and one that starts cold is not flooded. No endpoint is ejected
 * when the part that is ejected already has reached its limit: then the fault is more likely in the
 * entry or the network than in the endpoints. May be called from any thread.
 *
 * <p>Example with a base of 5 s and a slow start of 5 s: after 5 failures at time 0 an endpoint of
 * 8 slots has a limit of 0 until 5 s, of 1 at 5 s, of 4 at 7.5 s and of 8 from 10 s.
 */
public final class OutlierDetector {

  private static final int PERCENT = 100;
  private static final int MAXIMUM_DOUBLINGS = 20;

  private final OutlierSettings settings;
  private final ReentrantLock lock = new ReentrantLock();
  private final Map<InstanceId, Health> endpoints = new HashMap<>();

  /** Creates a detector that knows no endpoint yet. */
  public OutlierDetector(OutlierSettings settings) {
    this.settings = settings;
  }

  /** Takes a request into account that the endpoint answered. */
  public void recordSuccess(InstanceId endpoint, long nowMilliseconds) {
    lock.lock();
    try {
      Health health = endpoints.get(endpoint);
      if (health == null) {
        return;
      }
      health.failures = 0;
      if (nowMilliseconds >= health.ejectedUntil + settings.slowStartMilliseconds()) {
        endpoints.remove(endpoint);
      }
    } finally {
      lock.unlock();
    }
  }

  /**
   * Takes a request into account that the endpoint failed.
   *
   * @param endpointCount number of endpoints of the service
   */
  public void recordFailure(InstanceId endpoint, int endpointCount, long nowMilliseconds) {
    lock.lock();
    try {
      Health health = endpoints.computeIfAbsent(endpoint, key -> new Health());
      health.failures++;
      boolean ejected = nowMilliseconds < health.ejectedUntil;
      if (ejected || health.failures < settings.consecutiveFailures()) {
        return;
      }
      if ((ejectedCount(nowMilliseconds) + 1) * PERCENT
          > endpointCount * settings.maximumEjectedPercent()) {
        return;
      }
      health.ejectedUntil = nowMilliseconds + ejectionMilliseconds(health.ejections);
      health.ejections++;
      health.failures = 0;
    } finally {
      lock.unlock();
    }
  }

  /** Tells whether an endpoint is ejected. */
  public boolean isEjected(InstanceId endpoint, long nowMilliseconds) {
    lock.lock();
    try {
      Health health = endpoints.get(endpoint);
      return health != null && nowMilliseconds < health.ejectedUntil;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns how many requests an endpoint may have in flight: none while it is ejected, a growing
   * part of its slots after that, and all of them otherwise. An endpoint that is the only one of
   * its service is never held back.
   */
  public int slotLimit(InstanceId endpoint, int slots, int endpointCount, long nowMilliseconds) {
    if (endpointCount <= 1) {
      return slots;
    }
    lock.lock();
    try {
      Health health = endpoints.get(endpoint);
      if (health == null || health.ejections == 0) {
        return slots;
      }
      return slotLimit(health, slots, nowMilliseconds);
    } finally {
      lock.unlock();
    }
  }

  private int slotLimit(Health health, int slots, long nowMilliseconds) {
    long sinceReturn = nowMilliseconds - health.ejectedUntil;
    if (sinceReturn < 0) {
      return 0;
    }
    if (sinceReturn >= settings.slowStartMilliseconds()) {
      return slots;
    }
    return (int) Math.max(1, slots * sinceReturn / settings.slowStartMilliseconds());
  }

  private long ejectionMilliseconds(int ejections) {
    long time = settings.baseEjectionMilliseconds() << Math.min(ejections, MAXIMUM_DOUBLINGS);
    return Math.min(time, settings.maximumEjectionMilliseconds());
  }

  private int ejectedCount(long nowMilliseconds) {
    int count = 0;
    for (Health health : endpoints.values()) {
      if (nowMilliseconds < health.ejectedUntil) {
        count++;
      }
    }
    return count;
  }

  private static final class Health {
    private int failures;
    private int ejections;
    private long ejectedUntil = Long.MIN_VALUE / 2;
  }
}
