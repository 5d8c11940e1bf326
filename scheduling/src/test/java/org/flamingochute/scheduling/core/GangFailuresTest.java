package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.job.CompactProgress;
import org.flamingochute.scheduling.job.JobPhase;
import org.flamingochute.scheduling.job.JobTable;
import org.flamingochute.scheduling.worker.EndReason;
import org.flamingochute.scheduling.worker.FinishedTask;
import org.flamingochute.scheduling.worker.RunningTask;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.scheduling.worker.WorkerStatus;
import org.flamingochute.schema.scheduling.JobProgress;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.flamingochute.schema.scheduling.TaskProgress;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against LOST and BUDGET: a gang's job ends as failed before the gang has failed as often
 * as its queue allows, or the gang runs once more after that.
 */
class GangFailuresTest {
  private static final JobId JOB = new JobId("0123456789abcdef");
  private static final PoolId POOL = new PoolId("p");
  private static final WorkerKey WORKER = new WorkerKey(new InstanceId("w"), 1);
  private static final int MEMBERS = 4;
  private static final int MAXIMUM_ATTEMPTS = 3;
  private static final FleetDeclaration DECLARATION =
      FleetDeclaration.builder().version(1).pool(new Pool(POOL, true, false)).build();
  private static final QueuedJob DEFINITION =
      QueuedJob.newBuilder()
          .setQueue("q")
          .setPolicy(
              QueuePolicy.newBuilder()
                  .setService(POOL.value())
                  .setMaximumAttempts(MAXIMUM_ATTEMPTS))
          .addSteps(
              QueuedStep.newBuilder().setCount(MEMBERS).setGang(true).setProcessorMillicores(100))
          .build();

  private final JobTable table = new JobTable();
  private final List<FinishedTask> listedEnds = new ArrayList<>();
  private Scheduler scheduler;
  private long now = 1_000;

  /** Begins a term with the recorded progress; the worker still lists all ends of this test. */
  private void takeOver() {
    scheduler =
        new Scheduler(
            SchedulerSettings.builder().build(), DECLARATION, PredecessorState.OVER, now, now);
    scheduler.onWorkerListed(
        new WorkerReport(
            WORKER,
            POOL,
            "w",
            new DataCentreId("a"),
            new ResourceVector(32_000, 65_536, 0),
            List.of(),
            false),
        now);
    scheduler.onJobStored(table.define(JOB, DEFINITION), now, now);
    receiveStatus(List.of());
  }

  private void receiveStatus(List<RunningTask> running) {
    now += 10;
    scheduler.onLeaseSent(WORKER, now);
    scheduler.onLeaseRenewed(WORKER, new WorkerStatus(1, now, running, listedEnds), now, now, now);
    record();
  }

  private SchedulerBatch record() {
    SchedulerBatch batch = scheduler.takeBatch();
    batch
        .records()
        .forEach((job, progress) -> table.updateProgress(job, CompactProgress.compact(progress)));
    return batch;
  }

  /** Starts what can be started; returns the attempt numbers of the started members. */
  private Set<Integer> startGang() {
    final Set<Integer> attempts = new HashSet<>();
    now += 100;
    scheduler.onLeaseSent(WORKER, now);
    scheduler.decide(now, now);
    for (SchedulerCommand command : record().commandsAfterRecording()) {
      if (command instanceof SchedulerCommand.StartTask start && scheduler.beginStart(start)) {
        attempts.add(start.attempt());
        scheduler.onStartAnswered(start, StartOutcome.STARTED, now, now);
      }
    }
    return attempts;
  }

  private void listEnd(int member, int attempt, EndReason reason) {
    listedEnds.add(new FinishedTask(listedEnds.size() + 1, memberId(member), attempt, reason, ""));
  }

  private static TaskId memberId(int member) {
    return new TaskId(JOB, 0, 0, member);
  }

