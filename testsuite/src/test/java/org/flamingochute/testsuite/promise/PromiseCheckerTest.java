package org.flamingochute.testsuite.promise;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.PoolAction;
import org.flamingochute.schema.SettingChange;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.observation.ObservationJournal;
import org.flamingochute.testsuite.observation.ObservedOutcome;
import org.flamingochute.testsuite.scenario.Secrets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Verifies that each checker accepts observations that keep its promise and reports a violation for
 * observations that break it.
 */
final class PromiseCheckerTest {

  private static final String FLEET_DESCRIPTION =
      """
      [pool proofs]
      minimum_available = 1
      [service proofs]
      pool = proofs
      [team captains]
      cap = 1
      [key captains-1]
      digest = secret:captains-secret
      """;

  static List<Arguments> cases() {
    Observation sent =
        new Observation.RequestSent(10, "r1", "r1/0", "a", "proofs", "captains-secret", false);
    Observation unknownKeySent =
        new Observation.RequestSent(10, "r1", "r1/0", "a", "proofs", "stranger", false);
    Observation started = new Observation.RunnerStartedRequest(20, "p1", "r1", "captains");
    Observation startedAgain = new Observation.RunnerStartedRequest(21, "p2", "r1", "captains");
    Observation ended = new Observation.RunnerEndedRequest(30, "p1", "r1", "captains");
    return List.of(
        expectKept(new CapChecker(), sent, started, ended),
        expectBroken(
            new CapChecker(),
            started,
            new Observation.RunnerStartedRequest(21, "p2", "r2", "captains")),
        expectKept(
            new ResponseIntegrityChecker(),
            requestEnded("r1", ObservedOutcome.ANSWERED, "answer to r1")),
        expectBroken(
            new ResponseIntegrityChecker(),
            requestEnded("r1", ObservedOutcome.ANSWERED, "answer to r2")),
        expectBroken(
            new ResponseIntegrityChecker(),
            requestEnded("r1", ObservedOutcome.ANSWERED, "answer t")),
        expectKept(new NotRunChecker(), sent, requestEnded("r1", ObservedOutcome.NOT_RUN, "")),
        expectBroken(
            new NotRunChecker(), sent, started, requestEnded("r1", ObservedOutcome.NOT_RUN, "")),
        expectKept(new AtMostOnceChecker(), sent, started, ended),
        expectBroken(new AtMostOnceChecker(), sent, started, startedAgain),
        expectKept(new KeyAuthorizationChecker(), sent, started),
        expectBroken(new KeyAuthorizationChecker(), unknownKeySent, started),
        expectKept(new LeavingEndpointChecker(), instanceLeaving(15), started),
        expectBroken(
            new LeavingEndpointChecker(),
            instanceLeaving(15),
            new Observation.RunnerStartedRequest(9_000, "p1", "r1", "captains")),
        expectKept(new PlannedStopChecker(), sent, new Observation.StopRequested(15, "a")),
        expectBroken(
            new PlannedStopChecker(),
            sent,
            new Observation.StopRequested(15, "a"),
            requestEnded("r1", ObservedOutcome.NO_RESPONSE, "")),
        expectBroken(
            new PlannedStopChecker(), new Observation.WorkInterruptedByPlannedStop(9, "p1", "r1")),
        expectKept(new ConfigurationChecker(), versionObserved(1, 1), versionObserved(2, 2)),
        expectBroken(new ConfigurationChecker(), versionObserved(1, 2), versionObserved(2, 1)),
        expectBroken(new ConfigurationChecker(), patchAccepted(100, 5)),
        expectKept(new AvailabilityChecker(), drainStarted(100, "p1")),
        expectBroken(new AvailabilityChecker(), drainStarted(100, "p1"), drainStarted(200, "p2")),
        expectKept(new JobDurabilityChecker(), new Observation.JobAcknowledged(10, "j1", "known")),
        expectBroken(
            new JobDurabilityChecker(), new Observation.JobAcknowledged(10, "j1", "lost")));
  }

  private static Arguments expectKept(PromiseChecker checker, Observation... observations) {
    return Arguments.of(checker.getClass().getSimpleName(), checker, List.of(observations), true);
  }

  private static Arguments expectBroken(PromiseChecker checker, Observation... observations) {
    return Arguments.of(checker.getClass().getSimpleName(), checker, List.of(observations), false);
  }

