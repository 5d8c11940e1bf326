package org.flamingochute.scheduling.core;

import org.flamingochute.decision.identity.MachineId;
import org.flamingochute.decision.identity.PoolId;
import org.flamingochute.decision.identity.TaskId;
import org.flamingochute.scheduling.worker.WorkerKey;

/** A command for a worker, the platform or the operators. */
public sealed interface SchedulerCommand {

  /**
   * Starts a run.
   *
   * @param worker the worker
   * @param task the task
   * @param attempt attempt number of the task
   * @param payload payload that the caller submitted for the job's tasks
   * @param checkpoint checkpoint to resume from, or empty
   */
  record StartTask(WorkerKey worker, TaskId task, int attempt, String payload, String checkpoint)
      implements SchedulerCommand {}

  /**
   * Stops a run, or prevents it from starting.
   *
   * @param worker the worker
   * @param task the task
   * @param attempt attempt number of the task
   */
  record StopTask(WorkerKey worker, TaskId task, int attempt) implements SchedulerCommand {}

  /**
   * Limits the speed of a run.
   *
   * @param worker the worker
   * @param task the task
   * @param attempt attempt number of the task
   * @param percent percentage of full speed, from 0 to 100
   */
  record PaceTask(WorkerKey worker, TaskId task, int attempt, int percent)
      implements SchedulerCommand {}

  /**
   * Lets a worker discard finished runs that are recorded.
   *
   * @param worker the worker
   * @param number number of the last finished run to discard
   */
  record AcknowledgeFinishedRuns(WorkerKey worker, long number) implements SchedulerCommand {}

  /**
   * Moves a machine to another pool, which ends everything that runs on it.
   *
   * @param machine the machine
   * @param pool its new pool
   */
  record MoveMachine(MachineId machine, PoolId pool) implements SchedulerCommand {}

  /**
   * Starts the maintenance of a machine, which ends everything that runs on it.
   *
   * @param machine the machine
   * @param wave number of the wave
   */
  record MaintainMachine(MachineId machine, long wave) implements SchedulerCommand {}

  /**
   * Reports the state of a wave to the operators.
   *
   * @param wave number of the wave
   * @param completed true when every machine of the wave has been maintained
   */
  record ReportWave(long wave, boolean completed) implements SchedulerCommand {}
}
