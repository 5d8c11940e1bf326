package org.flamingochute.engine.task;

/**
 * Runs a task on one thread at a time, without a lock held while it runs.
 *
 * <p>A call that comes while the task runs on another thread, or from within it, makes the task run
 * once more afterwards.
 */
public final class SerialTask {

  private final Runnable task;
  private boolean running;
  private boolean again;

  /** Creates a serial task. */
  public SerialTask(Runnable task) {
    this.task = task;
  }

  /** Runs the task now, or once more after the run under way. */
  public void run() {
    synchronized (this) {
      if (running) {
        again = true;
        return;
      }
      running = true;
    }
    do {
      task.run();
    } while (takeAgain());
  }

  private synchronized boolean takeAgain() {
    boolean repeat = again;
    again = false;
    running = repeat;
    return repeat;
  }
}