  /** Ends a run of the gang: these members fail, the others end because of them. */
  private void fail(int attempt, Set<Integer> failedMembers) {
    for (int member = 0; member < MEMBERS; member++) {
      listEnd(
          member,
          attempt,
          failedMembers.contains(member) ? EndReason.FAILED : EndReason.GANG_BROKEN);
    }
    receiveStatus(List.of());
  }

  private JobPhase phase() {
    return table.find(JOB).orElseThrow().phase();
  }

  static Stream<Arguments> failedMembersOfEachRun() {
    Set<Integer> all = Set.of(0, 1, 2, 3);
    return Stream.of(
        Arguments.of(List.of(all, all, all), false),
        Arguments.of(List.of(all, all, all), true),
        Arguments.of(List.of(Set.of(0), Set.of(1), Set.of(2)), false),
        Arguments.of(List.of(Set.of(0), Set.of(1), Set.of(2)), true),
        Arguments.of(List.of(Set.of(0, 1), all, Set.of(3)), false),
        Arguments.of(List.of(Set.of(0, 1), all, Set.of(3)), true));
  }

  /** A run counts once, whichever and however many of its members failed. */
  @ParameterizedTest
  @MethodSource("failedMembersOfEachRun")
  void jobFailsAfterAsManyRunsAsAllowed(List<Set<Integer>> failedMembers, boolean takesOver) {
    takeOver();
    for (int attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt++) {
      assertThat("phase before run " + attempt, phase() == JobPhase.FAILED, is(false));
      assertThat(startGang(), is(Set.of(attempt)));
      fail(attempt, failedMembers.get(attempt - 1));
      if (takesOver) {
        takeOver();
      }
    }
    assertThat(phase(), is(JobPhase.FAILED));
    assertThat(startGang(), is(Set.of()));
  }

  /** The other members of a run that has failed list their ends during the next run, or later. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void lateEndsOfCountedRunDoNotCount(boolean takesOver) {
    takeOver();
    startGang();
    listEnd(0, 1, EndReason.FAILED);
    receiveStatus(
        List.of(
            new RunningTask(memberId(1), 1, "", 10, 0),
            new RunningTask(memberId(2), 1, "", 10, 0),
            new RunningTask(memberId(3), 1, "", 10, 0)));
    if (takesOver) {
      takeOver();
    }
    for (int member = 1; member < MEMBERS; member++) {
      listEnd(member, 1, EndReason.FAILED);
    }
    receiveStatus(List.of());
    assertThat(phase() == JobPhase.FAILED, is(false));
    assertThat(startGang(), is(Set.of(2)));
    receiveStatus(List.of());
    fail(2, Set.of(0, 1, 2, 3));
    assertThat(phase() == JobPhase.FAILED, is(false));
    assertThat(startGang(), is(Set.of(3)));
  }

  /** Records of earlier versions have only the failures of each member. */
  @ParameterizedTest
  @CsvSource({"1, 1, 1, 1", "1, 0, 1, 1", "2, 2, 2, 2", "2, 1, 0, 0"})
  void failuresOfMembersInEarlierRecordsCount(int first, int second, int third, int fourth) {
    List<Integer> failures = List.of(first, second, third, fourth);
    final int failedRuns = 2;
    JobProgress.Builder progress = JobProgress.newBuilder();
    for (int member = 0; member < MEMBERS; member++) {
      progress.addTasks(
          TaskProgress.newBuilder()
              .setIndex(member)
              .setAttempt(failedRuns)
              .setFailures(failures.get(member)));
    }
    table.define(JOB, DEFINITION);
    table.updateProgress(JOB, progress.build());
    // The last end that the predecessor counted is listed again.
    listEnd(0, failedRuns, EndReason.FAILED);
    takeOver();
    assertThat(phase() == JobPhase.FAILED, is(false));
    int attempt = failedRuns;
    for (int counted = first; counted < MAXIMUM_ATTEMPTS; counted++) {
      attempt++;
      assertThat(startGang(), is(Set.of(attempt)));
      fail(attempt, Set.of(0, 1, 2, 3));
    }
    assertThat(phase(), is(JobPhase.FAILED));
  }
}
