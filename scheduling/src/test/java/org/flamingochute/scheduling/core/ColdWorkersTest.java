package org.flamingochute.scheduling.core;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.simulation.SimulatedFleet;
import org.flamingochute.scheduling.worker.WorkerReport;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests placement and pool sizes with workers that are slow after their start. */
class ColdWorkersTest {
  private static final PoolId POOL = new PoolId("p");
  private static final PoolId STANDBY = new PoolId("s");
  private static final ResourceVector CAPACITY = new ResourceVector(8_000, 8_192, 0);
  private static final long ENDLESS_MILLISECONDS = Long.MAX_VALUE / 200;
  private static final String RACK = "r1";

  private final SimulatedFleet fleet = new SimulatedFleet(declaration());
  private int jobs;

  private static FleetDeclaration declaration() {
    QueuePolicy policy =
        QueuePolicy.newBuilder().setService(POOL.value()).setMaximumAttempts(3).build();
    return FleetDeclaration.builder()
        .version(1)
        .queue(new Queue(new QueueId("q"), "host", "/q/", 3_000, true, policy))
        .pool(new Pool(POOL, true, false))
        .pool(new Pool(STANDBY, true, true))
        .build();
  }

  /** Runs one task and returns its worker. */
  private String workerOfNextTask(String preferredRack) {
    JobId id = new JobId("job-" + jobs++);
    QueuedStep step =
        QueuedStep.newBuilder()
            .setCount(1)
            .setProcessorMillicores(1_000)
            .setMemoryMebibytes(100)
            .setPreferredRack(preferredRack)
            .build();
    fleet.submit(
        id, QueuedJob.newBuilder().setQueue("q").addSteps(step).build(), ENDLESS_MILLISECONDS);
    fleet.advance(100);
    return fleet.lastWorkerOf(new TaskId(id, 0, 0, 0));
  }

  private void addWorker(String name, String rack) {
    fleet.addWorker(name, POOL, CAPACITY, List.of("kind", rack));
    fleet.advance(300);
  }

  /** Guards against LATE jobs: a task is placed on a cold worker beside a warm one. */
  @ParameterizedTest
  @CsvSource({"''", "r1"})
  void taskIsPlacedOnWarmWorkerFirst(String preferredRack) {
    addWorker("cold", RACK);
    addWorker("warm", "r2");
    assertThat("both are warm", workerOfNextTask(RACK), is("cold"));
    fleet.worker("cold").reportCold(fleet.now() + 2_000);
    assertThat("one is cold", workerOfNextTask(preferredRack), is("warm"));
    fleet.worker("cold").reportCold(fleet.now() + 4_000);
    fleet.advance(2_500);
    assertThat("a newer report is longer", workerOfNextTask(preferredRack), is("warm"));
    fleet.advance(2_000);
    assertThat("warm after its time", workerOfNextTask(RACK), is("cold"));
  }

  /** Guards against work that waits: all workers of a data centre may start cold together. */
  @Test
  void taskIsPlacedOnColdWorkerIfThereIsNoOther() {
    addWorker("cold-1", RACK);
    addWorker("cold-2", RACK);
    fleet.worker("cold-1").reportCold(fleet.now() + 60_000);
    fleet.worker("cold-2").reportCold(fleet.now() + 60_000);
    String first = workerOfNextTask("");
    assertThat("the fullest among equals", workerOfNextTask(""), is(first));
  }

  /** Guards against a new incarnation that counts as cold because its predecessor was. */
  @Test
  void nextIncarnationIsWarmUnlessItReportsOtherwise() {
    addWorker("first", RACK);
    addWorker("second", "r2");
    fleet.worker("first").reportCold(fleet.now() + 60_000);
    assertThat("cold", workerOfNextTask(RACK), is("second"));
    fleet.worker("first").reportCold(WorkerReport.WARM);
    fleet.worker("first").restart();
    fleet.advance(300);
    assertThat("started again", workerOfNextTask(RACK), is("first"));
  }

  /** Guards against a pool that counts workers as whole that do half of the work. */
  @Test
  void coldMachinesCountAsHalfInPoolSizes() {
    for (int i = 0; i < 4; i++) {
      fleet.addMachine("own-" + i, POOL, CAPACITY);
      fleet.addMachine("standby-" + i, STANDBY, CAPACITY);
    }
    fleet.advance(1_000);
    assertThat("all are warm", fleet.machinesIn(POOL), is(4));
    for (int i = 0; i < 4; i++) {
      fleet.worker("own-" + i).reportCold(fleet.now() + 3_000);
    }
    fleet.advance(1_000);
    assertThat("all are cold", fleet.machinesIn(POOL), is(6));
    fleet.advance(8_000);
    assertThat("all are warm again", fleet.machinesIn(POOL), is(4));
  }

  @ParameterizedTest
  @CsvSource({"0, 0", "1, 1", "2, 1", "3, 2", "4, 2"})
  void twoColdMachinesCountAsOne(int cold, int reduction) {
    assertThat(ColdWorkers.reduction(cold), is(reduction));
  }
}
