package org.flamingochute.scheduling.simulation;

import org.flamingochute.scheduling.core.Scheduler;

/** Injects faults into a simulated worker. */
public final class WorkerFaultInjector {
  private final SimulatedWorker worker;
  private final Scheduler scheduler;
  private final long now;

  WorkerFaultInjector(SimulatedWorker worker, Scheduler scheduler, long now) {
    this.worker = worker;
    this.scheduler = scheduler;
    this.now = now;
  }

  /** Makes calls to the worker fail, or succeed again. */
  public void setReachable(boolean reachable) {
    worker.reachable = reachable;
  }

  /** Removes the worker from the store. */
  public void unlist() {
    worker.listed = false;
    scheduler.onWorkerUnlisted(worker.key().id());
  }

  /** Restarts the worker, which then writes a new report. */
  public void restart() {
    worker.restart(now);
    worker.listed = true;
    scheduler.onWorkerListed(worker.report(), now);
  }

  /**
   * Restarts the worker just before its next start arrives, so that the new incarnation executes a
   * start that was sent to the former one. The new incarnation writes no report yet.
   */
  public void restartBeforeNextStart() {
    worker.restartsBeforeNextStart = true;
  }

  /** Lets the worker write its report. */
  public void list() {
    worker.listed = true;
    scheduler.onWorkerListed(worker.report(), now);
  }

  /** Lets the worker report that it is about to leave. */
  public void startDraining() {
    worker.draining = true;
    scheduler.onWorkerListed(worker.report(), now);
  }

  /** Makes every run on the worker fail at once. */
  public void failAllRuns() {
    worker.failsAllRuns = true;
  }

  /** Stops the progress of all runs on the worker. */
  public void stallRuns() {
    worker.stallsRuns = true;
  }

  /** Multiplies the duration of runs on the worker by the given factor. */
  public void slowDown(long factor) {
    worker.slowdownFactor = factor;
  }

  /** Makes the worker execute the next start without its response arriving. */
  public void loseNextStartResponse() {
    worker.losesNextStartResponse = true;
  }

  /** Makes the worker execute the next start later, without a response. */
  public void delayNextStart(long milliseconds) {
    worker.nextStartDelayMilliseconds = milliseconds;
  }
}
