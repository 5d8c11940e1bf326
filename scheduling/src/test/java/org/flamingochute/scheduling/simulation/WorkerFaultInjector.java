package org.flamingochute.scheduling.simulation;

import java.util.Optional;

/** Injects faults into a simulated worker. */
public final class WorkerFaultInjector {
  private final SimulatedFleet fleet;
  private final SimulatedWorker worker;

  WorkerFaultInjector(SimulatedFleet fleet, SimulatedWorker worker) {
    this.fleet = fleet;
    this.worker = worker;
  }

  /** Returns whether the worker's process does not run. */
  public boolean isDown() {
    return worker.down;
  }

  /** Makes calls to the worker fail, or succeed again. */
  public void setReachable(boolean reachable) {
    worker.reachable = reachable;
  }

  /** Removes the worker from the store. */
  public void unlist() {
    fleet.unlist(worker);
  }

  /** Restarts the worker, which then writes a new report. */
  public void restart() {
    fleet.restart(worker);
    fleet.list(worker);
  }

  /** Restarts the worker, which writes no report yet. */
  public void restartUnlisted() {
    fleet.restart(worker);
  }

  /** Ends the worker's process until it is restarted. */
  public void shutDown() {
    worker.shutDown();
  }

  /**
   * Restarts the worker just before its next start arrives, so that a start that was sent to the
   * former incarnation reaches the new one. The new incarnation writes no report yet.
   */
  public void restartBeforeNextStart() {
    worker.restartsBeforeNextStart = true;
  }

  /** Lets the worker write its report. */
  public void list() {
    fleet.list(worker);
  }

  /** Lets the worker report that it is about to leave. */
  public void startDraining() {
    worker.draining = true;
    fleet.list(worker);
  }

  /** Lets the worker report that it is slow until the given time. */
  public void reportCold(long until) {
    worker.coldUntil = until;
    fleet.list(worker);
  }

  /** Makes every run on the worker fail at once. */
  public void failAllRuns() {
    setFailing(true);
  }

  /** Makes every run on the worker fail at once, or lets runs succeed again. */
  public void setFailing(boolean failing) {
    worker.failsAllRuns = failing;
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
    worker.fateOfNextStart = Optional.of(CallFate.WITHOUT_RESPONSE);
  }

  /** Lets the next start be executed and answered at once. */
  public void clearFaultsOfNextStart() {
    worker.restartsBeforeNextStart = false;
    worker.fateOfNextStart = Optional.empty();
  }

  /** Makes the worker execute the next start later, without a response. */
  public void delayNextStart(long milliseconds) {
    worker.fateOfNextStart = Optional.of(CallFate.delayed(milliseconds));
  }
}
