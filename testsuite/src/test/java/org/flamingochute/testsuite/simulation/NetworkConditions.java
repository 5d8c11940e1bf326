package org.flamingochute.testsuite.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The connectivity and latency between the nodes of the simulated network. */
public final class NetworkConditions {

  /** Name of the platform's log as a network node. */
  public static final String LOG = "log";

  private static final long ONE_WAY_MILLISECONDS = 1;

  private final Set<Direction> cuts = new HashSet<>();
  private final Map<Direction, Long> delays = new HashMap<>();

  private record Direction(String from, String to) {}

  /** Drops all messages in one direction from now on. */
  public void cut(String from, String to) {
    cuts.add(new Direction(from, to));
  }

  /** Restores one direction and removes its added delay. */
  public void heal(String from, String to) {
    cuts.remove(new Direction(from, to));
    delays.remove(new Direction(from, to));
  }

  /** Sets the additional delay of one direction. */
  public void delay(String from, String to, long milliseconds) {
    delays.put(new Direction(from, to), milliseconds);
  }

  /** Returns whether a message sent now arrives. */
  public boolean passes(String from, String to) {
    return !cuts.contains(new Direction(from, to));
  }

  /** Returns the latency of a message in milliseconds. */
  public long latencyMilliseconds(String from, String to) {
    return ONE_WAY_MILLISECONDS + delays.getOrDefault(new Direction(from, to), 0L);
  }
}
