package org.flamingochute.scheduling.core;

/** Creates wave controllers for tests, without workers. */
final class WaveControllers {
  private WaveControllers() {}

  static WaveController create(MachineInventory machines, Outbox outbox) {
    SchedulerSettings settings = SchedulerSettings.builder().build();
    TaskLifecycle lifecycle =
        new TaskLifecycle(
            new JobRegistry(), new TeamUsage(), new WorkerSuspensions(), outbox, settings);
    WorkerRegistry workers = new WorkerRegistry();
    return new WaveController(
        workers,
        machines,
        new MaintenanceOrder(machines, workers),
        new WorkerEvacuator(lifecycle),
        new MachineCommandFence(0, 0, outbox),
        outbox);
  }
}
