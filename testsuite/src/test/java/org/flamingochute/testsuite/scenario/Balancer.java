package org.flamingochute.testsuite.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Simulates the platform's load balancer in front of the entries.
 *
 * <p>It polls the readiness of every entry at a fixed interval and distributes callers round-robin
 * over the entries that were ready at the last poll. If the connection is refused immediately
 * because the process has ended, the next entry is tried.
 */
final class Balancer {

  private static final long HEALTH_CHECK_MILLISECONDS = 500;

  private final ScenarioWorld world;
  private List<SimulatedEntry> ready = List.of();
  private int next;

  Balancer(ScenarioWorld world) {
    this.world = world;
    checkHealth();
  }

  private void checkHealth() {
    List<SimulatedEntry> found = new ArrayList<>();
    for (SimulatedEntry entry : world.entries()) {
      if (entry.isRunning() && entry.node().isReady()) {
        found.add(entry);
      }
    }
    ready = found;
    world.clock.after(HEALTH_CHECK_MILLISECONDS, this::checkHealth);
  }

  /** Returns the entry for the next caller, or empty if every candidate process has ended. */
  Optional<SimulatedEntry> choose() {
    List<SimulatedEntry> candidates = ready.isEmpty() ? List.copyOf(world.entries()) : ready;
    for (int i = 0; i < candidates.size(); i++) {
      SimulatedEntry entry = candidates.get(next++ % candidates.size());
      if (!entry.process().isKilled()) {
        return Optional.of(entry);
      }
    }
    return Optional.empty();
  }
}
