package org.flamingochute.decision.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.flamingochute.decision.identity.TeamId;

/**
 * The waiting requests of one service at one entry. Implementations are thread-safe.
 *
 * <p>Each queued request is removed exactly once: by {@link #poll}, by {@link #expire}, as the
 * evicted one of an {@link OfferResult}, or by {@link #remove}.
 */
public interface RequestQueue<T> {

  /** Offers a request. */
  OfferResult<T> offer(QueuedRequest<T> request, long nowMilliseconds);

  /**
   * Removes and returns the next request to dispatch. Requests that cannot meet their deadline are
   * not returned; the next {@link #expire} returns them.
   *
   * @param eligible returns whether a team may start a request now, for example because it has a
   *     token
   */
  Optional<QueuedRequest<T>> poll(long nowMilliseconds, Predicate<TeamId> eligible);

  /** Removes and returns the requests that can no longer meet their deadline. */
  List<ShedRequest<T>> expire(long nowMilliseconds);

  /**
   * Removes a request, for example because its caller has disconnected; returns false if it is not
   * in the queue.
   */
  boolean remove(QueuedRequest<T> request);

  /** Records the service time of an answered request. */
  void observeServiceTime(TeamId team, double milliseconds);

  /**
   * Records requests of the team that other entries started.
   *
   * @param requests number of requests started since the last call
   */
  void observeRemoteService(TeamId team, double requests);

  /** Returns the number of waiting requests. */
  int size();

  /** Returns the number of waiting requests of a team. */
  int size(TeamId team);
}
