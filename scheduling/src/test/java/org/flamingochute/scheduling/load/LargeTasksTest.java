package org.flamingochute.scheduling.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.simulation.SimulatedFleet;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A load peak of tasks of which only a few fit on one machine. Guards against a pool whose tasks
 * wait while machines stand idle in the standby pool, since the sum of its tasks seems to fit.
 */
class LargeTasksTest {
  private static final PoolId POOL = new PoolId("busy");
  private static final PoolId STANDBY = new PoolId("standby");
  private static final ResourceVector MACHINE = new ResourceVector(64_000, 131_072, 0);
  private static final int OWN_MACHINES = 4;
  private static final int STANDBY_MACHINES = 40;
  private static final int TASKS = 24;
  private static final long TASK_MILLISECONDS = 20_000;

  /** A shortage must last for a while, and a move takes time. */
  private static final long ARRIVAL_MILLISECONDS = 4_000;

  private final SimulatedFleet fleet = new SimulatedFleet(declaration());

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

  @ParameterizedTest(name = "{0} millicores, {1} MiB, at most {2} on a machine")
  @CsvSource({"22000, 1024, 0", "33000, 1024, 0", "4000, 50000, 0", "1000, 1024, 1"})
  void everyTaskGetsRoom(int millicores, int mebibytes, int maximumPerWorker) {
    for (int machine = 0; machine < OWN_MACHINES; machine++) {
      fleet.addMachine("own-" + machine, POOL, MACHINE);
    }
    for (int machine = 0; machine < STANDBY_MACHINES; machine++) {
      fleet.addMachine("standby-" + machine, STANDBY, MACHINE);
    }
    fleet.advance(1_000);
    JobId job = new JobId("large");
    fleet.submit(
        job,
        QueuedJob.newBuilder()
            .setQueue("q")
            .setAcceptedMilliseconds(fleet.now())
            .addSteps(
                QueuedStep.newBuilder()
                    .setCount(TASKS)
                    .setProcessorMillicores(millicores)
                    .setMemoryMebibytes(mebibytes)
                    .setMaximumPerWorker(maximumPerWorker)
                    .setEstimateMilliseconds(TASK_MILLISECONDS))
            .build(),
        TASK_MILLISECONDS);
    fleet.advance(ARRIVAL_MILLISECONDS);
    assertThat(fleet.runningCountOf(job), is(TASKS));
  }
}
