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
 * Serves requests in the order of their arrival, whatever their team. A request is shed only when
 * its deadline has passed. The plain baseline that {@link FairRequestQueue} is compared with.
 */
public final class FirstComeRequestQueue<T> implements RequestQueue<T> {

  private final QueueBounds bounds;
  private final ReentrantLock lock = new ReentrantLock();
  private final LinkedHashSet<Waiting<T>> waiting = new LinkedHashSet<>();

  /** Creates an empty queue. */
  public FirstComeRequestQueue(QueueBounds bounds) {
    this.bounds = bounds;
  }

  @Override
  public OfferResult<T> offer(QueuedRequest<T> request, long nowMilliseconds) {
    lock.lock();
    try {
      if (request.deadlineMilliseconds() <= nowMilliseconds) {
        return new OfferResult.Refused<>(ShedReason.DEADLINE_UNREACHABLE);
      }
      if (waiting.size() >= bounds.maximumWaiting()) {
        return new OfferResult.Refused<>(ShedReason.QUEUE_FULL);
      }
      waiting.add(new Waiting<>(request));
      return new OfferResult.Queued<>();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Optional<QueuedRequest<T>> poll(long nowMilliseconds, Predicate<TeamId> eligible) {
    lock.lock();
    try {
      Iterator<Waiting<T>> iterator = waiting.iterator();
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
      Iterator<Waiting<T>> iterator = waiting.iterator();
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
  public boolean withdraw(QueuedRequest<T> request) {
    lock.lock();
    try {
      return waiting.removeIf(candidate -> candidate.request == request);
    } finally {
      lock.unlock();
    }
  }

  @Override
  public void observeServiceTime(TeamId team, double milliseconds) {
    // The order of arrival depends on no service time.
  }

  @Override
  public void observeRemoteService(TeamId team, double requests) {
    // The order of arrival depends on no other entry.
  }

  @Override
  public int size() {
    lock.lock();
    try {
      return waiting.size();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public int size(TeamId team) {
    lock.lock();
    try {
      return (int) waiting.stream().filter(entry -> entry.request.team().equals(team)).count();
    } finally {
      lock.unlock();
    }
  }

  /** Gives each waiting request an identity of its own, also when two are equal. */
  private static final class Waiting<T> {

    private final QueuedRequest<T> request;

    private Waiting(QueuedRequest<T> request) {
      this.request = request;
    }
  }
}
