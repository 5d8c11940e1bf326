package org.flamingochute.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.flamingochute.decision.error.ErrorCode;
import org.flamingochute.decision.error.ErrorReport;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.engine.fake.Cluster;
import org.flamingochute.schema.InstanceState;
import org.flamingochute.schema.JobImage;
import org.flamingochute.schema.JobPhase;
import org.flamingochute.schema.JobSubmissionBody;
import org.flamingochute.schema.ResourceAmount;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against the loss of acknowledged jobs, repeated runs of jobs that are not idempotent, and
 * jobs beyond the cap of their team, when placers, workers or the log fail.
 */
class JobGuaranteesTest {

  private static JobSubmissionBody body(boolean idempotent, String key) {
    return JobSubmissionBody.newBuilder()
        .setPool("press")
        .setDeclared(
            ResourceAmount.newBuilder().setProcessorMillicores(500).setMemoryMebibytes(256))
        .setIdempotent(idempotent)
        .setIdempotencyKey(key)
        .build();
  }

  private static CompletableFuture<Either<ErrorReport, JobImage>> submit(
      Cluster cluster, int entry, boolean idempotent, String key) {
    return cluster.entry(entry).node.submitJob(Cluster.RED_KEY, body(idempotent, key));
  }

  private static JobId acknowledgedJob(CompletableFuture<Either<ErrorReport, JobImage>> future) {
    assertThat("the submission has completed", future.isDone(), is(true));
    return new JobId(Cluster.result(future).get().getSubmitted().getJob());
  }

  private static JobPhase phase(Cluster cluster, int entry, JobId job) {
    return cluster.entry(entry).node.job(Cluster.RED_KEY, job).get().getPhase();
  }

  @Test
  void acknowledgedJobRunsOnceAndSucceeds() {
    Cluster cluster = Cluster.start(3);
    CompletableFuture<Either<ErrorReport, JobImage>> future = submit(cluster, 0, false, "");
    cluster.clock.advance(200);
    JobId job = acknowledgedJob(future);
    cluster.clock.advance(5_000);
    assertThat(phase(cluster, 2, job), is(JobPhase.JOB_SUCCEEDED));
    assertThat(cluster.workers.executions(job.value()), is(1L));
  }

  @Test
  void repeatedSubmissionWithTheSameKeyReturnsTheSameJob() {
    Cluster cluster = Cluster.start(3);
    CompletableFuture<Either<ErrorReport, JobImage>> first = submit(cluster, 0, false, "k");
    final CompletableFuture<Either<ErrorReport, JobImage>> second = submit(cluster, 1, false, "k");
    cluster.clock.advance(5_000);
    assertThat(acknowledgedJob(second), is(acknowledgedJob(first)));
    assertThat(cluster.workers.executions().size(), is(1));
  }

  @ParameterizedTest
  @CsvSource({"stranger, press, KEY_UNKNOWN", "red-secret, proofs, POOL_UNKNOWN"})
  void refusedSubmissionReportsItsErrorCode(String key, String pool, ErrorCode code) {
    Cluster cluster = Cluster.start(1);
    JobSubmissionBody job = body(true, "").toBuilder().setPool(pool).build();
    Either<ErrorReport, JobImage> result = cluster.entry(0).node.submitJob(key, job).join();
    assertThat(result.getLeft().code(), is(code));
  }

  static Stream<Named<Consumer<Cluster>>> faults() {
    return Stream.of(
        Named.of("no fault", cluster -> {}),
        Named.of("the placer is killed", JobGuaranteesTest::killPlacer),
        Named.of("the placer is paused and resumed", JobGuaranteesTest::pausePlacer),
        Named.of("the placer stops gracefully", JobGuaranteesTest::stopPlacer),
        Named.of("replies of the log are lost", cluster -> cluster.log.loseReplies(6)),
        Named.of("appends are stored twice", cluster -> cluster.log.duplicateAppends(6)),
        Named.of("replies of starts are lost", cluster -> cluster.workers.loseStartReplies(3)),
        Named.of("the log is down for a while", JobGuaranteesTest::takeLogDownTemporarily),
        Named.of(
            "the placer is killed while replies are lost",
            JobGuaranteesTest::killPlacerAndLoseReplies));
  }

