package org.flamingochute.decision.agreement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Optional;
import org.flamingochute.decision.identity.IdempotencyKey;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TeamId;
import org.flamingochute.decision.identity.WaveId;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RecordApplierTest {

  private static final String RUNNING = "submit j; place prints a 0; start j 1 w1 a 1; ";

  private final RecordScript script = new RecordScript();

  private static String code(ApplyResult result) {
    return switch (result) {
      case ApplyResult.Accepted accepted -> "ACCEPTED";
      case ApplyResult.Refused refused -> refused.report().code().name();
      case ApplyResult.Duplicate duplicate -> "DUPLICATE";
      case ApplyResult.Unreadable unreadable -> unreadable.report().code().name();
    };
  }

  @ParameterizedTest
  @CsvSource({
    "join c, ACCEPTED",
    "join a, MEMBER_EXISTS",
    "gone a; join a, MEMBER_EXISTS",
    "gone c, NOT_A_MEMBER",
    "leave a; leave a, NOT_A_MEMBER",
    "state a, STATEMENT_NOT_DUE",
    "gone b; state a, ACCEPTED",
    "gone b; state b, NOT_A_MEMBER",
    "place prints a 0, ACCEPTED",
    "place prints a 0; place prints b 0, PLACER_STALE",
    "place prints a 0; place prints b 1, ACCEPTED",
    "place @maintenance a 0, ACCEPTED",
    "place nowhere a 0, POOL_UNSUITABLE",
    "place prints c 0, NOT_A_MEMBER",
    "see w9 LIVE 5, ACCEPTED",
    "see w9 LIVE 5; see w9 GONE 4, RECORD_FIELD",
    "see w9 LIVE 5; see w9 GONE 6, ACCEPTED",
  })
  void membersPlacersAndInstances(String text, String expected) {
    assertThat(code(script.run(text)), equalTo(expected));
  }

  @ParameterizedTest
  @CsvSource({
    "claim k a d, ACCEPTED",
    "claim k a d; claim k b d, CLAIM_TAKEN",
    "claim k a d; claim k b other, CLAIM_OTHER_REQUEST",
    "claim k c d, NOT_A_MEMBER",
    "claim k a d; settle k b ANSWERED, CLAIM_UNKNOWN",
    "claim k a d; settle k a UNSPECIFIED, RECORD_FIELD",
    "claim k a d; settle k a NOT_RUN; claim k b d, ACCEPTED",
    "claim k a d; settle k a ANSWERED; claim k b d, CLAIM_TAKEN",
    "claim k a d; settle k a ANSWERED; settle k a UNKNOWN, CLAIM_UNKNOWN",
    "claim k a d; gone a; settle k a NOT_RUN, CLAIM_UNKNOWN",
    "claim k a d; gone a; claim k b d, CLAIM_TAKEN",
    "claim k a d; settle k a ANSWERED; wait 86400002; claim k b d, ACCEPTED",
  })
  void claims(String text, String expected) {
    assertThat(code(script.run(text)), equalTo(expected));
  }

  @Test
  void claimOfGoneMemberHasUnknownOutcome() {
    script.run("claim k a d; gone a");
    Outcome outcome =
        script
            .log
            .state
            .claim(new TeamId("shop"), new IdempotencyKey("k"))
            .get()
            .getSettled()
            .getOutcome();
    assertThat(outcome, equalTo(Outcome.OUTCOME_UNKNOWN));
  }

  @ParameterizedTest
  @CsvSource({
    "submit j, ACCEPTED, JOB_WAITING",
    "submit j; submit j, JOB_EXISTS, JOB_WAITING",
    "submit-to j quotes, POOL_UNSUITABLE,",
    "submit-to j nowhere, POOL_UNSUITABLE,",
    "submit-for j nobody, TEAM_UNKNOWN,",
    "submit-key j k; submit-key i k, JOB_KEY_USED, JOB_WAITING",
    "submit j; cancel shop j, ACCEPTED, JOB_CANCELLED",
    "submit j; cancel club j, JOB_UNKNOWN, JOB_WAITING",
    "cancel shop j, JOB_UNKNOWN,",
    "submit j; start j 1 w1 a 1, PLACER_STALE, JOB_WAITING",
    "submit j; place prints a 0; start j 1 w1 b 1, PLACER_STALE, JOB_WAITING",
    "submit j; place prints a 0; gone a; start j 1 w1 a 1, NOT_A_MEMBER, JOB_WAITING",
    "submit j; place prints a 0; start j 2 w1 a 1, JOB_WRONG_PHASE, JOB_WAITING",
    "submit j; place prints a 0; start j 1 w9 a 1, WORKER_UNSUITABLE, JOB_WAITING",
    "submit j; place prints a 0; start j 1 q1 a 1, WORKER_UNSUITABLE, JOB_WAITING",
    "submit j; place prints a 0; stop o w1 prints; start j 1 w1 a 1, WORKER_UNSUITABLE,"
        + " JOB_WAITING",
    "submit j; place prints a 0; see w1 LEAVING 1; start j 1 w1 a 1, WORKER_UNSUITABLE,"
        + " JOB_WAITING",
    "submit j; place prints a 0; set team shop cap 1; start j 1 w1 a 1, ESCROW_SUSPENDED,"
        + " JOB_WAITING",
    RUNNING + "start j 2 w2 a 1, JOB_WRONG_PHASE, JOB_RUNNING",
    RUNNING + "end j 1 w2 SUCCEEDED, JOB_WRONG_PHASE, JOB_RUNNING",
    RUNNING + "end j 2 w1 SUCCEEDED, JOB_WRONG_PHASE, JOB_RUNNING",
    RUNNING + "end j 1 w1 RESULT_UNSPECIFIED, RECORD_FIELD, JOB_RUNNING",
    RUNNING + "end j 1 w1 SUCCEEDED, ACCEPTED, JOB_SUCCEEDED",
    RUNNING + "end j 1 w1 SUCCEEDED; end j 1 w1 FAILED, JOB_WRONG_PHASE, JOB_SUCCEEDED",
    RUNNING + "end j 1 w1 NOT_RUN, ACCEPTED, JOB_WAITING",
    RUNNING + "end j 1 w1 UNKNOWN, ACCEPTED, JOB_WAITING",
    RUNNING + "end j 1 w1 FAILED, ACCEPTED, JOB_WAITING",
    RUNNING + "cancel shop j, ACCEPTED, JOB_RUNNING",
    RUNNING + "cancel shop j; end j 1 w1 CANCELLED, ACCEPTED, JOB_CANCELLED",
    RUNNING + "cancel shop j; end j 1 w1 NOT_RUN, ACCEPTED, JOB_CANCELLED",
    RUNNING + "cancel shop j; end j 1 w1 SUCCEEDED, ACCEPTED, JOB_SUCCEEDED",
    RUNNING + "end j 1 w1 SUCCEEDED; wait 3600002, ACCEPTED,",
    RUNNING + "wait 3600002, ACCEPTED, JOB_RUNNING",
    "submit j; remove team shop, FLEET_INVALID, JOB_WAITING",
    "submit j; remove pool prints, FLEET_INVALID, JOB_WAITING",
  })
  void jobs(String text, String expected, JobPhase phase) {
    assertThat(code(script.run(text)), equalTo(expected));
    assertThat(phaseOf("j"), equalTo(Optional.ofNullable(phase)));
  }

  @ParameterizedTest
  @CsvSource({
    "NOT_RUN, JOB_WAITING",
    "UNKNOWN, JOB_OUTCOME_UNKNOWN",
    "CANCELLED, JOB_OUTCOME_UNKNOWN",
    "FAILED, JOB_PARKED",
    "SUCCEEDED, JOB_SUCCEEDED",
  })
  void jobThatIsNotIdempotentRunsOnce(String end, JobPhase phase) {
    script.run("submit-once j; place prints a 0; start j 1 w1 a 1; end j 1 w1 " + end);
    assertThat(phaseOf("j"), equalTo(Optional.of(phase)));
  }

  private Optional<JobPhase> phaseOf(String job) {
    return script.log.state.job(new JobId(job)).map(image -> image.getPhase());
  }

  @Test
  void jobThatFailsOnThreeHealthyWorkersIsParkedAndTheirFailureCountsAreReset() {
    script.run("place prints a 0; submit j");
    for (int attempt = 1; attempt <= 3; attempt++) {
      assertThat(phaseOf("j"), equalTo(Optional.of(JobPhase.JOB_WAITING)));
      String worker = "w" + attempt;
      script.run(
          "start j "
              + attempt
              + " "
              + worker
              + " a 1; end j "
              + attempt
              + " "
              + worker
              + " FAILED");
    }
    assertThat(phaseOf("j"), equalTo(Optional.of(JobPhase.JOB_PARKED)));
    assertThat(failedJobs("w1"), equalTo(0));
  }

  @Test
  void failuresOnUnhealthyWorkerDoNotCountAgainstJobs() {
    script.run("place prints a 0");
    for (int job = 1; job <= 3; job++) {
      script.run("submit i" + job + "; start i" + job + " 1 w1 a 1; end i" + job + " 1 w1 FAILED");
    }
    assertThat(failedJobs("w1"), equalTo(3));
    script.run("submit j; start j 1 w1 a 1; end j 1 w1 FAILED");
    script.run("start j 2 w2 a 1; end j 2 w2 FAILED; start j 3 w3 a 1; end j 3 w3 FAILED");
    assertThat(phaseOf("j"), equalTo(Optional.of(JobPhase.JOB_WAITING)));
    script.run("start j 4 w4 a 1; end j 4 w4 FAILED");
    assertThat(phaseOf("j"), equalTo(Optional.of(JobPhase.JOB_PARKED)));
    script.run("start i1 2 w1 a 1; end i1 2 w1 SUCCEEDED");
    assertThat(failedJobs("w1"), equalTo(0));
  }

  private int failedJobs(String worker) {
    return script.log.state.instance(new InstanceId(worker)).get().getFailedJobs();
  }

  @ParameterizedTest
  @CsvSource({
    "stop o w1 prints, ACCEPTED",
    "stop o w1 quotes, INSTANCE_WRONG_POOL",
    "stop o w9 prints, INSTANCE_UNKNOWN",
    "see w1 GONE 1; stop o w1 prints, INSTANCE_UNKNOWN",
    "stop o w1 prints; stop p w1 prints, INSTANCE_BUSY",
    "stop o w1 prints; stop p w2 prints; stop q w3 prints, ACCEPTED",
    "stop o w1 prints; stop p w2 prints; stop q w3 prints; stop r w4 prints, BUDGET_EXCEEDED",
    "see w1 LEAVING 1; see w2 GONE 1; see w3 LEAVING 1; stop o w4 prints, BUDGET_EXCEEDED",
    "see w1 LEAVING 1; see w2 GONE 1; see w3 LEAVING 1; stop o w3 prints, ACCEPTED",
    "stop o w1 prints; stop p w5 prints, DOMAIN_LIMIT",
    "stop o w1 prints; step o w1 FAILED; stop p w5 prints, ACCEPTED",
    "stop o w1 prints; step o w1 REBOOTED, STEP_OUT_OF_ORDER",
    "stop o w1 prints; step o w1 RETIRED, STEP_OUT_OF_ORDER",
    "stop o w1 prints; step p w1 DRAINED, OPERATION_UNKNOWN",
    "stop o w1 prints; step o w1 DRAINED; step o w1 DRAINED, STEP_OUT_OF_ORDER",
    "stop o w1 prints; step o w1 DRAINED; step o w1 RETURNED, STEP_OUT_OF_ORDER",
    "stop o w1 prints; step o w1 DRAINED; step o w1 REBOOTED; step o w1 RETURNED, ACCEPTED",
    "stop o w1 prints; step o w1 DRAINED; step o w1 REBOOTED; step o w1 RETURNED;"
        + " step o w1 RETURNED, OPERATION_UNKNOWN",
    "stop-retire o w1 prints; step o w1 DRAINED; step o w1 RETIRED; stop p w1 prints,"
        + " INSTANCE_UNKNOWN",
    "stop-move o q1 quotes spare, ACCEPTED",
    "stop-move o q1 quotes quotes, POOL_UNSUITABLE",
    "stop-move o q1 quotes prints, POOL_UNSUITABLE",
    "stop-move o q1 quotes nowhere, POOL_UNSUITABLE",
    "stop-move o q1 quotes spare; move o q1 quotes spare, STEP_OUT_OF_ORDER",
    "stop-move o q1 quotes spare; step o q1 DRAINED; move o q1 spare quotes, INSTANCE_WRONG_POOL",
    "stop-move o q1 quotes spare; step o q1 DRAINED; move o q1 quotes prints, POOL_UNSUITABLE",
    "stop-move o q1 quotes spare; step o q1 DRAINED; step o q1 RETURNED, STEP_OUT_OF_ORDER",
    "stop-move o q1 quotes spare; step o q1 DRAINED; move o q1 quotes spare, ACCEPTED",
    "stop-move o q1 quotes spare; step o q1 DRAINED; move o q1 quotes spare;"
        + " move o q1 quotes spare, INSTANCE_WRONG_POOL",
    "stop-move o q1 quotes spare; step o q1 DRAINED; move o q1 quotes spare;"
        + " step o q1 RETURNED; stop p q1 spare, ACCEPTED",
    "move o q1 quotes spare, OPERATION_UNKNOWN",
    "stop-move o q1 quotes spare; remove pool spare, FLEET_INVALID",
    "stop-wave o w1 prints summer, WAVE_HALTED",
    "stop-wave o w1 prints winter, ACCEPTED",
    "set wave winter paused true; stop-wave o w1 prints winter, WAVE_HALTED",
    "stop-wave o w1 prints winter; step o w1 FAILED; stop-wave p w1 prints winter, ACCEPTED",
    "stop-wave o w1 prints winter; step o w1 FAILED; stop-wave p w1 prints winter;"
        + " step p w1 FAILED; stop-wave q w2 prints winter, WAVE_HALTED",
    "stop-wave o w1 prints winter; step o w1 FAILED; stop-wave p w1 prints winter;"
        + " step p w1 FAILED; set wave winter paused true; set wave winter paused false;"
        + " stop-wave q w2 prints winter, ACCEPTED",
    "stop-wave o w1 prints winter; step o w1 DRAINED; step o w1 REBOOTED; step o w1 RETURNED;"
        + " stop-wave p w1 prints winter, WAVE_HALTED",
  })
  void plannedStops(String text, String expected) {
    assertThat(code(script.run(text)), equalTo(expected));
  }

  @Test
  void instanceSectionDoesNotMoveTheInstanceByItself() {
    script.run("set instance q1 pool spare");
    assertThat(script.log.state.instances(new PoolId("spare")).size(), equalTo(1));
    assertThat(script.log.state.instances(new PoolId("quotes")).size(), equalTo(6));
  }

  @Test
  void finishedInstancesOfWaveAreRetained() {
    script.run("stop-wave o w1 prints winter; step o w1 DRAINED; step o w1 REBOOTED");
    script.run("step o w1 RETURNED");
    assertThat(
        script.log.state.wave(new WaveId("winter")).get().getFinishedInstancesList().toString(),
        equalTo("[w1]"));
  }

  @ParameterizedTest
  @CsvSource({
    "set team club cap 7, 0",
    "gone b, 35000",
    "gone b; state a, 35000",
    "leave b, 0",
  })
  void dueTimeIsWhenLostTokensMayBeReissued(String text, long delay) {
    script.run(text);
    long due = script.log.state.nextTransitionMilliseconds();
    boolean isDue = due >= 0;
    assertThat(isDue, equalTo(delay > 0));
    if (isDue) {
      script.run("wait " + delay);
      assertThat(script.log.state.nextTransitionMilliseconds(), equalTo(-1L));
    }
  }
}
