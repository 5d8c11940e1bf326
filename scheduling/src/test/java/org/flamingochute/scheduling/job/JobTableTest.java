package org.flamingochute.scheduling.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.TaskProgress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class JobTableTest {
  private static final JobId JOB = new JobId("0123456789abcdef");
  private static final QueueId QUEUE = new QueueId("q");

  private final JobTable table = new JobTable();

  private static QueuedJob job(String payload) {
    return QueuedJob.newBuilder().setQueue(QUEUE.value()).setPayload(payload).build();
  }

  private static JobProgress progress(JobProgress.Phase phase) {
    return JobProgress.newBuilder()
        .setPhase(phase)
        .addTasks(TaskProgress.getDefaultInstance())
        .build();
  }

  @Test
  void firstDefinitionIsKept() {
    table.define(JOB, job("first"));
    table.define(JOB, job("second"));
    assertThat(table.find(JOB).orElseThrow().definition().orElseThrow().getPayload(), is("first"));
    assertThat(table.queuedCount(QUEUE), is(1));
  }

  @Test
  void startedJobIsNoLongerQueued() {
    table.define(JOB, job("p"));
    table.updateProgress(JOB, progress(JobProgress.Phase.OPEN));
    assertThat(table.queuedCount(QUEUE), is(0));
    assertThat(table.find(JOB).orElseThrow().phase(), is(JobPhase.RUNNING));
  }

  @ParameterizedTest
  @EnumSource(
      value = JobProgress.Phase.class,
      names = {"COMPLETED", "FAILED", "CANCELLED"})
  void endPhaseIsKeptWhenTheJobIsCancelledLater(JobProgress.Phase phase) {
    table.define(JOB, job("p"));
    table.updateProgress(JOB, progress(phase));
    table.cancel(JOB);
    assertThat(table.find(JOB).orElseThrow().phase().name(), is(phase.name()));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void orderOfRecordsOfDifferentKindsIsIrrelevant(long seed) {
    List<Runnable> records = new ArrayList<>();
    records.add(() -> table.define(JOB, job("p")));
    records.add(() -> table.cancel(JOB));
    records.add(() -> table.updateProgress(JOB, progress(JobProgress.Phase.OPEN)));
    Collections.shuffle(records, new Random(seed));
    records.forEach(Runnable::run);
    records.forEach(Runnable::run);
    assertThat(table.find(JOB).orElseThrow().phase(), is(JobPhase.CANCELLED));
    assertThat(table.queuedCount(QUEUE), is(0));
  }

  @Test
  void deletedJobIsUnknown() {
    table.define(JOB, job("p"));
    table.delete(JOB);
    assertThat(table.find(JOB).isEmpty(), is(true));
    assertThat(table.queuedCount(QUEUE), is(0));
  }

  /** Guards against a job that may have run and is reported, or treated, as one that has not. */
  @Test
  void jobWithUnreadableProgressIsNotQueued() {
    table.define(JOB, job("p"));
    table.setProgressUnreadable(JOB);
    assertThat(table.find(JOB).orElseThrow().isProgressUnreadable(), is(true));
    assertThat(table.find(JOB).orElseThrow().phase(), is(JobPhase.RUNNING));
    assertThat(table.queuedCount(QUEUE), is(0));
    table.updateProgress(JOB, JobProgress.getDefaultInstance());
    assertThat(table.find(JOB).orElseThrow().isProgressUnreadable(), is(false));
    assertThat(table.queuedCount(QUEUE), is(1));
  }
}
