package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.scheduling.core.WorkerSuspensions.TrialCost;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against sound workers that stay suspended, and against broken ones that are not suspended
 * or are trusted too soon.
 */
class WorkerSuspensionsTest {
  private static final InstanceId BROKEN = new InstanceId("broken");
  private static final InstanceId SOUND = new InstanceId("sound");
  private static final long FAULT_AT = 10_000;

  private final WorkerSuspensions suspensions = new WorkerSuspensions();

  private static JobId job(int number) {
    return new JobId("job-" + number);
  }

  /** Different jobs fail on a worker, one each 100 ms; returns the time of the last failure. */
  private long failJobs(InstanceId worker, int count) {
    long now = FAULT_AT;
    for (int i = 0; i < count; i++) {
      now += 100;
      suspensions.onFailed(job(i), worker, now - 50, now);
    }
    return now;
  }

  @ParameterizedTest
  @CsvSource({"1, false", "2, false", "3, true"})
  void severalFailedJobsInOneRowSuspend(int jobs, boolean suspended) {
    failJobs(BROKEN, jobs);
    assertThat(suspensions.isSuspended(BROKEN), is(suspended));
  }

  @Test
  void manyFailuresOfOneJobDoNotSuspend() {
    for (int i = 0; i < 8; i++) {
      suspensions.onFailed(job(0), BROKEN, FAULT_AT, FAULT_AT + 40);
    }
    assertThat(suspensions.isSuspended(BROKEN), is(false));
  }

  /** A broken worker completes the runs that it started before its fault. */
  @ParameterizedTest
  @CsvSource({"9000, true", "10040, true", "10060, false", "12000, false"})
  void onlyRunsStartedSinceTheFailuresEndTheSuspension(long startedAt, boolean suspended) {
    failJobs(BROKEN, 3);
    suspensions.onSucceeded(BROKEN, startedAt);
    assertThat(suspensions.isSuspended(BROKEN), is(suspended));
  }

  /** Several jobs that fail wherever they run must not suspend the workers. */
  @Test
  void jobsThatFailedOnSoundWorkersDoNotCount() {
    for (int i = 0; i < 3; i++) {
      suspensions.onFailed(job(i), SOUND, FAULT_AT, FAULT_AT + 40);
      suspensions.onSucceeded(SOUND, FAULT_AT);
    }
    for (int i = 0; i < 3; i++) {
      suspensions.onFailed(job(i), BROKEN, FAULT_AT + 100, FAULT_AT + 140);
    }
    assertThat(suspensions.isSuspended(BROKEN), is(false));
  }

  /** The failures of a job are withdrawn that turns out to be at fault later. */
  @Test
  void failureOfJobThatFailsOnSoundWorkerLaterIsWithdrawn() {
    suspensions.onFailed(job(0), BROKEN, FAULT_AT, FAULT_AT + 40);
    suspensions.onFailed(job(1), BROKEN, FAULT_AT, FAULT_AT + 40);
    suspensions.onFailed(job(0), SOUND, FAULT_AT + 100, FAULT_AT + 140);
    suspensions.onSucceeded(SOUND, FAULT_AT + 120);
    suspensions.onFailed(job(2), BROKEN, FAULT_AT + 200, FAULT_AT + 240);
    assertThat(suspensions.isSuspended(BROKEN), is(false));
  }

  /** Two broken workers fail the same jobs in turn. */
  @Test
  void jobsThatFailOnTwoBrokenWorkersSuspendBoth() {
    for (int i = 0; i < 3; i++) {
      suspensions.onFailed(job(i), BROKEN, FAULT_AT, FAULT_AT + 40);
      suspensions.onFailed(job(i), SOUND, FAULT_AT, FAULT_AT + 40);
    }
    assertThat(suspensions.isSuspended(BROKEN), is(true));
    assertThat(suspensions.isSuspended(SOUND), is(true));
  }

  @ParameterizedTest
  @CsvSource({
    "FREE, 999, false",
    "FREE, 1000, true",
    "ATTEMPT, 1999, false",
    "ATTEMPT, 2000, true",
    "HIGH, 29999, false",
    "HIGH, 30000, true"
  })
  void trialIsDueByItsCost(TrialCost cost, long elapsedMilliseconds, boolean due) {
    long failedAt = failJobs(BROKEN, 3);
    assertThat(suspensions.isTrialDue(BROKEN, cost, failedAt + elapsedMilliseconds), is(due));
  }

  /** The pause after a failed trial doubles, up to a limit. */
  @ParameterizedTest
  @CsvSource({"1, 3999, false", "1, 4000, true", "5, 3999, false", "5, 4000, true"})
  void failedTrialsMakeThePauseLonger(int trials, long elapsedMilliseconds, boolean due) {
    long failedAt = failJobs(BROKEN, 3);
    for (int i = 0; i < trials; i++) {
      failedAt += 10_000;
      suspensions.onFailed(job(10 + i), BROKEN, failedAt - 40, failedAt);
    }
    assertThat(
        suspensions.isTrialDue(BROKEN, TrialCost.ATTEMPT, failedAt + elapsedMilliseconds), is(due));
  }

  /** Runs that were under way when the worker was suspended are no trials. */
  @Test
  void failuresOfEarlierRunsDoNotMakeThePauseLonger() {
    long failedAt = failJobs(BROKEN, 3);
    suspensions.onFailed(job(20), BROKEN, failedAt - 40, failedAt + 10);
    suspensions.onFailed(job(21), BROKEN, failedAt - 40, failedAt + 10);
    assertThat(suspensions.isTrialDue(BROKEN, TrialCost.ATTEMPT, failedAt + 2_010), is(true));
  }
}
