package org.flamingochute.decision.admission;

import java.util.Comparator;
import java.util.Iterator;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The waiting requests of one team and its position in virtual time. Guarded by the lock of the
 * queue that it is part of.
 */
final class TeamBacklog<T> {

  /** Part of a request's time that the estimate of the service time may claim. */
  private static final double LARGEST_ESTIMATED_PART = 0.5;

  private final TreeSet<Waiting<T>> byDeadline = new TreeSet<>(Waiting.BY_DEADLINE);
  private final NavigableMap<Long, Waiting<T>> bySequence = new TreeMap<>();
  private final ServiceTimeEstimator serviceTime;
  private final FleetServiceRatio fleetService = new FleetServiceRatio();
  private double virtualFinish;

  TeamBacklog(double initialServiceMilliseconds, double virtualFinish) {
    this.serviceTime = new ServiceTimeEstimator(initialServiceMilliseconds);
    this.virtualFinish = virtualFinish;
  }

  void add(QueuedRequest<T> request, long sequence) {
    Waiting<T> waiting = new Waiting<>(request, sequence);
    byDeadline.add(waiting);
    bySequence.put(sequence, waiting);
  }

  /** Removes the request that leaves next, in the given order. */
  QueuedRequest<T> removeNext(WithinTeamOrder order, long nowMilliseconds) {
    Waiting<T> next =
        switch (order) {
          case WithinTeamOrder.EarliestDeadline deadline -> byDeadline.first();
          case WithinTeamOrder.NewestUnderOverload(long threshold) ->
              oldestWait(nowMilliseconds) > threshold
                  ? bySequence.lastEntry().getValue()
                  : byDeadline.first();
        };
    remove(next);
    return next.request;
  }

  /** Removes the request with the latest deadline. */
  QueuedRequest<T> removeLatestDeadline() {
    Waiting<T> last = byDeadline.last();
    remove(last);
    return last.request;
  }

  /** Removes the request with the earliest deadline when it can not be answered in time. */
  Optional<QueuedRequest<T>> removeUnreachable(long nowMilliseconds) {
    if (byDeadline.isEmpty()) {
      return Optional.empty();
    }
    Waiting<T> first = byDeadline.first();
    if (!isUnreachable(first.request, nowMilliseconds)) {
      return Optional.empty();
    }
    remove(first);
    return Optional.of(first.request);
  }

  /**
   * Tells whether a request can not be answered in time by the upper estimate of the service time.
   *
   * <p>The estimate counts for at most half of the time that the request came with. Otherwise a
   * single slow answer could raise it above the time of every request, and with none served the
   * estimate would never come down again.
   */
  boolean isUnreachable(QueuedRequest<T> request, long nowMilliseconds) {
    long given = request.deadlineMilliseconds() - request.arrivalMilliseconds();
    double needed = Math.min(serviceTime.upperMilliseconds(), given * LARGEST_ESTIMATED_PART);
    return request.deadlineMilliseconds() < nowMilliseconds + Math.max(1, needed);
  }

  boolean removeSame(QueuedRequest<T> request) {
    Iterator<Waiting<T>> iterator = byDeadline.iterator();
    while (iterator.hasNext()) {
      Waiting<T> waiting = iterator.next();
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

  private long oldestWait(long nowMilliseconds) {
    return nowMilliseconds - bySequence.firstEntry().getValue().request.arrivalMilliseconds();
  }

  private void remove(Waiting<T> waiting) {
    byDeadline.remove(waiting);
    bySequence.remove(waiting.sequence);
  }

  private record Waiting<T>(QueuedRequest<T> request, long sequence) {

    private static final Comparator<Waiting<?>> BY_DEADLINE =
        Comparator.<Waiting<?>>comparingLong(waiting -> waiting.request.deadlineMilliseconds())
            .thenComparingLong(waiting -> waiting.sequence);
  }
}
