package org.flamingochute.engine.task;

/**
 * Runs a task on one thread at a time, without holding a lock while it runs.
 *
 * <p>A call while the task runs on another thread, or from within the task, makes the task run once
 * more afterwards.
 */
public final class SerialTask {

  private final Runnable task;
  private boolean running;
  private boolean rerunRequested;

  /** Creates a serial task. */
  public SerialTask(Runnable task) {
    this.task = task;
  }

  /** Runs the task now, or once more after the current run. */
  public void run() {
    synchronized (this) {
      if (running) {
        rerunRequested = true;
        return;
      }
      running = true;
    }
    do {
      task.run();
    } while (consumeRerunRequest());
  }

  private synchronized boolean consumeRerunRequest() {
    boolean rerun = rerunRequested;
    rerunRequested = false;
    running = rerun;
    return rerun;
  }
}
