package org.flamingochute.decision.admission;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import org.flamingochute.decision.identity.TeamId;

/**
 * Serves requests in order of arrival, regardless of team. A queued request is shed only when its
 * deadline has passed. A simple baseline to compare {@link FairRequestQueue} with.
 */
public final class FirstComeFirstServedQueue<T> implements RequestQueue<T> {

  private final QueueBounds bounds;
  private final ReentrantLock lock = new ReentrantLock();
  private final LinkedHashSet<WaitingRequest<T>> waitingRequests = new LinkedHashSet<>();

  /** Creates an empty queue. */
  public FirstComeFirstServedQueue(QueueBounds bounds) {
    this.bounds = bounds;
  }

  @Override
  public OfferResult<T> offer(QueuedRequest<T> request, long nowMilliseconds) {
    lock.lock();
    try {
      if (request.deadlineMilliseconds() <= nowMilliseconds) {
        return new OfferResult.Refused<>(ShedReason.DEADLINE_UNREACHABLE);
      }
      if (waitingRequests.size() >= bounds.maximumWaiting()) {
        return new OfferResult.Refused<>(ShedReason.QUEUE_FULL);
      }
      waitingRequests.add(new WaitingRequest<>(request));
      return new OfferResult.Queued<>();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Optional<QueuedRequest<T>> poll(long nowMilliseconds, Predicate<TeamId> eligible) {
    lock.lock();
    try {
      Iterator<WaitingRequest<T>> iterator = waitingRequests.iterator();
      while (iterator.hasNext()) {
        QueuedRequest<T> request = iterator.next().request;
        if (request.deadlineMilliseconds() > nowMilliseconds && eligible.test(request.team())) {
          iterator.remove();
          return Optional.of(request);
        }
      }
      return Optional.empty();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public List<ShedRequest<T>> expire(long nowMilliseconds) {
    lock.lock();
    try {
      List<ShedRequest<T>> shed = new ArrayList<>();
      Iterator<WaitingRequest<T>> iterator = waitingRequests.iterator();
      while (iterator.hasNext()) {
        QueuedRequest<T> request = iterator.next().request;
        if (request.deadlineMilliseconds() <= nowMilliseconds) {
          iterator.remove();
          shed.add(new ShedRequest<>(request, ShedReason.DEADLINE_UNREACHABLE));
        }
      }
      return shed;
    } finally {
      lock.unlock();
    }
  }

  @Override
  public boolean remove(QueuedRequest<T> request) {
    lock.lock();
    try {
      return waitingRequests.removeIf(candidate -> candidate.request == request);
    } finally {
      lock.unlock();
    }
  }

  @Override
  public void observeServiceTime(TeamId team, double milliseconds) {
    // The order of arrival does not depend on service times.
  }

  @Override
  public void observeRemoteService(TeamId team, double requests) {
    // The order of arrival does not depend on other entries.
  }

  @Override
  public int size() {
    lock.lock();
    try {
      return waitingRequests.size();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public int size(TeamId team) {
    lock.lock();
    try {
      return (int)
          waitingRequests.stream().filter(waiting -> waiting.request.team().equals(team)).count();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Wraps a waiting request; wrappers are compared by identity, so equal requests stay distinct.
   */
  private static final class WaitingRequest<T> {

    private final QueuedRequest<T> request;

    private WaitingRequest(QueuedRequest<T> request) {
      this.request = request;
    }
  }
}