  private static Observation requestEnded(String tag, ObservedOutcome outcome, String body) {
    return new Observation.RequestEnded(40, tag, tag + "/0", outcome, body);
  }

  private static Observation instanceLeaving(long at) {
    return new Observation.InstanceChanged(at, "p1", InstanceState.INSTANCE_LEAVING);
  }

  private static Observation versionObserved(long at, long version) {
    return new Observation.VersionObserved(at, "a", "a.1", version);
  }

  private static Observation patchAccepted(long at, long version) {
    AuditEntry entry =
        AuditEntry.newBuilder().setAccepted(true).setResultingVersion(version).build();
    return new Observation.PatchCompleted(at, "p", entry);
  }

  private static Observation drainStarted(long at, String instance) {
    return new Observation.PoolActionStarted(at, instance, PoolAction.POOL_DRAIN);
  }

  @ParameterizedTest(name = "{0}: {2}")
  @MethodSource("cases")
  void detectsViolations(
      String name, PromiseChecker checker, List<Observation> observations, boolean isKept) {
    ObservationJournal journal = new ObservationJournal();
    observations.forEach(journal::add);
    ScenarioResult result =
        new ScenarioResult(
            journal,
            new ConfigurationHistory(Secrets.replaceWithDigests(FLEET_DESCRIPTION)),
            List.of(),
            Map.of("p1", runner("p1"), "p2", runner("p2")),
            0,
            60_000,
            List.of(entryState("a", "proofs", "digest")));
    assertThat(checker.violations(result).isEmpty(), is(isKept));
  }

  private static ScenarioResult.InstanceDetails runner(String name) {
    return new ScenarioResult.InstanceDetails(name, "INSTANCE_RUNNER", "proofs", "r1");
  }

  private static ScenarioResult.FinalEntryState entryState(
      String entry, String pool, String digest) {
    return new ScenarioResult.FinalEntryState(
        entry, true, 7, 4, digest, Map.of("p1", pool), Map.of("known", "JOB_SUCCEEDED"));
  }

  static List<Arguments> finalEntryStates() {
    return List.of(
        Arguments.of(new PoolMembershipChecker(), entryState("b", "proofs", "digest"), true),
        Arguments.of(new PoolMembershipChecker(), entryState("b", "quotes", "digest"), false),
        Arguments.of(new ConfigurationChecker(), entryState("b", "proofs", "digest"), true),
        Arguments.of(new ConfigurationChecker(), entryState("b", "proofs", "other"), false));
  }

  @ParameterizedTest(name = "{0} with {1}")
  @MethodSource("finalEntryStates")
  void comparesFinalEntryStates(
      PromiseChecker checker, ScenarioResult.FinalEntryState other, boolean isKept) {
    ScenarioResult result =
        new ScenarioResult(
            new ObservationJournal(),
            new ConfigurationHistory(FLEET_DESCRIPTION),
            List.of(),
            Map.of("p1", runner("p1")),
            0,
            60_000,
            List.of(entryState("a", "proofs", "digest"), other));
    assertThat(checker.violations(result).isEmpty(), is(isKept));
  }

  static List<Arguments> startsAfterRevocation() {
    return List.of(Arguments.of(4_000L, true), Arguments.of(9_000L, false));
  }

  @ParameterizedTest(name = "started at {0} ms")
  @MethodSource("startsAfterRevocation")
  void detectsWorkForRevokedKeys(long startedAtMilliseconds, boolean isKept) {
    ConfigurationHistory configurationHistory =
        new ConfigurationHistory(Secrets.replaceWithDigests(FLEET_DESCRIPTION));
    configurationHistory.addAcceptedChange(
        1_000,
        SettingChange.newBuilder().setSectionKind("key").setSectionName("captains-1").build());
    ObservationJournal journal = new ObservationJournal();
    journal.add(
        new Observation.RequestSent(10, "r1", "r1/0", "a", "proofs", "captains-secret", false));
    journal.add(
        new Observation.RunnerStartedRequest(startedAtMilliseconds, "p1", "r1", "captains"));
    ScenarioResult result =
        new ScenarioResult(
            journal, configurationHistory, List.of(), Map.of(), 0, 60_000, List.of());
    assertThat(new RevokedKeyChecker().violations(result).isEmpty(), is(isKept));
  }
}
