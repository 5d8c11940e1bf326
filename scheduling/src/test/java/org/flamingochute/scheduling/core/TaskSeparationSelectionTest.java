package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingochute.decision.identity.DataCentreId;
import org.flamingochute.decision.identity.InstanceId;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.interference.InterferenceModel;
import org.flamingochute.scheduling.worker.WorkerKey;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.flamingochute.schema.scheduling.TaskProgress;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Serving tasks with and without fillers on several workers, of which some are paced: what is
 * learned from their statuses, and where further fillers are placed.
 */
class TaskSeparationSelectionTest {
  private static final long TAIL_TARGET_MILLISECONDS = 200;
  private static final long USUAL_TAIL_MILLISECONDS = 80;

  private final WorkerRegistry workers = new WorkerRegistry();
  private final InterferenceModel model = new InterferenceModel();
  private final InterferenceObserver observer = new InterferenceObserver(workers, model);
  private final WorkerSelector selector =
      new WorkerSelector(new WorkerSuspensions(), new InterferencePenalty(model));
  private final List<Task> servingTasks = new ArrayList<>();
  private int taskCount;
  private long now = 10_000;

  private Worker addWorker(String id) {
    WorkerReport report =
        new WorkerReport(
            new WorkerKey(new InstanceId(id), 1),
            new PoolId("p"),
            "10.0.0.1:1",
            new DataCentreId("a"),
            new ResourceVector(8_000, 8_000, 0),
            List.of("kind", id),
            false);
    Worker worker = new Worker(report, Long.MAX_VALUE);
    worker.leaseConfirmed = true;
    workers.add(worker);
    return worker;
  }

  private Task task(QueuedStep.Builder step) {
    step.setCount(1).setMemoryMebibytes(1_000);
    Job job =
        new Job(
            new JobId("job-" + taskCount++),
            QueuedJob.newBuilder().addSteps(step).build(),
            QueuePolicy.newBuilder().setService("p").build());
    job.addNextOccurrence();
    return job.findTask(0, 0, 0).orElseThrow();
  }

  private Task serving() {
    return task(
        QueuedStep.newBuilder()
            .setLongRunning(true)
            .setImage("web")
            .setTailTargetMilliseconds(TAIL_TARGET_MILLISECONDS));
  }

  private Task filler(String image) {
    return task(QueuedStep.newBuilder().setFiller(true).setImage(image));
  }

  private static Task run(Task task, Worker worker) {
    task.phase = TaskProgress.Phase.ASSIGNED;
    task.runState = Task.RunState.RUNNING;
    task.attempt = 1;
    task.percent = Task.FULL_PERCENT;
    task.worker = Optional.of(worker);
    worker.add(task);
    return task;
  }

  private Worker addServingWorker(String id) {
    Worker worker = addWorker(id);
    Task task = run(serving(), worker);
    task.reportedUsage = USUAL_TAIL_MILLISECONDS;
    servingTasks.add(task);
    return worker;
  }

  /** Adds a worker on which a filler raises the tail. */
  private Task addBesideServing(String id, String image, int pacePercent, long riseMilliseconds) {
    Worker worker = addServingWorker(id);
    servingTasks.getLast().reportedUsage += riseMilliseconds;
    Task filler = run(filler(image), worker);
    filler.pacePercent = pacePercent;
    return filler;
  }

  private void advance(long milliseconds) {
    for (long end = now + milliseconds; now < end; now += 50) {
      servingTasks.forEach(task -> task.statusReceivedAt = now);
      observer.update(now);
    }
  }

  private String selectFor(Task task) {
    return selector.select(task, List.copyOf(workers.all()), now).orElseThrow().key.id().value();
  }

  /** Workers without fillers, and two each with a disturbing and a calm filler. */
  private void learn(int pacePercent) {
    addServingWorker("alone-1");
    addServingWorker("alone-2");
    for (String suffix : List.of("1", "2")) {
      addBesideServing("disturbed-" + suffix, "disturbing", pacePercent, 2L * pacePercent);
      addBesideServing("undisturbed-" + suffix, "calm", pacePercent, 0);
    }
    advance(30_000);
    workers.all().forEach(worker -> worker.cordoned = true);
  }

