package org.flamingochute.testsuite.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.observation.ObservedOutcome;

/**
 * Detects requests and job attempts that a planned stop interrupted: work that ran on an instance
 * when it was rebooted or retired, and calls that ended without a response after a graceful stop of
 * their entry had been requested. A call that was in flight while its entry was frozen is not
 * counted, because the freeze may be the cause.
 */
public final class PlannedStopChecker implements PromiseChecker {

  @Override
  public String promise() {
    return "A planned stop is a graceful shutdown: it cuts no request in flight.";
  }

  @Override
  public List<String> violations(ScenarioResult result) {
    List<String> violations = new ArrayList<>();
    Map<String, String> entryOfCall = new HashMap<>();
    Map<String, Long> stopTimeOfEntry = new HashMap<>();
    Set<String> openCalls = new HashSet<>();
    Set<String> frozenEntries = new HashSet<>();
    Set<String> callsDuringFreeze = new HashSet<>();
    for (Observation observation : result.journal().all()) {
      switch (observation) {
        case Observation.WorkInterruptedByPlannedStop interrupted ->
            violations.add(
                interrupted.tag()
                    + " was interrupted at "
                    + interrupted.atMilliseconds()
                    + " ms on "
                    + interrupted.instance());
        case Observation.RequestSent sent -> {
          entryOfCall.put(sent.call(), sent.entry());
          openCalls.add(sent.call());
          if (frozenEntries.contains(sent.entry())) {
            callsDuringFreeze.add(sent.call());
          }
        }
        case Observation.EntryFrozen frozen -> {
          frozenEntries.add(frozen.entry());
          openCalls.stream()
              .filter(call -> frozen.entry().equals(entryOfCall.get(call)))
              .forEach(callsDuringFreeze::add);
        }
        case Observation.EntryResumed resumed -> frozenEntries.remove(resumed.entry());
        case Observation.StopRequested requested ->
            stopTimeOfEntry.put(requested.entry(), requested.atMilliseconds());
        case Observation.RequestEnded ended -> {
          openCalls.remove(ended.call());
          String entry = entryOfCall.get(ended.call());
          boolean interrupted =
              ended.outcome() == ObservedOutcome.NO_RESPONSE
                  && !callsDuringFreeze.contains(ended.call());
          if (interrupted && stopTimeOfEntry.containsKey(entry)) {
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
