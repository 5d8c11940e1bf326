package org.flamingochute.testsuite.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The connectivity and latency between the nodes of the simulated network. */
public final class NetworkConditions {

  /** Name of the platform's log as a network node. */
  public static final String LOG = "log";

  private static final long ONE_WAY_LATENCY_MILLISECONDS = 1;

  private final Set<DirectedLink> disconnectedLinks = new HashSet<>();
  private final Map<DirectedLink, Long> addedDelays = new HashMap<>();

  private record DirectedLink(String from, String to) {}

  /** Drops all messages that are sent in one direction from now on. */
  public void disconnect(String from, String to) {
    disconnectedLinks.add(new DirectedLink(from, to));
  }

  /** Restores one direction and removes its added delay. */
  public void reconnect(String from, String to) {
    disconnectedLinks.remove(new DirectedLink(from, to));
    addedDelays.remove(new DirectedLink(from, to));
  }

  /** Sets the additional delay of one direction. */
  public void addDelay(String from, String to, long milliseconds) {
    addedDelays.put(new DirectedLink(from, to), milliseconds);
  }

  /** Returns whether a message sent now is delivered. */
  public boolean isConnected(String from, String to) {
    return !disconnectedLinks.contains(new DirectedLink(from, to));
  }

  /** Returns the latency of a message in milliseconds. */
  public long latencyMilliseconds(String from, String to) {
    return ONE_WAY_LATENCY_MILLISECONDS + addedDelays.getOrDefault(new DirectedLink(from, to), 0L);
  }
}
