package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the pool of each runner and worker between the entries that have applied the log up to
 * the same offset: the pool must be the same at all of these entries, and not empty. An instance
 * that none of them contains is accepted. Entries themselves belong to no pool.
 */
public final class PoolMembershipChecker implements PromiseChecker {

  private static final String UNKNOWN = "(unknown)";

  @Override
  public String promise() {
    return "An instance belongs to exactly one pool.";
  }

  @Override
  public List<String> violations(ScenarioResult result) {
    List<String> violations = new ArrayList<>();
    Map<Long, ScenarioResult.FinalEntryState> firstByOffset = new HashMap<>();
    for (ScenarioResult.FinalEntryState state : result.finalEntryStates()) {
      ScenarioResult.FinalEntryState first =
          firstByOffset.computeIfAbsent(state.offset(), offset -> state);
      for (ScenarioResult.InstanceDetails instance : result.instances().values()) {
        if (!instance.firstPool().isEmpty()) {
          compare(instance.name(), first, state, violations);
        }
      }
    }
    return violations;
  }

  private static void compare(
      String instance,
      ScenarioResult.FinalEntryState first,
      ScenarioResult.FinalEntryState other,
      List<String> violations) {
    String pool = first.poolOfInstance().getOrDefault(instance, UNKNOWN);
    String otherPool = other.poolOfInstance().getOrDefault(instance, UNKNOWN);
    if (pool.isEmpty() || !pool.equals(otherPool)) {
      violations.add(
          instance
              + " is in pool \""
              + pool
              + "\" at "
              + first.entry()
              + " and in \""
              + otherPool
              + "\" at "
              + other.entry());
    }
  }
}
