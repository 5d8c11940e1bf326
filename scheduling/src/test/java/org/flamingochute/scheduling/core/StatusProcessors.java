package org.flamingochute.scheduling.core;

import org.flamingochute.scheduling.fleet.FleetDeclaration;

/** Creates status processors of leaders without a predecessor, for tests. */
final class StatusProcessors {
  private StatusProcessors() {}

  static WorkerStatusProcessor create(
      WorkerRegistry workers,
      WorkerTracker workerTracker,
      JobRegistry jobs,
      TaskLifecycle lifecycle,
      Outbox outbox) {
    FleetDeclaration declaration = FleetDeclaration.builder().version(1).build();
    StartRepeater startRepeater = new StartRepeater(new TeamUsage(), lifecycle, () -> declaration);
    return new WorkerStatusProcessor(
        workers, workerTracker, jobs, lifecycle, startRepeater, outbox, Long.MIN_VALUE);
  }
}
