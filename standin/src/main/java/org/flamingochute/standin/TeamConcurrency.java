package org.flamingochute.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.flamingochute.schema.TeamPeak;

/** Current and peak number of running requests and tasks per team, over all endpoints. */
public final class TeamConcurrency {

  private final Map<String, Count> teams = new TreeMap<>();

  private static final class Count {
    private int running;
    private int peak;
  }

  /** Records the start of a request or task of a team. */
  public synchronized void recordStart(String team) {
    Count count = teams.computeIfAbsent(team, name -> new Count());
    count.running++;
    count.peak = Math.max(count.peak, count.running);
  }

  /** Records the end of a request or task of a team. */
  public synchronized void recordEnd(String team) {
    teams.get(team).running--;
  }

  /** Returns the current number of running requests and tasks of a team. */
  public synchronized int runningCount(String team) {
    Count count = teams.get(team);
    return count == null ? 0 : count.running;
  }

  /** Returns the peak concurrency of each team. */
  public synchronized List<TeamPeak> peaks() {
    List<TeamPeak> peaks = new ArrayList<>();
    for (Map.Entry<String, Count> team : teams.entrySet()) {
      peaks.add(
          TeamPeak.newBuilder().setTeam(team.getKey()).setRunning(team.getValue().peak).build());
    }
    return peaks;
  }
}
