package org.flamingochute.testsuite.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Simulates the platform's load balancer in front of the entries.
 *
 * <p>It polls the readiness of every entry at a fixed interval and distributes callers round-robin
 * over the entries that were ready at the last poll, or over all entries if none was. If the
 * connection is refused immediately because the process has ended, the next entry is tried.
 */
final class SimulatedLoadBalancer {

  private static final long HEALTH_CHECK_MILLISECONDS = 500;

  private final ScenarioEnvironment environment;
  private List<SimulatedEntry> readyEntries = List.of();
  private int nextIndex;

  SimulatedLoadBalancer(ScenarioEnvironment environment) {
    this.environment = environment;
    checkHealth();
  }

  private void checkHealth() {
    List<SimulatedEntry> nowReady = new ArrayList<>();
    for (SimulatedEntry entry : environment.entries()) {
      if (entry.isRunning() && entry.node().isReady()) {
        nowReady.add(entry);
      }
    }
    readyEntries = nowReady;
    environment.clock.runAfter(HEALTH_CHECK_MILLISECONDS, this::checkHealth);
  }

  /** Returns the entry for the next caller, or empty if every candidate process has ended. */
  Optional<SimulatedEntry> chooseEntry() {
    List<SimulatedEntry> candidates =
        readyEntries.isEmpty() ? List.copyOf(environment.entries()) : readyEntries;
    for (int i = 0; i < candidates.size(); i++) {
      SimulatedEntry entry = candidates.get(nextIndex++ % candidates.size());
      if (!entry.process().isKilled()) {
        return Optional.of(entry);
      }
    }
    return Optional.empty();
  }
}
