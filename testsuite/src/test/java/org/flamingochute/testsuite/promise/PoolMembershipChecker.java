package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the pools of each runner and worker over all entries that know the same records. Entries
 * belong to no pool.
 */
public final class PoolMembershipChecker implements PromiseChecker {

  @Override
  public String promise() {
    return "An instance belongs to exactly one pool.";
  }

  @Override
  public List<String> violations(Evidence evidence) {
    List<String> violations = new ArrayList<>();
    Map<String, Map<Long, String>> poolByOffset = new HashMap<>();
    for (Evidence.FinalView view : evidence.finalViews()) {
      view.poolOfInstance()
          .forEach(
              (instance, pool) -> {
                if (evidence.instances().get(instance).firstPool().isEmpty()) {
                  return;
                }
                Map<Long, String> pools =
                    poolByOffset.computeIfAbsent(instance, name -> new HashMap<>());
                String other = pools.putIfAbsent(view.offset(), pool);
                if (pool.isEmpty() || (other != null && !other.equals(pool))) {
                  violations.add(
                      instance + " is in pool \"" + pool + "\" and in \"" + other + "\"");
                }
              });
    }
    return violations;
  }
}
