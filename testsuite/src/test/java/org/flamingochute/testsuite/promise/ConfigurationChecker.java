package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingochute.testsuite.observation.Observation;

/**
 * Checks that the configuration version never decreases at any incarnation of an entry, that
 * entries connected to the log have the newest accepted version at the end, and that entries at the
 * same log offset have the same state. Versions that were accepted within the propagation limit
 * before the end are not required.
 */
public final class ConfigurationChecker implements PromiseChecker {

  private static final long PROPAGATION_LIMIT_MILLISECONDS = 17_000;

  @Override
  public String promise() {
    return "An accepted configuration is in force everywhere within seconds and never reverts.";
  }

  @Override
  public List<String> violations(ScenarioResult result) {
    List<String> violations = new ArrayList<>();
    Map<String, Long> newestVersionByIncarnation = new HashMap<>();
    long newestAcceptedVersion = 0;
    for (Observation observation : result.journal().all()) {
      switch (observation) {
        case Observation.VersionObserved observed -> {
          long previousVersion =
              newestVersionByIncarnation.getOrDefault(observed.incarnation(), 0L);
          if (observed.version() < previousVersion) {
            violations.add(
                observed.incarnation()
                    + " went from version "
                    + previousVersion
                    + " to "
                    + observed.version());
          }
          newestVersionByIncarnation.put(observed.incarnation(), observed.version());
        }
        case Observation.PatchCompleted completed -> {
          boolean due =
              completed.entry().getAccepted()
                  && completed.atMilliseconds() + PROPAGATION_LIMIT_MILLISECONDS
                      <= result.endMilliseconds();
          if (due) {
            newestAcceptedVersion =
                Math.max(newestAcceptedVersion, completed.entry().getResultingVersion());
          }
        }
        default -> {}
      }
    }
    checkFinalEntryStates(result, newestAcceptedVersion, violations);
    return violations;
  }

  private static void checkFinalEntryStates(
      ScenarioResult result, long newestAcceptedVersion, List<String> violations) {
    Map<Long, ScenarioResult.FinalEntryState> byOffset = new HashMap<>();
    for (ScenarioResult.FinalEntryState state : result.finalEntryStates()) {
      if (state.isConnectedToLog() && state.version() < newestAcceptedVersion) {
        violations.add(
            state.entry()
                + " has version "
                + state.version()
                + ", accepted is "
                + newestAcceptedVersion);
      }
      ScenarioResult.FinalEntryState other = byOffset.putIfAbsent(state.offset(), state);
      if (other != null && !other.stateDigest().equals(state.stateDigest())) {
        violations.add(
            state.entry() + " and " + other.entry() + " differ at offset " + state.offset());
      }
    }
  }
}
