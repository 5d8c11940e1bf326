package org.flamingochute.decision.admission;

import java.util.Comparator;
import java.util.Iterator;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The waiting requests of one team and its position in virtual time. Guarded by the lock of the
 * queue.
 */
final class TeamBacklog<T> {

  /**
   * Upper limit of the estimated service time, as a fraction of the time from arrival to deadline.
   */
  private static final double MAXIMUM_ESTIMATE_FRACTION = 0.5;

  private final TreeSet<WaitingRequest<T>> byDeadline = new TreeSet<>(WaitingRequest.BY_DEADLINE);
  private final NavigableMap<Long, WaitingRequest<T>> bySequence = new TreeMap<>();
  private final ServiceTimeEstimator serviceTime;
  private final FleetServiceRatio fleetService = new FleetServiceRatio();
  private double virtualFinish;

  TeamBacklog(double initialServiceMilliseconds, double virtualFinish) {
    this.serviceTime = new ServiceTimeEstimator(initialServiceMilliseconds);
    this.virtualFinish = virtualFinish;
  }

  void add(QueuedRequest<T> request, long sequence) {
    WaitingRequest<T> waiting = new WaitingRequest<>(request, sequence);
    byDeadline.add(waiting);
    bySequence.put(sequence, waiting);
  }

  /** Removes the next request in the given order. */
  QueuedRequest<T> removeNext(WithinTeamOrder order, long nowMilliseconds) {
    WaitingRequest<T> next =
        switch (order) {
          case WithinTeamOrder.EarliestDeadline deadline -> byDeadline.first();
          case WithinTeamOrder.NewestUnderOverload(long thresholdMilliseconds) ->
              oldestWaitMilliseconds(nowMilliseconds) > thresholdMilliseconds
                  ? bySequence.lastEntry().getValue()
                  : byDeadline.first();
        };
    remove(next);
    return next.request;
  }

  /** Removes the request with the latest deadline. */
  QueuedRequest<T> removeLatestDeadline() {
    WaitingRequest<T> last = byDeadline.last();
    remove(last);
    return last.request;
  }

  /** Removes the request with the earliest deadline if it cannot be answered in time. */
  Optional<QueuedRequest<T>> removeUnreachable(long nowMilliseconds) {
    if (byDeadline.isEmpty()) {
      return Optional.empty();
    }
    WaitingRequest<T> first = byDeadline.first();
    if (!isUnreachable(first.request, nowMilliseconds)) {
      return Optional.empty();
    }
    remove(first);
    return Optional.of(first.request);
  }

  /**
   * Returns whether a request cannot be answered in time by the upper estimate of the service time.
   *
   * <p>The estimate is limited to half of the time between arrival and deadline of the request.
   * Otherwise a single slow response could raise it above the time of every request, and as no
   * request would be served then, the estimate would never decrease again.
   */
  boolean isUnreachable(QueuedRequest<T> request, long nowMilliseconds) {
    long totalMilliseconds = request.deadlineMilliseconds() - request.arrivalMilliseconds();
    double neededMilliseconds =
        Math.min(serviceTime.upperMilliseconds(), totalMilliseconds * MAXIMUM_ESTIMATE_FRACTION);
    return request.deadlineMilliseconds() < nowMilliseconds + Math.max(1, neededMilliseconds);
  }

  boolean removeIdentical(QueuedRequest<T> request) {
    Iterator<WaitingRequest<T>> iterator = byDeadline.iterator();
    while (iterator.hasNext()) {
      WaitingRequest<T> waiting = iterator.next();
      if (waiting.request == request) {
        iterator.remove();
        bySequence.remove(waiting.sequence);
        return true;
      }
    }
    return false;
  }

  int size() {
    return byDeadline.size();
  }

  boolean isEmpty() {
    return byDeadline.isEmpty();
  }

  ServiceTimeEstimator serviceTime() {
    return serviceTime;
  }

  FleetServiceRatio fleetService() {
    return fleetService;
  }

  double virtualFinish() {
    return virtualFinish;
  }

  void setVirtualFinish(double value) {
    virtualFinish = value;
  }

  private long oldestWaitMilliseconds(long nowMilliseconds) {
    return nowMilliseconds - bySequence.firstEntry().getValue().request.arrivalMilliseconds();
  }

  private void remove(WaitingRequest<T> waiting) {
    byDeadline.remove(waiting);
    bySequence.remove(waiting.sequence);
  }

  private record WaitingRequest<T>(QueuedRequest<T> request, long sequence) {

    private static final Comparator<WaitingRequest<?>> BY_DEADLINE =
        Comparator.<WaitingRequest<?>>comparingLong(
                waiting -> waiting.request.deadlineMilliseconds())
            .thenComparingLong(waiting -> waiting.sequence);
  }
}