  private static int placer(Cluster cluster) {
    String incarnation =
        cluster.entry(0).node.agreed().placer(new PoolId("press")).get().getIncarnation();
    for (int i = 0; i < cluster.entries.size(); i++) {
      if (incarnation.startsWith(cluster.entry(i).instance)) {
        return i;
      }
    }
    throw new IllegalStateException("no entry is " + incarnation);
  }

  private static void killPlacer(Cluster cluster) {
    int placer = placer(cluster);
    cluster.kill(placer);
    cluster.listAsGone(cluster.entry(placer).instance);
  }

  private static void pausePlacer(Cluster cluster) {
    int placer = placer(cluster);
    cluster.entry(placer).process.pause();
    cluster.clock.schedule(Duration.ofSeconds(8), () -> cluster.entry(placer).process.resume());
  }

  private static void stopPlacer(Cluster cluster) {
    cluster.entry(placer(cluster)).node.stop();
  }

  private static void takeLogDownTemporarily(Cluster cluster) {
    cluster.log.setDown(true);
    cluster.clock.schedule(Duration.ofSeconds(15), () -> cluster.log.setDown(false));
  }

  private static void killPlacerAndLoseReplies(Cluster cluster) {
    cluster.log.loseReplies(10);
    killPlacer(cluster);
  }

