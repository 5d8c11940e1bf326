package org.flamingochute.engine.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;

/**
 * The part of peers' requests for tokens that could not be met at once, for a short while.
 *
 * <p>A token that comes free here while a peer's request waits for one is sent at once, instead of
 * after the peer's next request. Example: B asks for 3 and gets 1; when a request ends here 40 ms
 * later and none waits here, B gets its token.
 */
final class OpenAsks {

  private final Map<TeamId, Deque<Ask>> asks = new HashMap<>();

  /**
   * Remembers what a peer still wants; replaces what it wanted before.
   *
   * @param untilMilliseconds monotonic time after which the peer will have asked again
   */
  synchronized void remember(TeamId team, Incarnation peer, int wanted, long untilMilliseconds) {
    Deque<Ask> ofTeam = asks.computeIfAbsent(team, key -> new ArrayDeque<>());
    ofTeam.removeIf(ask -> ask.peer().equals(peer));
    if (wanted > 0) {
      ofTeam.addLast(new Ask(peer, wanted, untilMilliseconds));
    }
  }

  /** Removes and returns the oldest request that still stands. */
  synchronized Optional<Ask> takeOldest(TeamId team, long nowMilliseconds) {
    Deque<Ask> ofTeam = asks.get(team);
    if (ofTeam == null) {
      return Optional.empty();
    }
    while (!ofTeam.isEmpty()) {
      Ask oldest = ofTeam.removeFirst();
      if (oldest.untilMilliseconds() > nowMilliseconds) {
        return Optional.of(oldest);
      }
    }
    return Optional.empty();
  }

  /**
   * A request for tokens that stands until a time.
   *
   * @param peer the entry that asked
   * @param wanted tokens that it still wants
   * @param untilMilliseconds monotonic time until which it stands
   */
  record Ask(Incarnation peer, int wanted, long untilMilliseconds) {}
}
