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

/** What each peer reported last of each team. */
public final class PeerUsage {

  private final Map<Incarnation, Map<TeamId, TeamUsage>> usages = new HashMap<>();
  private final Set<Incarnation> stopping = new HashSet<>();

  /**
   * Keeps a report.
   *
   * @return requests that the peer started since its report before; 0 for its first report
   */
  synchronized long take(Incarnation peer, TeamUsage usage) {
    TeamUsage before =
        usages
            .computeIfAbsent(peer, key -> new HashMap<>())
            .put(new TeamId(usage.getTeam()), usage);
    if (before == null) {
      return 0;
    }
    return Math.max(0, usage.getStartedTotal() - before.getStartedTotal());
  }

  /** Forgets a peer. */
  synchronized void remove(Incarnation peer) {
    usages.remove(peer);
    stopping.remove(peer);
  }

  /** Notes that a peer has begun to stop. */
  synchronized void noteStopping(Incarnation peer) {
    stopping.add(peer);
  }

  /** Tells whether a peer has begun to stop. */
  public synchronized boolean isStopping(Incarnation peer) {
    return stopping.contains(peer);
  }

  /** Returns what the peers reported of their tokens of a team. */
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

  /** Tells whether requests of a team wait at a peer. */
  synchronized boolean isWaiting(Incarnation peer, TeamId team) {
    Map<TeamId, TeamUsage> ofPeer = usages.getOrDefault(peer, Map.of());
    return ofPeer.getOrDefault(team, TeamUsage.getDefaultInstance()).getWaiting() > 0;
  }

  /** Returns the requests of a team that run at the peers. */
  public synchronized int running(TeamId team) {
    int total = 0;
    for (Map<TeamId, TeamUsage> ofPeer : usages.values()) {
      total += ofPeer.getOrDefault(team, TeamUsage.getDefaultInstance()).getRunning();
    }
    return total;
  }

  /** Returns the requests of a team that wait at the peers. */
  public synchronized int waiting(TeamId team) {
    int total = 0;
    for (Map<TeamId, TeamUsage> ofPeer : usages.values()) {
      total += ofPeer.getOrDefault(team, TeamUsage.getDefaultInstance()).getWaiting();
    }
    return total;
  }
}
