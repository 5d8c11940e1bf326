package org.flamingochute.testsuite.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The platform's balancer in front of the entries.
 *
 * <p>It asks every entry for its readiness at an interval and sends callers in turn to those that
 * were ready at the last question. A connection that is refused at once, as by a process that has
 * ended, goes on to the next entry.
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

  /** Returns the entry that the next caller is sent to. */
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
