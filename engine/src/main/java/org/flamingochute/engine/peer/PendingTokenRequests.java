package org.flamingochute.engine.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;

/**
 * The unfulfilled parts of peers' token requests, stored until they expire.
 *
 * <p>A token that becomes free while a peer's request is pending is sent immediately, instead of
 * after the peer's next request. Example: B requests 3 tokens and receives 1; when a request of
 * this entry ends 40 ms later and no other one waits here, B receives its token.
 */
final class PendingTokenRequests {

  private final Map<TeamId, Deque<PendingRequest>> requests = new HashMap<>();

  /**
   * Replaces the pending request of a peer.
   *
   * @param tokens number of tokens still requested; 0 removes the request
   * @param expiryMilliseconds monotonic time after which the peer will have repeated its request
   */
  synchronized void replace(TeamId team, Incarnation peer, int tokens, long expiryMilliseconds) {
    Deque<PendingRequest> teamRequests = requests.computeIfAbsent(team, key -> new ArrayDeque<>());
    teamRequests.removeIf(request -> request.peer().equals(peer));
    if (tokens > 0) {
      teamRequests.addLast(new PendingRequest(peer, tokens, expiryMilliseconds));
    }
  }

  /** Removes and returns the oldest request that has not expired. */
  synchronized Optional<PendingRequest> removeOldest(TeamId team, long nowMilliseconds) {
    Deque<PendingRequest> teamRequests = requests.get(team);
    if (teamRequests == null) {
      return Optional.empty();
    }
    while (!teamRequests.isEmpty()) {
      PendingRequest oldest = teamRequests.removeFirst();
      if (oldest.expiryMilliseconds() > nowMilliseconds) {
        return Optional.of(oldest);
      }
    }
    return Optional.empty();
  }

  /**
   * A token request with an expiry time.
   *
   * @param peer the requesting entry
   * @param tokens number of tokens still requested
   * @param expiryMilliseconds monotonic time at which the request expires
   */
  record PendingRequest(Incarnation peer, int tokens, long expiryMilliseconds) {}
}
