package org.flamingochute.scheduling.core;

import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.scheduling.worker.WorkerKey;

/** What the scheduler wants done outside. */
public sealed interface SchedulerCommand {

  /**
   * Start a run.
   *
   * @param worker where
   * @param task the task
   * @param attempt number of the run
   * @param payload what the job's caller handed in for its tasks
   * @param checkpoint where to resume, or empty
   */
  record StartTask(WorkerKey worker, TaskId task, int attempt, String payload, String checkpoint)
      implements SchedulerCommand {}

  /**
   * End a run, or keep it from starting.
   *
   * @param worker where
   * @param task the task
   * @param attempt number of the run
   */
  record StopTask(WorkerKey worker, TaskId task, int attempt) implements SchedulerCommand {}

  /**
   * Let a run work at a share of its speed.
   *
   * @param worker where
   * @param task the task
   * @param attempt number of the run
   * @param percent share, from 0 to 100
   */
  record PaceTask(WorkerKey worker, TaskId task, int attempt, int percent)
      implements SchedulerCommand {}

  /**
   * Let a worker forget ends that are recorded.
   *
   * @param worker which one
   * @param number the last end to forget
   */
  record AcknowledgeEnds(WorkerKey worker, long number) implements SchedulerCommand {}

  /**
   * Move a machine to another pool, which ends all that runs on it.
   *
   * @param machine the machine
   * @param pool its new pool
   */
  record MoveMachine(MachineId machine, PoolId pool) implements SchedulerCommand {}

  /**
   * Begin the upkeep of a machine, which ends all that runs on it.
   *
   * @param machine the machine
   * @param wave number of the wave
   */
  record MaintainMachine(MachineId machine, long wave) implements SchedulerCommand {}

  /**
   * Tell operators how far a wave is.
   *
   * @param wave number of the wave
   * @param completed true when every machine was maintained
   */
  record ReportWave(long wave, boolean completed) implements SchedulerCommand {}
}