  @ParameterizedTest
  @MethodSource("faults")
  void everyAcknowledgedJobSucceedsAndRunsOnce(Consumer<Cluster> fault) {
    Cluster cluster = Cluster.start(3);
    List<CompletableFuture<Either<ErrorReport, JobImage>>> futures = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      futures.add(submit(cluster, i % 3, false, "key-" + i));
    }
    cluster.clock.advance(400);
    fault.accept(cluster);
    cluster.clock.advance(120_000);
    int readyEntry = 0;
    while (cluster.entry(readyEntry).process.isDead()
        || !cluster.entry(readyEntry).node.isReady()) {
      readyEntry++;
    }
    for (CompletableFuture<Either<ErrorReport, JobImage>> future : futures) {
      JobId job = acknowledgedJob(future);
      assertThat(job.value(), phase(cluster, readyEntry, job), is(JobPhase.JOB_SUCCEEDED));
      assertThat(job.value(), cluster.workers.executions(job.value()), is(1L));
    }
  }

  @Test
  void startDelayedBeyondTakeoverDoesNotRunAgain() {
    Cluster cluster = Cluster.start(3);
    cluster.workers.delayStarts(4_500);
    CompletableFuture<Either<ErrorReport, JobImage>> future = submit(cluster, 0, false, "k");
    cluster.clock.advance(500);
    final JobId job = acknowledgedJob(future);
    killPlacer(cluster);
    cluster.workers.delayStarts(0);
    cluster.clock.advance(30_000);
    assertThat(cluster.workers.executions(job.value()), is(1L));
  }

  @Test
  void placerThatLosesItsEpochDuringAppendsSendsNothing() {
    Cluster cluster = Cluster.start(3);
    int placer = placer(cluster);
    int other = (placer + 1) % 3;
    cluster.entry(placer).log.setDisconnected(true);
    cluster.clock.advance(500);
    List<CompletableFuture<Either<ErrorReport, JobImage>>> futures = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      futures.add(submit(cluster, other, false, "key-" + i));
    }
    cluster.clock.advance(800);
    String address = cluster.entry(placer).peerAddress();
    for (int i = 0; i < 3; i++) {
      cluster.network.cutLink(address, cluster.entry(i).peerAddress());
    }
    cluster.clock.advance(8_000);
    cluster.entry(placer).log.setDisconnected(false);
    cluster.network.restoreLinks();
    cluster.clock.advance(30_000);
    for (CompletableFuture<Either<ErrorReport, JobImage>> future : futures) {
      JobId job = acknowledgedJob(future);
      assertThat(phase(cluster, other, job), is(JobPhase.JOB_SUCCEEDED));
      assertThat(cluster.workers.executions(job.value()), is(1L));
    }
    long refused = cluster.entry(placer).metrics.counter("jobs.attempts_refused").getCount();
    assertThat(refused, greaterThan(0L));
  }

  @Test
  void runningJobsStayWithinTheCap() {
    Cluster cluster = Cluster.start(3, "team red cap 3");
    for (int i = 0; i < 12; i++) {
      submit(cluster, i % 3, true, "");
    }
    long maximumRunning = 0;
    for (int i = 0; i < 200; i++) {
      cluster.clock.advance(50);
      maximumRunning = Math.max(maximumRunning, cluster.workers.running());
    }
    assertThat(maximumRunning, greaterThan(1L));
    assertThat(maximumRunning, lessThanOrEqualTo(3L));
    assertThat(cluster.workers.executions().size(), is(12));
  }

  @Test
  void cancelledJobsStopAndDoNotRun() {
    Cluster cluster = Cluster.start(3, "team red cap 2");
    cluster.workers.setRunMilliseconds(60_000);
    List<JobId> jobs = new ArrayList<>();
    List<CompletableFuture<Either<ErrorReport, JobImage>>> futures = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      futures.add(submit(cluster, 0, false, "key-" + i));
    }
    cluster.clock.advance(3_000);
    futures.forEach(future -> jobs.add(acknowledgedJob(future)));
    final int startedJobs = cluster.workers.executions().size();
    cluster.entry(1).node.cancelJobs(Cluster.RED_KEY, jobs);
    cluster.clock.advance(3_000);
    for (JobId job : jobs) {
      assertThat(phase(cluster, 0, job), is(JobPhase.JOB_CANCELLED));
    }
    assertThat(cluster.workers.running(), is(0L));
    assertThat(cluster.workers.executions().size(), is(startedJobs));
  }

  @Test
  void jobsSucceedDespiteWorkerThatFailsAllTasks() {
    Cluster cluster = Cluster.start(2);
    cluster.workers.fail("worker-1");
    List<CompletableFuture<Either<ErrorReport, JobImage>>> futures = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      futures.add(submit(cluster, 0, true, "key-" + i));
    }
    cluster.clock.advance(60_000);
    for (CompletableFuture<Either<ErrorReport, JobImage>> future : futures) {
      assertThat(phase(cluster, 0, acknowledgedJob(future)), is(JobPhase.JOB_SUCCEEDED));
    }
  }

  @ParameterizedTest
  @CsvSource({"true, JOB_SUCCEEDED", "false, JOB_OUTCOME_UNKNOWN"})
  void jobOfLostWorkerIsRepeatedOnlyIfIdempotent(boolean idempotent, JobPhase expected) {
    Cluster cluster = Cluster.start(2);
    cluster.workers.setRunMilliseconds(5_000);
    CompletableFuture<Either<ErrorReport, JobImage>> future = submit(cluster, 0, idempotent, "k");
    cluster.clock.advance(1_000);
    JobId job = acknowledgedJob(future);
    String worker = cluster.entry(0).node.job(Cluster.RED_KEY, job).get().getWorker();
    cluster.platform.setState(worker, InstanceState.INSTANCE_GONE);
    cluster.clock.advance(8_000);
    assertThat(phase(cluster, 0, job), is(JobPhase.JOB_RUNNING));
    cluster.clock.advance(40_000);
    assertThat(phase(cluster, 0, job), is(expected));
  }

  @Test
  void jobThatFitsNoWorkerIsParkedWithReason() {
    Cluster cluster = Cluster.start(2);
    JobSubmissionBody large =
        body(true, "").toBuilder()
            .setDeclared(ResourceAmount.newBuilder().setProcessorMillicores(1_000_000))
            .build();
    CompletableFuture<Either<ErrorReport, JobImage>> future =
        cluster.entry(0).node.submitJob(Cluster.RED_KEY, large);
    cluster.clock.advance(3_000);
    JobImage job = cluster.entry(1).node.job(Cluster.RED_KEY, acknowledgedJob(future)).get();
    assertThat(job.getPhase(), is(JobPhase.JOB_PARKED));
    assertThat(job.getReason().isEmpty(), is(false));
  }
}
