package org.flamingochute.decision.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.flamingochute.decision.identity.TeamId;

/**
 * The requests of one service that wait at one entry. All methods may be called from any thread.
 *
 * <p>Each request that was offered leaves exactly once: by {@link #poll}, by {@link #expire}, as
 * the evicted one of an {@link OfferResult}, or by {@link #withdraw}.
 */
public interface RequestQueue<T> {

  /** Offers a request. */
  OfferResult<T> offer(QueuedRequest<T> request, long nowMilliseconds);

  /**
   * Removes and returns the request that is to be dispatched next. Requests that cannot meet their
   * deadline are not returned; the next {@link #expire} returns them.
   *
   * @param eligible tells whether a team may start a request now, for example whether it has a
   *     token
   */
  Optional<QueuedRequest<T>> poll(long nowMilliseconds, Predicate<TeamId> eligible);

  /** Removes and returns the requests that cannot meet their deadline any more. */
  List<ShedRequest<T>> expire(long nowMilliseconds);

  /**
   * Removes a request, for example because its caller is gone; false when it does not wait here.
   */
  boolean withdraw(QueuedRequest<T> request);

  /** Takes the service time of an answered request into account. */
  void observeServiceTime(TeamId team, double milliseconds);

  /**
   * Takes requests into account that other entries started for the team.
   *
   * @param requests number of requests started since the last call
   */
  void observeRemoteService(TeamId team, double requests);

  /** Returns the number of waiting requests. */
  int size();

  /** Returns the number of waiting requests of a team. */
  int size(TeamId team);
}
