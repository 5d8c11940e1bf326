package org.flamingochute.engine.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.flamingochute.decision.identity.TeamId;

/** Counts the requests started by this process, per team. */
public final class StartedRequestCounter {

  private final Map<TeamId, AtomicLong> counts = new ConcurrentHashMap<>();

  /** Counts one request. */
  void increment(TeamId team) {
    counts.computeIfAbsent(team, key -> new AtomicLong()).incrementAndGet();
  }

  /** Returns the number of requests started for the team since the process started. */
  public long total(TeamId team) {
    AtomicLong count = counts.get(team);
    return count == null ? 0 : count.get();
  }
}
