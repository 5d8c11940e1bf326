package org.flamingochute.scheduling.simulation;

import org.flamingochute.scheduling.core.Scheduler;

/** What can happen to a worker. */
public final class FaultyWorker {
  private final SimulatedWorker worker;
  private final Scheduler scheduler;
  private final long now;

  FaultyWorker(SimulatedWorker worker, Scheduler scheduler, long now) {
    this.worker = worker;
    this.scheduler = scheduler;
    this.now = now;
  }

  /** No call reaches it, or calls reach it again. */
  public void setReachable(boolean reachable) {
    worker.reachable = reachable;
  }

  /** The store lists it no more. */
  public void unlist() {
    worker.listed = false;
    scheduler.onWorkerUnlisted(worker.key().id());
  }

  /** It starts again and reports so. */
  public void restart() {
    worker.restart(now);
    worker.listed = true;
    scheduler.onWorkerListed(worker.report());
  }

  /** It reports that it is going to leave. */
  public void drain() {
    worker.draining = true;
    scheduler.onWorkerListed(worker.report());
  }

  /** Every run on it fails at once. */
  public void failEverything() {
    worker.failsEverything = true;
  }

  /** Runs on it make no progress. */
  public void stall() {
    worker.stalls = true;
  }

  /** Runs on it take so many times as long. */
  public void slowDown(long factor) {
    worker.slowness = factor;
  }

  /** It carries out the next start, but the answer is lost. */
  public void loseNextStartAnswer() {
    worker.losesNextStartAnswer = true;
  }

  /** It answers nothing to the next start and carries it out later. */
  public void delayNextStart(long milliseconds) {
    worker.delaysNextStart = milliseconds;
  }
}
