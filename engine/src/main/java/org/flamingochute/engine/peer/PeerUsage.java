package org.flamingochute.engine.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.decision.capacity.PeerTokens;
import org.flamingochute.decision.identity.Incarnation;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.schema.TeamUsage;

/** The latest usage of each team that each peer reported. */
public final class PeerUsage {

  private final Map<Incarnation, Map<TeamId, TeamUsage>> usages = new HashMap<>();
  private final Set<Incarnation> stopping = new HashSet<>();

  /**
   * Stores a report.
   *
   * @return requests that the peer started since its previous report; 0 for its first report
   */
  synchronized long update(Incarnation peer, TeamUsage usage) {
    TeamUsage previous =
        usages
            .computeIfAbsent(peer, key -> new HashMap<>())
            .put(new TeamId(usage.getTeam()), usage);
    if (previous == null) {
      return 0;
    }
    return Math.max(0, usage.getStartedTotal() - previous.getStartedTotal());
  }

  /** Removes a peer. */
  synchronized void removePeer(Incarnation peer) {
    usages.remove(peer);
    stopping.remove(peer);
  }

  /** Records that a peer has begun to stop. */
  synchronized void markStopping(Incarnation peer) {
    stopping.add(peer);
  }

  /** Returns whether a peer has begun to stop. */
  public synchronized boolean isStopping(Incarnation peer) {
    return stopping.contains(peer);
  }

  /** Returns the free tokens of a team and its waiting requests and jobs, as reported by peers. */
  public synchronized List<PeerTokens> tokens(TeamId team) {
    List<PeerTokens> found = new ArrayList<>();
    for (Map.Entry<Incarnation, Map<TeamId, TeamUsage>> peer : usages.entrySet()) {
      TeamUsage usage = peer.getValue().get(team);
      if (usage != null) {
        found.add(new PeerTokens(peer.getKey(), usage.getFreeTokens(), usage.getWaiting()));
      }
    }
    return found;
  }

  /** Returns whether requests or jobs of a team wait at a peer. */
  synchronized boolean hasWaitingRequests(Incarnation peer, TeamId team) {
    Map<TeamId, TeamUsage> peerUsages = usages.getOrDefault(peer, Map.of());
    return peerUsages.getOrDefault(team, TeamUsage.getDefaultInstance()).getWaiting() > 0;
  }

  /** Returns the number of requests of a team that run at the peers. */
  public synchronized int running(TeamId team) {
    int total = 0;
    for (Map<TeamId, TeamUsage> peerUsages : usages.values()) {
      total += peerUsages.getOrDefault(team, TeamUsage.getDefaultInstance()).getRunning();
    }
    return total;
  }

  /** Returns the number of requests and jobs of a team that wait at the peers. */
  public synchronized int waiting(TeamId team) {
    int total = 0;
    for (Map<TeamId, TeamUsage> peerUsages : usages.values()) {
      total += peerUsages.getOrDefault(team, TeamUsage.getDefaultInstance()).getWaiting();
    }
    return total;
  }
}
