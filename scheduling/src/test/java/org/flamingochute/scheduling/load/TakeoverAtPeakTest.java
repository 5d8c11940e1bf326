package org.flamingochute.scheduling.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import org.flamingochute.decision.identity.JobId;
import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.QueueId;
import org.flamingochute.decision.placement.ResourceVector;
import org.flamingochute.scheduling.core.SchedulerCommand;
import org.flamingochute.scheduling.fleet.FleetDeclaration;
import org.flamingochute.scheduling.fleet.Pool;
import org.flamingochute.scheduling.fleet.Queue;
import org.flamingochute.scheduling.simulation.SimulatedFleet;
import org.flamingochute.schema.scheduling.QueuePolicy;
import org.flamingochute.schema.scheduling.QueuedJob;
import org.flamingochute.schema.scheduling.QueuedStep;
import org.junit.jupiter.api.Test;

/**
 * A load peak during which the leader is lost. Guards against a successor that moves no machine for
 * seconds although its predecessor has not commanded it, while jobs wait for capacity.
 */
class TakeoverAtPeakTest {
  private static final PoolId POOL = new PoolId("busy");
  private static final PoolId STANDBY = new PoolId("standby");
  private static final ResourceVector MACHINE = new ResourceVector(8_000, 16_384, 0);
  private static final int STANDBY_MACHINES = 20;
  private static final long TASK_MILLISECONDS = 5_000;

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

  private void submit(String id, int tasks) {
    QueuedJob job =
        QueuedJob.newBuilder()
            .setQueue("q")
            .setAcceptedMilliseconds(fleet.now())
            .addSteps(
                QueuedStep.newBuilder()
                    .setCount(tasks)
                    .setProcessorMillicores((int) MACHINE.processorMillicores())
                    .setMemoryMebibytes(1_024)
                    .setEstimateMilliseconds(TASK_MILLISECONDS))
            .build();
    fleet.submit(new JobId(id), job, TASK_MILLISECONDS);
  }

  private List<MachineId> movedMachines() {
    List<MachineId> moved = new ArrayList<>();
    for (SchedulerCommand command : fleet.commands()) {
      if (command instanceof SchedulerCommand.MoveMachine move) {
        moved.add(move.machine());
      }
    }
    return moved;
  }

  @Test
  void successorMovesMachinesThatThePredecessorDidNotCommand() {
    fleet.addMachine("own", POOL, MACHINE);
    for (int machine = 0; machine < STANDBY_MACHINES; machine++) {
      fleet.addMachine("standby-" + machine, STANDBY, MACHINE);
    }
    fleet.advance(1_000);
    submit("first", 4);
    fleet.advance(100);
    final List<MachineId> movedByPredecessor = movedMachines();
    assertThat(movedByPredecessor.size(), greaterThan(0));

    fleet.replaceLeader(false);
    submit("second", 8);
    fleet.advance(500);

    List<MachineId> movedBySuccessor =
        movedMachines().subList(movedByPredecessor.size(), movedMachines().size());
    assertThat(movedBySuccessor.isEmpty(), is(false));
    for (MachineId machine : movedByPredecessor) {
      assertThat(movedBySuccessor, not(hasItem(machine)));
    }
  }
}
