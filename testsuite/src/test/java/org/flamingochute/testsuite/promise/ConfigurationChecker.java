package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.testsuite.observation.Observation;

/**
 * Checks that the configuration version never decreases at any entry, that connected entries have
 * the newest accepted version at the end, and that entries at the same log offset have the same
 * state.
 */
public final class ConfigurationChecker implements PromiseChecker {

  private static final long LIMIT_MILLISECONDS = 17_000;

  @Override
  public String promise() {
    return "An accepted configuration is in force everywhere within seconds and never reverts.";
  }

  @Override
  public List<String> violations(Evidence evidence) {
    List<String> violations = new ArrayList<>();
    Map<String, Long> newestSeen = new HashMap<>();
    long accepted = 0;
    for (Observation observation : evidence.journal().all()) {
      switch (observation) {
        case Observation.VersionSeen seen -> {
          long before = newestSeen.getOrDefault(seen.incarnation(), 0L);
          if (seen.version() < before) {
            violations.add(
                seen.incarnation() + " went from version " + before + " to " + seen.version());
          }
          newestSeen.put(seen.incarnation(), seen.version());
        }
        case Observation.PatchAnswered answered -> {
          boolean due =
              answered.entry().getAccepted()
                  && answered.atMilliseconds() + LIMIT_MILLISECONDS <= evidence.endMilliseconds();
          if (due) {
            accepted = Math.max(accepted, answered.entry().getResultingVersion());
          }
        }
        default -> {}
      }
    }
    checkFinalViews(evidence, accepted, violations);
    return violations;
  }

  private static void checkFinalViews(Evidence evidence, long accepted, List<String> violations) {
    Map<Long, Evidence.FinalView> byOffset = new HashMap<>();
    for (Evidence.FinalView view : evidence.finalViews()) {
      if (view.connected() && view.version() < accepted) {
        violations.add(
            view.entry() + " has version " + view.version() + ", accepted is " + accepted);
      }
      Evidence.FinalView other = byOffset.putIfAbsent(view.offset(), view);
      if (other != null && !other.imageDigest().equals(view.imageDigest())) {
        violations.add(
            view.entry() + " and " + other.entry() + " differ at offset " + view.offset());
      }
    }
  }
}
