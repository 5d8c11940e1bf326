package org.flamingochute.scheduling.simulation;

import java.util.List;
import java.util.Optional;
import org.flamingochute.scheduling.core.SchedulerBatch;

/** A leader's appends to the store, one at a time. */
final class SimulatedWriter {
  /** Longest time without the store for which leases are renewed. */
  private static final long RENEWAL_WITHOUT_STORE_MILLISECONDS = 5_500;

  /** Longest time after the sending of a successful append for which starts are sent. */
  private static final long START_VALIDITY_MILLISECONDS = 2_500;

  private final SimulatedLeader leader;
  private final SimulatedStore store;
  private Optional<SchedulerBatch> waiting = Optional.empty();
  private boolean executed;
  private boolean cut;
  private long sentAt;
  private long confirmedAt;
  private long lastSuccessAt = Long.MIN_VALUE / 2;

  SimulatedWriter(SimulatedLeader leader, SimulatedStore store) {
    this.leader = leader;
    this.store = store;
  }

  /** Lets no further append of this leader reach the store. */
  void cut() {
    cut = true;
  }

  boolean canRenewLeases(long now) {
    if (lastSuccessAt < 0) {
      lastSuccessAt = now;
    }
    return now - lastSuccessAt < RENEWAL_WITHOUT_STORE_MILLISECONDS;
  }

  boolean canStartRuns(long now) {
    return now - lastSuccessAt < START_VALIDITY_MILLISECONDS;
  }

  /** Records the next batch, or the one that waits, and executes its commands. */
  void record(long now) {
    if (waiting.isEmpty()) {
      SchedulerBatch batch = leader.scheduler.takeBatch();
      batch.immediateCommands().forEach(leader::execute);
      waiting = Optional.of(withoutImmediateCommands(batch));
      executed = false;
      sentAt = now;
    }
    if (!executed && !append(now)) {
      return;
    }
    if (now < confirmedAt) {
      return;
    }
    lastSuccessAt = sentAt;
    if (!canStartRuns(now)) {
      // A successor may have taken over meanwhile, so another append comes before the commands.
      executed = false;
      sentAt = now;
      return;
    }
    SchedulerBatch recorded = waiting.orElseThrow();
    waiting = Optional.empty();
    store.deleteDefinitions(recorded, leader.scheduler);
    recorded.commandsAfterRecording().forEach(leader::execute);
  }

  /** Returns whether the store has executed the append. */
  private boolean append(long now) {
    if (cut) {
      return false;
    }
    SimulatedStore.AppendOutcome outcome = store.append(leader.epoch, waiting.orElseThrow());
    if (outcome == SimulatedStore.AppendOutcome.FENCED) {
      leader.end();
    }
    executed = outcome == SimulatedStore.AppendOutcome.EXECUTED;
    confirmedAt = now + store.responseDelayMilliseconds();
    return executed;
  }

  private static SchedulerBatch withoutImmediateCommands(SchedulerBatch batch) {
    return new SchedulerBatch(
        List.of(),
        batch.records(),
        batch.expiredJobs(),
        batch.deletedJobs(),
        batch.waves(),
        batch.poolHistory(),
        batch.machineCommands(),
        batch.commandsAfterRecording());
  }
}
