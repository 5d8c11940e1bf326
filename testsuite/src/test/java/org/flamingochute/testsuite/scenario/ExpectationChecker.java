package org.flamingochute.testsuite.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.observation.ObservedOutcome;
import org.flamingochute.testsuite.promise.ScenarioResult;

/**
 * Checks the lines of the expect section.
 *
 * <ul>
 *   <li>{@code answered PREFIX N}, {@code not-run PREFIX N}, {@code unknown PREFIX N}: for at least
 *       N tags with the prefix, a call had this outcome
 *   <li>{@code began PREFIX at-least|at-most N}: number of tags with the prefix that runners or
 *       workers started
 *   <li>{@code job PREFIX PHASE N}: at least N acknowledged jobs are in the phase at any entry at
 *       the end
 *   <li>{@code patch NAME accepted|refused|failed}: last result of the patch
 *   <li>{@code version N}: at least one entry has this version at the end
 *   <li>{@code action NAME N}: at least N pool actions of this type were started
 *   <li>{@code pool-of INSTANCE POOL}: every entry connected to the log has this pool for the
 *       instance at the end, {@code none} if it has no such instance
 * </ul>
 */
final class ExpectationChecker {

  private static final List<String> UNDECIDED_ERROR_PREFIXES =
      List.of(
          "FC-" + ErrorCode.LOG_UNAVAILABLE.number() + ":",
          "FC-" + ErrorCode.OUTCOME_UNKNOWN.number() + ":");

  private final ScenarioResult result;

  ExpectationChecker(ScenarioResult result) {
    this.result = result;
  }

  /** Returns a description of each expectation that is not met. */
  List<String> unmetExpectations(List<String> expectations) {
    List<String> unmet = new ArrayList<>();
    for (String expectation : expectations) {
      String[] words = expectation.trim().split("\\s+");
      String found = check(words);
      if (!found.isEmpty()) {
        unmet.add("expected \"" + expectation.trim() + "\", found " + found);
      }
    }
    return unmet;
  }

  private String check(String[] words) {
    return switch (words[0]) {
      case "answered" -> atLeast(countRequests(words[1], ObservedOutcome.ANSWERED), words[2]);
      case "not-run" -> atLeast(countRequests(words[1], ObservedOutcome.NOT_RUN), words[2]);
      case "unknown" -> atLeast(countRequests(words[1], ObservedOutcome.UNKNOWN), words[2]);
      case "began" -> checkStarted(words);
      case "job" -> atLeast(countJobs(words[1], words[2]), words[3]);
      case "patch" -> checkPatch(words[1], words[2]);
      case "version" -> checkVersion(Long.parseLong(words[1]));
      case "action" -> atLeast(countActions(words[1]), words[2]);
      case "pool-of" -> checkPool(words[1], words[2]);
      default -> throw new IllegalArgumentException("unknown expectation: \"" + words[0] + "\"");
    };
  }

  private static String atLeast(long found, String wanted) {
    return found >= Long.parseLong(wanted) ? "" : String.valueOf(found);
  }

  private long countRequests(String prefix, ObservedOutcome outcome) {
    return result.journal().ofType(Observation.RequestEnded.class).stream()
        .filter(ended -> ended.tag().startsWith(prefix) && ended.outcome() == outcome)
        .map(Observation.RequestEnded::tag)
        .distinct()
        .count();
  }

  private String checkStarted(String[] words) {
    Set<String> tags = new HashSet<>();
    for (Observation observation : result.journal().all()) {
      switch (observation) {
        case Observation.RunnerStartedRequest started when started.tag().startsWith(words[1]) ->
            tags.add(started.tag());
        case Observation.TaskStarted started when started.tag().startsWith(words[1]) ->
            tags.add(started.tag());
        default -> {}
      }
    }
    long wanted = Long.parseLong(words[3]);
    boolean holds = words[2].equals("at-least") ? tags.size() >= wanted : tags.size() <= wanted;
    return holds ? "" : String.valueOf(tags.size());
  }

  private long countJobs(String prefix, String phase) {
    return result.journal().ofType(Observation.JobAcknowledged.class).stream()
        .filter(acknowledged -> acknowledged.tag().startsWith(prefix))
        .filter(acknowledged -> hasPhase(acknowledged.job(), phase))
        .count();
  }

  private boolean hasPhase(String job, String phase) {
    return result.finalEntryStates().stream()
        .anyMatch(state -> phase.equals(state.phaseOfJob().get(job)));
  }

  private String checkPatch(String name, String wanted) {
    String found = "nothing";
    for (Observation observation : result.journal().all()) {
      switch (observation) {
        case Observation.PatchCompleted completed when completed.name().equals(name) ->
            found = completed.entry().getAccepted() ? "accepted" : "refused";
        case Observation.PatchFailed failed when failed.name().equals(name) ->
            found = describeFailure(failed.message());
        default -> {}
      }
    }
    return found.startsWith(wanted) ? "" : found;
  }

  /**
   * Describes an error as failed if the log was unavailable or the outcome is unknown, and
   * otherwise as refused.
   */
  private static String describeFailure(String message) {
    boolean undecided = UNDECIDED_ERROR_PREFIXES.stream().anyMatch(message::startsWith);
    return (undecided ? "failed: " : "refused: ") + message;
  }

  private String checkVersion(long wanted) {
    boolean holds = result.finalEntryStates().stream().anyMatch(state -> state.version() == wanted);
    return holds ? "" : "other versions";
  }

  private long countActions(String name) {
    return result.journal().ofType(Observation.PoolActionStarted.class).stream()
        .filter(started -> started.action().name().equals(name))
        .count();
  }

  private String checkPool(String instance, String pool) {
    for (ScenarioResult.FinalEntryState state : result.finalEntryStates()) {
      String found = state.poolOfInstance().getOrDefault(instance, "none");
      if (state.isConnectedToLog() && !found.equals(pool)) {
        return found + " at " + state.entry();
      }
    }
    return "";
  }
}
