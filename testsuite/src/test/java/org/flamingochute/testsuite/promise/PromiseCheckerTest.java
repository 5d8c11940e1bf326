package org.flamingochute.testsuite.promise;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import org.flamingochute.schema.AuditEntry;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.PoolAction;
import org.flamingochute.schema.SettingChange;
import org.flamingochute.testsuite.observation.CallerVerdict;
import org.flamingochute.testsuite.observation.Observation;
import org.flamingochute.testsuite.observation.ObservationJournal;
import org.flamingochute.testsuite.scenario.Secrets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Verifies that each checker accepts observations that keep its promise and reports violations for
 * observations that break it.
 */
final class PromiseCheckerTest {

  private static final String FLEET =
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
    Observation stranger =
        new Observation.RequestSent(10, "r1", "r1/0", "a", "proofs", "stranger", false);
    Observation began = new Observation.RunnerBegan(20, "p1", "r1", "captains");
    Observation again = new Observation.RunnerBegan(21, "p2", "r1", "captains");
    Observation ended = new Observation.RunnerEnded(30, "p1", "r1", "captains");
    return List.of(
        kept(new CapChecker(), sent, began, ended),
        broken(new CapChecker(), began, new Observation.RunnerBegan(21, "p2", "r2", "captains")),
        kept(new WholeAnswerChecker(), told("r1", CallerVerdict.ANSWERED, "answer to r1")),
        broken(new WholeAnswerChecker(), told("r1", CallerVerdict.ANSWERED, "answer to r2")),
        broken(new WholeAnswerChecker(), told("r1", CallerVerdict.ANSWERED, "answer t")),
        kept(new NotRunChecker(), sent, told("r1", CallerVerdict.NOT_RUN, "")),
        broken(new NotRunChecker(), sent, began, told("r1", CallerVerdict.NOT_RUN, "")),
        kept(new AtMostOnceChecker(), sent, began, ended),
        broken(new AtMostOnceChecker(), sent, began, again),
        kept(new KeyTeamChecker(), sent, began),
        broken(new KeyTeamChecker(), stranger, began),
        kept(new LeavingEndpointChecker(), leaving(15), began),
        broken(
            new LeavingEndpointChecker(),
            leaving(15),
            new Observation.RunnerBegan(9_000, "p1", "r1", "captains")),
        kept(new PlannedStopChecker(), sent, new Observation.StopAsked(15, "a")),
        broken(
            new PlannedStopChecker(),
            sent,
            new Observation.StopAsked(15, "a"),
            told("r1", CallerVerdict.NO_WORD, "")),
        broken(new PlannedStopChecker(), new Observation.WorkCutByPlannedStop(9, "p1", "r1")),
        kept(new ConfigurationChecker(), seen(1, 1), seen(2, 2)),
        broken(new ConfigurationChecker(), seen(1, 2), seen(2, 1)),
        broken(new ConfigurationChecker(), accepted(100, 5)),
        kept(new AvailabilityChecker(), drain(100, "p1")),
        broken(new AvailabilityChecker(), drain(100, "p1"), drain(200, "p2")),
        kept(new JobsKeptChecker(), new Observation.JobAcknowledged(10, "j1", "known")),
        broken(new JobsKeptChecker(), new Observation.JobAcknowledged(10, "j1", "lost")));
  }

  private static Arguments kept(PromiseChecker checker, Observation... observations) {
    return Arguments.of(checker.getClass().getSimpleName(), checker, List.of(observations), true);
  }

  private static Arguments broken(PromiseChecker checker, Observation... observations) {
    return Arguments.of(checker.getClass().getSimpleName(), checker, List.of(observations), false);
  }

  private static Observation told(String tag, CallerVerdict verdict, String body) {
    return new Observation.RequestEnded(40, tag, tag + "/0", verdict, body);
  }

  private static Observation leaving(long at) {
    return new Observation.InstanceChanged(at, "p1", InstanceState.INSTANCE_LEAVING);
  }

  private static Observation seen(long at, long version) {
    return new Observation.VersionSeen(at, "a", "a.1", version);
  }

  private static Observation accepted(long at, long version) {
    AuditEntry entry =
        AuditEntry.newBuilder().setAccepted(true).setResultingVersion(version).build();
    return new Observation.PatchAnswered(at, "p", entry);
  }

  private static Observation drain(long at, String instance) {
    return new Observation.PoolActionBegan(at, instance, PoolAction.POOL_DRAIN);
  }

  @ParameterizedTest(name = "{0}: {2}")
  @MethodSource("cases")
  void judges(String name, PromiseChecker checker, List<Observation> observations, boolean isKept) {
    ObservationJournal journal = new ObservationJournal();
    observations.forEach(journal::add);
    Evidence evidence =
        new Evidence(
            journal,
            new Declarations(Secrets.replaceByDigests(FLEET)),
            List.of(),
            Map.of("p1", runner("p1"), "p2", runner("p2")),
            0,
            60_000,
            List.of(view("a", "proofs", "digest")));
    assertThat(checker.violations(evidence).isEmpty(), is(isKept));
  }

  private static Evidence.InstanceFacts runner(String name) {
    return new Evidence.InstanceFacts(name, "INSTANCE_RUNNER", "proofs", "r1");
  }

  private static Evidence.FinalView view(String entry, String pool, String digest) {
    return new Evidence.FinalView(
        entry, true, 7, 4, digest, Map.of("p1", pool), Map.of("known", "JOB_SUCCEEDED"));
  }

  static List<Arguments> finalViews() {
    return List.of(
        Arguments.of(new PoolMembershipChecker(), view("b", "proofs", "digest"), true),
        Arguments.of(new PoolMembershipChecker(), view("b", "quotes", "digest"), false),
        Arguments.of(new ConfigurationChecker(), view("b", "proofs", "digest"), true),
        Arguments.of(new ConfigurationChecker(), view("b", "proofs", "other"), false));
  }

  @ParameterizedTest(name = "{0} with {1}")
  @MethodSource("finalViews")
  void comparesFinalViews(PromiseChecker checker, Evidence.FinalView other, boolean isKept) {
    Evidence evidence =
        new Evidence(
            new ObservationJournal(),
            new Declarations(FLEET),
            List.of(),
            Map.of("p1", runner("p1")),
            0,
            60_000,
            List.of(view("a", "proofs", "digest"), other));
    assertThat(checker.violations(evidence).isEmpty(), is(isKept));
  }

  static List<Arguments> withdrawals() {
    return List.of(Arguments.of(4_000L, true), Arguments.of(9_000L, false));
  }

  @ParameterizedTest(name = "started at {0} ms")
  @MethodSource("withdrawals")
  void judgesWithdrawnKeys(long begunMilliseconds, boolean isKept) {
    Declarations declarations = new Declarations(Secrets.replaceByDigests(FLEET));
    declarations.accepted(
        1_000,
        SettingChange.newBuilder().setSectionKind("key").setSectionName("captains-1").build());
    ObservationJournal journal = new ObservationJournal();
    journal.add(
        new Observation.RequestSent(10, "r1", "r1/0", "a", "proofs", "captains-secret", false));
    journal.add(new Observation.RunnerBegan(begunMilliseconds, "p1", "r1", "captains"));
    Evidence evidence =
        new Evidence(journal, declarations, List.of(), Map.of(), 0, 60_000, List.of());
    assertThat(new WithdrawnKeyChecker().violations(evidence).isEmpty(), is(isKept));
  }
}
