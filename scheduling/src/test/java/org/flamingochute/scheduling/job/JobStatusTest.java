package org.flamingochute.scheduling.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.JobStatus;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against callers that see a job fall back, or never see its end, at a standby node. */
class JobStatusTest {
  private static final JobId JOB = new JobId("job");
  private static final QueuedJob DEFINITION = QueuedJob.newBuilder().setQueue("q").build();

  private final JobTable jobs = new JobTable();

  private static JobStatus status(JobProgress.Phase phase) {
    return JobStatus.newBuilder().setPhase(phase).setStarted(true).build();
  }

  private JobPhase phase() {
    return jobs.find(JOB).orElseThrow().phase();
  }

  @ParameterizedTest
  @EnumSource(
      value = JobProgress.Phase.class,
      names = {"COMPLETED", "FAILED", "CANCELLED"})
  void endIsFinal(JobProgress.Phase end) {
    jobs.define(JOB, DEFINITION);
    jobs.updateStatus(JOB, status(end));
    jobs.updateStatus(JOB, status(JobProgress.Phase.OPEN));
    assertThat(phase().name(), is(end.name()));
  }

  @Test
  void progressThatIsBehindTheStatusDoesNotHideTheEnd() {
    jobs.define(JOB, DEFINITION);
    jobs.updateStatus(JOB, status(JobProgress.Phase.COMPLETED));
    jobs.updateProgress(JOB, JobProgress.getDefaultInstance());
    assertThat(phase(), is(JobPhase.COMPLETED));
  }

  @Test
  void startedJobIsNotCountedAsQueued() {
    jobs.define(JOB, DEFINITION);
    assertThat(jobs.queuedCount(new QueueId("q")), is(1));
    jobs.updateStatus(JOB, status(JobProgress.Phase.OPEN));
    assertThat(phase(), is(JobPhase.RUNNING));
    assertThat(jobs.queuedCount(new QueueId("q")), is(0));
  }

  @Test
  void statusMayBeReadBeforeTheDefinition() {
    jobs.updateStatus(JOB, status(JobProgress.Phase.COMPLETED));
    jobs.define(JOB, DEFINITION);
    assertThat(phase(), is(JobPhase.COMPLETED));
    assertThat(jobs.queuedCount(new QueueId("q")), is(0));
  }

  @Test
  void statusOfDeletedJobIsForgotten() {
    jobs.updateStatus(JOB, status(JobProgress.Phase.COMPLETED));
    jobs.deleteWithoutDefinition(JOB);
    assertThat(jobs.find(JOB).isPresent(), is(false));
  }

  @Test
  void deletedStatusDoesNotDeleteTheJob() {
    jobs.define(JOB, DEFINITION);
    jobs.updateStatus(JOB, status(JobProgress.Phase.COMPLETED));
    jobs.deleteWithoutDefinition(JOB);
    assertThat(phase(), is(JobPhase.COMPLETED));
  }
}
