package org.flamingochute.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.stream.Collectors;
import org.flamingochute.schema.EndpointFault;
import org.flamingochute.schema.EndpointFaultKind;
import org.flamingochute.schema.FaultSettings;
import org.flamingochute.schema.ResourceAmount;
import org.flamingochute.schema.TaskPhase;
import org.flamingochute.schema.TaskPlan;
import org.flamingochute.schema.TaskStart;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests tasks, leases, faults and power of the stand-in worker.
 *
 * <p>Guards against starting an attempt twice, and against starting one that was reported as never
 * begun, which happens if the start request arrives after the status request.
 */
class StandInWorkerTest {

  private final VirtualTimers timers = new VirtualTimers();
  private final EndpointRecorder recorder = new EndpointRecorder();
  private final EndpointFaults faults = new EndpointFaults();
  private final StandInWorker worker =
      new StandInWorker("w-1", resourceAmount(4000, 1000), timers, recorder, faults);

  private static ResourceAmount resourceAmount(int millicores, int mebibytes) {
    return ResourceAmount.newBuilder()
        .setProcessorMillicores(millicores)
        .setMemoryMebibytes(mebibytes)
        .build();
  }

  private TaskStart createTaskStart(String job, TaskPlan.Builder plan) {
    return TaskStart.newBuilder()
        .setJob(job)
        .setAttempt(1)
        .setPayload(plan.setTeam("cordoba").build().toByteString())
        .setLeaseMilliseconds(500)
        .setBeginBeforeMilliseconds(timers.wallMilliseconds() + 100)
        .build();
  }

  private TaskPhase phaseOf(String job) {
    return worker.status(job, 1).get().getPhase();
  }

  private int begunTaskCount() {
    return recorder.createReport(false).getJobsList().stream()
        .mapToInt(job -> job.getBegun())
        .sum();
  }

  @ParameterizedTest(
      name = "run {0} ms, {1} millicores, {2} MiB, never succeeds {3}: {5} after {4} ms")
  @CsvSource({
    "100, 1000, 10, false, 99, TASK_RUNNING",
    "100, 1000, 10, false, 100, TASK_SUCCEEDED",
    "100, 8000, 10, false, 199, TASK_RUNNING",
    "100, 8000, 10, false, 200, TASK_SUCCEEDED",
    "100, 1000, 10, true, 100, TASK_FAILED",
    "100, 1000, 1001, false, 0, TASK_FAILED",
    "800, 1000, 10, false, 500, TASK_STOPPED",
  })
  void taskRunsAccordingToPlan(
      long run, int millicores, int mebibytes, boolean neverSucceeds, long after, TaskPhase phase) {
    TaskPlan.Builder plan =
        TaskPlan.newBuilder()
            .setRunMilliseconds(run)
            .setPeak(resourceAmount(millicores, mebibytes))
            .setNeverSucceeds(neverSucceeds);
    worker.start(createTaskStart("j1", plan));
    timers.advance(after);
    assertThat(phaseOf("j1"), equalTo(phase));
    assertThat(begunTaskCount(), equalTo(1));
  }

  @ParameterizedTest(name = "after {0}, a start returns {1} and {2} tasks are begun")
  @CsvSource({
    "nothing, TASK_RUNNING, 1",
    "start, TASK_RUNNING, 1",
    "status, TASK_NEVER_BEGUN, 0",
    "stop, TASK_NEVER_BEGUN, 0",
    "delay, TASK_NEVER_BEGUN, 0",
    "start and stop, TASK_STOPPED, 1",
    "start and power cycle, TASK_STOPPED, 1",
    "start and end, TASK_SUCCEEDED, 1",
  })
  void attemptBeginsAtMostOnce(String before, TaskPhase phase, int begun) {
    TaskStart start = createTaskStart("j1", TaskPlan.newBuilder().setRunMilliseconds(200));
    if (before.startsWith("start")) {
      worker.start(start);
    }
    switch (before) {
      case "status" -> worker.status("j1", 1);
      case "stop", "start and stop" -> worker.stop("j1", 1);
      case "delay" -> timers.advance(101);
      case "start and end" -> timers.advance(200);
      case "start and power cycle" -> {
        worker.setPower(false);
        worker.setPower(true);
      }
      default -> timers.advance(0);
    }
    assertThat(worker.start(start).get().getPhase(), equalTo(phase));
    assertThat(begunTaskCount(), equalTo(begun));
  }

  @Test
  void renewedLeaseKeepsTaskRunning() {
    worker.start(createTaskStart("j1", TaskPlan.newBuilder().setRunMilliseconds(900)));
    timers.advance(400);
    worker.status("j2", 1);
    String listed =
        worker.renew(600).get().getTasksList().stream()
            .map(task -> task.getJob() + ":" + task.getPhase())
            .collect(Collectors.joining(" "));
    assertThat(listed, equalTo("j1:TASK_RUNNING"));
    timers.advance(500);
    assertThat(phaseOf("j1"), equalTo(TaskPhase.TASK_SUCCEEDED));
  }

  @ParameterizedTest(
      name = "{0} ms after its end a task is listed {1} times and its status is kept")
  @CsvSource({"0, 1", "60000, 1", "60001, 0"})
  void endedTaskIsListedDuringRetention(long after, int listed) {
    worker.start(createTaskStart("j1", TaskPlan.newBuilder().setRunMilliseconds(100)));
    timers.advance(100 + after);
    assertThat(worker.renew(500).get().getTasksCount(), equalTo(listed));
    assertThat(phaseOf("j1"), equalTo(TaskPhase.TASK_SUCCEEDED));
  }

  @ParameterizedTest(name = "{0} results in {1} and {2} tasks are begun")
  @CsvSource({"WORKER_FAILS, TASK_FAILED, 1", "WORKER_CANNOT_RUN, TASK_NEVER_BEGUN, 0"})
  void workerFaultAppliesToTask(EndpointFaultKind kind, TaskPhase phase, int begun) {
    faults.replaceFaults(
        FaultSettings.newBuilder()
            .addEndpoints(EndpointFault.newBuilder().setInstance("w-1").setKind(kind))
            .build());
    TaskStart start = createTaskStart("j1", TaskPlan.newBuilder().setRunMilliseconds(10));
    assertThat(worker.start(start).get().getPhase(), equalTo(phase));
    assertThat(begunTaskCount(), equalTo(begun));
  }

  @ParameterizedTest(name = "powered down, {0} is refused")
  @CsvSource({"start", "status", "stop", "renew"})
  void poweredDownWorkerRefusesCalls(String call) {
    worker.setPower(false);
    boolean refused =
        switch (call) {
          case "start" -> worker.start(createTaskStart("j1", TaskPlan.newBuilder())).isLeft();
          case "status" -> worker.status("j1", 1).isLeft();
          case "stop" -> worker.stop("j1", 1).isLeft();
          default -> worker.renew(100).isLeft();
        };
    assertThat(refused, equalTo(true));
  }
}
