package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.testsuite.observation.CallerVerdict;
import org.flamingochute.testsuite.observation.Observation;

/**
 * Detects requests that were interrupted by a planned stop, either of a drained runner or of an
 * entry that was shutting down. A call that was in flight while its entry was frozen counts as
 * interrupted by the freeze.
 */
public final class PlannedStopChecker implements PromiseChecker {

  @Override
  public String promise() {
    return "A planned stop is a graceful shutdown: it cuts no request in flight.";
  }

  @Override
  public List<String> violations(Evidence evidence) {
    List<String> violations = new ArrayList<>();
    Map<String, String> entryOfCall = new HashMap<>();
    Map<String, Long> stopOfEntry = new HashMap<>();
    Set<String> openCalls = new HashSet<>();
    Set<String> frozen = new HashSet<>();
    Set<String> excused = new HashSet<>();
    for (Observation observation : evidence.journal().all()) {
      switch (observation) {
        case Observation.WorkCutByPlannedStop cut ->
            violations.add(
                cut.tag()
                    + " was interrupted at "
                    + cut.atMilliseconds()
                    + " ms on "
                    + cut.instance());
        case Observation.RequestSent sent -> {
          entryOfCall.put(sent.call(), sent.entry());
          openCalls.add(sent.call());
          if (frozen.contains(sent.entry())) {
            excused.add(sent.call());
          }
        }
        case Observation.EntryFrozen freeze -> {
          frozen.add(freeze.entry());
          openCalls.stream()
              .filter(call -> freeze.entry().equals(entryOfCall.get(call)))
              .forEach(excused::add);
        }
        case Observation.EntryThawed thaw -> frozen.remove(thaw.entry());
        case Observation.StopAsked asked -> stopOfEntry.put(asked.entry(), asked.atMilliseconds());
        case Observation.RequestEnded ended -> {
          openCalls.remove(ended.call());
          String entry = entryOfCall.get(ended.call());
          boolean cut = ended.verdict() == CallerVerdict.NO_WORD && !excused.contains(ended.call());
          if (cut && stopOfEntry.containsKey(entry)) {
            violations.add(
                ended.call() + " got no response from " + entry + ", which was stopping");
          }
        }
        default -> {}
      }
    }
    return violations;
  }
}
