package org.flamingochute.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.flamingochute.schema.TeamPeak;

/** Counts what each team has running now over all endpoints, and the most it had at once. */
public final class TeamConcurrency {

  private final Map<String, Count> teams = new TreeMap<>();

  private static final class Count {
    private int running;
    private int peak;
  }

  /** Counts the begin of a request or task of a team. */
  public synchronized void begin(String team) {
    Count count = teams.computeIfAbsent(team, name -> new Count());
    count.running++;
    count.peak = Math.max(count.peak, count.running);
  }

  /** Counts the end of a request or task of a team. */
  public synchronized void end(String team) {
    teams.get(team).running--;
  }

  /** Returns what a team has running now. */
  public synchronized int running(String team) {
    Count count = teams.get(team);
    return count == null ? 0 : count.running;
  }

  /** Returns the most that each team had running at once. */
  public synchronized List<TeamPeak> peaks() {
    List<TeamPeak> peaks = new ArrayList<>();
    for (Map.Entry<String, Count> team : teams.entrySet()) {
      peaks.add(
          TeamPeak.newBuilder().setTeam(team.getKey()).setRunning(team.getValue().peak).build());
    }
    return peaks;
  }
}
