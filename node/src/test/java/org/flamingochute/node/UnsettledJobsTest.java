package org.flamingochute.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.flamingochute.decision.identity.JobId;
import org.flamingochute.node.store.IntakeResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against the promise that a job never runs while an append of it may be executed. */
class UnsettledJobsTest {
  private static final JobId JOB = new JobId("00000000000000a1");

  private final UnsettledJobs jobs = new UnsettledJobs();

  private void append(IntakeResult result) {
    jobs.onAppendBegun(JOB);
    jobs.onAppendEnded(JOB, result);
  }

  /** The append may be stored at any time, and then the job runs. */
  @Test
  void jobIsUnsettledUntilAllItsAppendsHaveEnded() {
    jobs.onAppendBegun(JOB);
    jobs.onAppendBegun(JOB);
    jobs.onAppendEnded(JOB, IntakeResult.NOT_STORED);
    assertThat(jobs.contains(JOB), is(true));
    jobs.onAppendEnded(JOB, IntakeResult.NOT_STORED);
    assertThat(jobs.contains(JOB), is(false));
  }

  /** After an unknown outcome the store may still execute the append, also much later. */
  @ParameterizedTest
  @EnumSource(IntakeResult.class)
  void jobIsUnsettledAfterItsAppendOnlyIfTheOutcomeIsUnknown(IntakeResult result) {
    append(result);
    append(IntakeResult.NOT_STORED);
    assertThat(jobs.contains(JOB), is(result == IntakeResult.UNKNOWN));
  }
}