  @ParameterizedTest
  @ValueSource(ints = {100, 50, 25})
  void harmlessFillersLeaveTheRoomWithoutServingTasks(int pacePercent) {
    learn(pacePercent);
    addWorker("free");
    addServingWorker("serving");
    assertThat(selectFor(filler("disturbing")), is("free"));
    assertThat(selectFor(filler("calm")), is("serving"));
    assertThat(selectFor(filler("unknown")), is("free"));
  }

  /** A serving task must not start beside a disturbing filler if there is a harmless one. */
  @ParameterizedTest
  @CsvSource({
    "disturbing, calm, with-calm",
    "unknown, calm, with-calm",
    "disturbing, unknown, with-unknown"
  })
  void servingTasksAvoidTheWorseFiller(String first, String second, String expected) {
    learn(Task.FULL_PERCENT);
    run(filler(first), addWorker("with-" + first));
    run(filler(second), addWorker("with-" + second));
    assertThat(selectFor(serving()), is(expected));
  }

  /** Separation is a preference: without other room the task starts all the same. */
  @ParameterizedTest
  @ValueSource(strings = {"disturbing", "calm", "unknown"})
  void fillerIsPlacedWithoutOtherRoom(String image) {
    learn(Task.FULL_PERCENT);
    addServingWorker("serving");
    assertThat(selectFor(filler(image)), is("serving"));
  }

  /** A slow worker and one in another rack than the preferred one rank behind interference. */
  @ParameterizedTest
  @ValueSource(strings = {"disturbing", "unknown"})
  void otherPreferencesOutweighInterference(String image) {
    learn(Task.FULL_PERCENT);
    addServingWorker("serving");
    Worker slow = addWorker("slow");
    slow.slow = true;
    assertThat(selectFor(filler(image)), is("serving"));
    Task withRack =
        task(QueuedStep.newBuilder().setFiller(true).setImage(image).setPreferredRack("serving"));
    slow.slow = false;
    assertThat(selectFor(withRack), is("serving"));
  }

  /** Without knowledge, as after a takeover or with the switch off, all fillers are kept apart. */
  @ParameterizedTest
  @ValueSource(strings = {"disturbing", "calm"})
  void successorKeepsAllFillersApart(String image) {
    addServingWorker("serving");
    addWorker("free");
    assertThat(selectFor(filler(image)), is("free"));
    run(filler(image), addWorker("with-filler"));
    assertThat(selectFor(serving()), is("serving"));
  }

  /**
   * A filler whose pace or end is not confirmed, or whose pace a previous leader set, says nothing
   * about its effect.
   */
  @ParameterizedTest
  @CsvSource({
    "RUNNING, -1, 0",
    "STOPPING, 100, 0",
    "UNCERTAIN, 100, 0",
    "RUNNING, 0, 0",
    "RUNNING, 100, " + Long.MIN_VALUE
  })
  void uncertainFillersAreNotLearned(Task.RunState runState, int pacePercent, long confirmedAt) {
    addServingWorker("alone-1");
    addServingWorker("alone-2");
    for (String id : List.of("a", "b")) {
      Task filler = addBesideServing(id, "calm", pacePercent, 0);
      filler.runState = runState;
      filler.confirmedAt = confirmedAt;
    }
    advance(30_000);
    workers.all().forEach(worker -> worker.cordoned = true);
    addServingWorker("serving");
    addWorker("free");
    assertThat(selectFor(filler("calm")), is("free"));
  }

  /** Counts that drift would keep tasks apart from those that ended long ago. */
  @ParameterizedTest
  @ValueSource(ints = {1, 3})
  void removedTasksNoLongerCount(int count) {
    Worker worker = addWorker("w");
    List<Task> tasks = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      tasks.add(run(serving(), worker));
      tasks.add(run(filler("image-" + i), worker));
    }
    worker.add(tasks.getFirst());
    assertThat(worker.servingImages.size(), is(1));
    assertThat(worker.fillerImages.size(), is(count));
    tasks.forEach(worker::remove);
    tasks.forEach(worker::remove);
    assertThat(worker.hasServingTask(), is(false));
    assertThat(worker.hasFiller(), is(false));
  }
}
